// Package httptransport has the transport of net/http for calls to the platform and to other instances. net/http
// takes any status of three digits for one, 101 without an upgrade too, and any version, and keeps fields with a blank in
// their names, which don't frame the body then. A [Transport] refuses such answers by the rule of [http1], which calls to backend
// servers keep in internal/httpclient.
//
// The error of a refused answer is [ErrMalformed]. The call may have taken effect, as after any other error of an
// exchange that has begun.
//
// # Usage
//
//	transport := httptransport.Transport{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
//	resp, err := transport.RoundTrip(req)
package httptransport

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/http1"
)

// ErrMalformed means that the head of an answer, or of an interim one before it, isn't HTTP.
var ErrMalformed = merry.Sentinel("head of the answer is malformed")

// Transport is a transport whose requests ask for no upgrade. Its connections have HTTP/1.1, or HTTP/2 without TLS if its
// Protocols say so. It is safe for concurrent use.
type Transport struct{ *http.Transport }

// RoundTrip implements [http.RoundTripper].
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	interim := 0
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		// net/http doesn't limit interim answers that are traced.
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if interim++; interim == http1.MaxAnswerHeads {
				return merry.Wrap(ErrMalformed, merry.AppendMessage("too many interim answers"))
			}
			return checkFields(http.Header(header))
		},
	})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp, t.major()); err != nil {
		_ = resp.Body.Close()
		// Where the body of a malformed head ends is unknown. HTTP/2 has frames for that.
		if t.major() == 1 {
			_ = conn.Close()
		}
		return nil, err
	}
	return resp, nil
}

// major returns the major version of HTTP on the connections.
func (t Transport) major() int {
	if p := t.Protocols; p != nil && p.UnencryptedHTTP2() {
		return 2
	}
	return 1
}

func checkHead(resp *http.Response, major int) error {
	switch {
	case resp.ProtoMajor != major:
		return merry.Wrap(ErrMalformed, merry.AppendMessagef("version %q", resp.Proto))
	case !http1.IsFinalStatus(resp.StatusCode) || !http1.IsFieldValue([]byte(resp.Status)):
		return merry.Wrap(ErrMalformed, merry.AppendMessagef("status %q", resp.Status))
	}
	return checkFields(resp.Header)
}

func checkFields(header http.Header) error {
	for name, values := range header {
		if !http1.IsFieldName([]byte(name)) {
			return merry.Wrap(ErrMalformed, merry.AppendMessagef("field %q", name))
		}
		for _, value := range values {
			if !http1.IsFieldValue([]byte(value)) {
				return merry.Wrap(ErrMalformed, merry.AppendMessagef("value of %q", name))
			}
		}
	}
	return nil
}
