package objectapi

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Operation is one call, apart from how it is written.
type Operation struct {
	// Op is get, list, create, update, status, delete or watch. A status is an
	// update of what an object's keeper says of it, and Value is that.
	Op   string
	Kind string
	Name string
	// Version is the condition of an update or a delete.
	Version int64
	Value   []byte
	// Cursor and Limit are of a list.
	Cursor string
	Limit  int
	// After and Wait are of a watch.
	After int64
	Wait  time.Duration
	// Stale says that the answer may be seconds old, which is cheaper.
	Stale bool
}

// Message is an operation as it is sent.
type Message struct {
	Method string
	// Path is escaped and may have a query.
	Path   string
	Header http.Header
	Body   []byte
}

// Form is how operations and their answers are written. Platforms differ in
// it; what a call means is the same.
type Form interface {
	Encode(o Operation) Message
	// Object, Page and Changes read the bodies of successful calls, and Object
	// that of a conflict.
	Object(kind string, body []byte) (Object, error)
	Page(kind string, body []byte) (Page, error)
	Changes(kind string, body []byte) (Changes, error)
	// Conflict reports whether a status says that a condition didn't hold.
	Conflict(status int) bool
}

// ownForm is the form of the product's own interface: the version in If-Match
// headers, plain JSON values as bodies.
type ownForm struct{}

func (ownForm) Encode(o Operation) Message {
	object := "/objects/" + url.PathEscape(o.Kind) + "/" + url.PathEscape(o.Name)
	ifMatch := http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(o.Version, 10))}}
	switch o.Op {
	case opList:
		query := url.Values{"limit": {strconv.Itoa(o.Limit)}, "cursor": {o.Cursor}}
		return Message{Method: http.MethodGet, Path: "/objects/" + url.PathEscape(o.Kind) + "?" + query.Encode()}
	case opWatch:
		query := url.Values{
			"after":      {strconv.FormatInt(o.After, 10)},
			"waitMillis": {strconv.FormatInt(o.Wait.Milliseconds(), 10)},
		}
		return Message{Method: http.MethodGet, Path: "/watch/" + url.PathEscape(o.Kind) + "?" + query.Encode()}
	case opCreate:
		return Message{Method: http.MethodPut, Path: object, Header: http.Header{"If-None-Match": {"*"}}, Body: o.Value}
	case opUpdate:
		return Message{Method: http.MethodPut, Path: object, Header: ifMatch, Body: o.Value}
	case opStatus:
		return Message{Method: http.MethodPut, Path: object + "/status", Header: ifMatch, Body: o.Value}
	case opDelete:
		return Message{Method: http.MethodDelete, Path: object, Header: ifMatch}
	}
	return Message{Method: http.MethodGet, Path: object}
}

func (ownForm) Object(_ string, body []byte) (Object, error) {
	var o Object
	return o, json.Unmarshal(body, &o)
}

func (ownForm) Page(_ string, body []byte) (Page, error) {
	var p Page
	return p, json.Unmarshal(body, &p)
}

func (ownForm) Changes(_ string, body []byte) (Changes, error) {
	var c Changes
	return c, json.Unmarshal(body, &c)
}

func (ownForm) Conflict(status int) bool { return status == http.StatusPreconditionFailed }
