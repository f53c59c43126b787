package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollenspindle.example/pollenspindle/internal/httpclient"
)

const (
	// noticeAttempts, noticeTimeout and noticeInterval make all attempts end well before the
	// grace period of the notified instance.
	noticeAttempts = 5
	noticeTimeout  = time.Second
	noticeInterval = 500 * time.Millisecond
)

// peerClient notifies other entry instances that a caller has resumed its generation here.
type peerClient struct {
	client *httpclient.Client
}

func newPeerClient() *peerClient {
	return &peerClient{client: httpclient.New(httpclient.Options{DialTimeout: noticeTimeout, WriteTimeout: noticeTimeout})}
}

// Close closes idle connections.
func (p *peerClient) Close() { p.client.Close() }

// notifyEntry notifies the entry instance that started a generation that its caller has resumed.
//
// That instance reads from the engine for a grace period after its caller disconnected, then
// cancels the generation to free the engine's memory. Without the notice it would cancel a
// generation whose caller resumed here and would lose the remaining tokens. The notice is retried
// for some seconds, so the generation is cancelled only if the caller's connection and the link
// between the two instances both fail.
func (s *Server) notifyEntry(c *app.RequestContext, ref generationRef) {
	if ref.id.Entry == s.opts.Address {
		s.relay.TakeOver(ref.id.Request)
		return
	}
	authorization := string(c.GetHeader("Authorization"))
	path := "/v1/generations/" + ref.text + "/takeover"
	err := s.notices.Submit(func() {
		if !s.peers.notify(ref.id.Entry, path, authorization) {
			s.scope.Counter("takeovers_untold").Inc(1)
			s.log.Info().Str("entry", ref.id.Entry).Msg("resume notice not delivered to the entry instance")
		}
	})
	if err != nil {
		s.scope.Counter("takeovers_untold").Inc(1)
	}
}

// notify sends a resume notice, with retries. It reports whether the other instance received it
// or no longer holds the generation.
func (p *peerClient) notify(address, path, authorization string) bool {
	for range noticeAttempts {
		if p.post(address, path, authorization) {
			return true
		}
		wait(context.Background(), noticeInterval)
	}
	return false
}

func (p *peerClient) post(address, path, authorization string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	req.SetMethod(http.MethodPost)
	req.Header.SetHost(address)
	req.SetRequestURI(path)
	req.Header.Set("Authorization", authorization)
	resp, err := p.client.Do(ctx, address, req, httpclient.Call{})
	if err != nil {
		return false
	}
	defer resp.Close()
	return resp.StatusCode() == http.StatusNoContent || resp.StatusCode() == http.StatusNotFound
}
