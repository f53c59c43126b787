package objectapi

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Operation is one call, independent of its encoding.
type Operation struct {
	// Op is get, list, create, update, status, delete or watch. A status replaces the status of
	// the object by Value.
	Op   string
	Kind string
	Name string
	// Version is the required version for an update, a status or a delete.
	Version int64
	Value   []byte
	// Cursor and Limit apply to a list.
	Cursor string
	Limit  int
	// After and Wait apply to a watch.
	After int64
	Wait  time.Duration
	// AllowStale allows a response that is seconds old, which is cheaper for the platform.
	AllowStale bool
}

// HTTPRequest is the HTTP request of an operation.
type HTTPRequest struct {
	Method string
	// Path is escaped and may contain a query.
	Path   string
	Header http.Header
	Body   []byte
}

// Codec encodes operations and decodes their responses. Platforms differ in the encoding, not in
// the meaning of a call.
type Codec interface {
	Encode(o Operation) HTTPRequest
	// DecodeObject, DecodePage and DecodeChanges decode the bodies of successful responses, and
	// DecodeObject that of a conflict too.
	DecodeObject(kind string, body []byte) (Object, error)
	DecodePage(kind string, body []byte) (Page, error)
	DecodeChanges(kind string, body []byte) (Changes, error)
	// IsConflict reports whether an HTTP status means that the condition of a write was not met.
	IsConflict(status int) bool
}

// defaultCodec encodes the project's own object API: versions in If-Match headers, plain JSON
// values as bodies.
type defaultCodec struct{}

func (defaultCodec) Encode(o Operation) HTTPRequest {
	object := "/objects/" + url.PathEscape(o.Kind) + "/" + url.PathEscape(o.Name)
	ifMatch := http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(o.Version, 10))}}
	switch o.Op {
	case opList:
		query := url.Values{"limit": {strconv.Itoa(o.Limit)}, "cursor": {o.Cursor}}
		return HTTPRequest{Method: http.MethodGet, Path: "/objects/" + url.PathEscape(o.Kind) + "?" + query.Encode()}
	case opWatch:
		query := url.Values{
			"after":      {strconv.FormatInt(o.After, 10)},
			"waitMillis": {strconv.FormatInt(o.Wait.Milliseconds(), 10)},
		}
		return HTTPRequest{Method: http.MethodGet, Path: "/watch/" + url.PathEscape(o.Kind) + "?" + query.Encode()}
	case opCreate:
		return HTTPRequest{Method: http.MethodPut, Path: object, Header: http.Header{"If-None-Match": {"*"}}, Body: o.Value}
	case opUpdate:
		return HTTPRequest{Method: http.MethodPut, Path: object, Header: ifMatch, Body: o.Value}
	case opStatus:
		return HTTPRequest{Method: http.MethodPut, Path: object + "/status", Header: ifMatch, Body: o.Value}
	case opDelete:
		return HTTPRequest{Method: http.MethodDelete, Path: object, Header: ifMatch}
	}
	return HTTPRequest{Method: http.MethodGet, Path: object}
}

func (defaultCodec) DecodeObject(_ string, body []byte) (Object, error) {
	var o Object
	if json.Unmarshal(body, &o) != nil {
		return salvageObject(body)
	}
	return o, nil
}

func (defaultCodec) DecodePage(_ string, body []byte) (Page, error) {
	var p Page
	if json.Unmarshal(body, &p) != nil {
		return salvagePage(body)
	}
	return p, nil
}

func (defaultCodec) DecodeChanges(_ string, body []byte) (Changes, error) {
	var c Changes
	if json.Unmarshal(body, &c) != nil {
		return salvageChanges(body)
	}
	return c, nil
}

func (defaultCodec) IsConflict(status int) bool { return status == http.StatusPreconditionFailed }
