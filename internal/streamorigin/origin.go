// Package streamorigin holds which server wrote the first event of a stream. Servers of several software
// versions may serve one service, and a stream can go on only at the version that began it. The package
// does no I/O; the present time is an argument.
//
// # Usage
//
//	t := streamorigin.NewTable()
//	t.Put(now, streamorigin.Key(workspace, requestID), origin, now.Add(time.Minute))
//	origin, ok := t.Get(now, key)
//	origin, ok = origin.Confirm(listed)
//	if ok && origin.Allows(&server) {
//		...
//	}
package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/dialect"
)

// clockTolerance is the largest difference between the clocks of an instance and of a server with which
// an event can be assigned to one of two incarnations of the server.
const clockTolerance = time.Second

// Origin is the server that wrote the first event of a stream. Only servers of its service with its
// version may go on with the stream.
type Origin struct {
	Service string `json:"service"`
	// Version is the version of the server's software.
	Version string `json:"version"`
	// Server is the ID of the server, StartedAtMillis the start of its incarnation as it was listed, in
	// milliseconds since 1970.
	Server          string `json:"server"`
	StartedAtMillis int64  `json:"startedAtMillis,omitempty"`
	// BeganAtMillis is when the first event arrived, in milliseconds since 1970.
	BeganAtMillis int64 `json:"beganAtMillis"`
}

// Of returns the origin of a stream whose first event a server has written.
func Of(now time.Time, server *dialect.Server) Origin {
	return Origin{
		Service: server.Service, Version: server.Version, Server: server.ID, StartedAtMillis: server.StartedAtMillis, BeganAtMillis: now.UnixMilli(),
	}
}

// Allows reports whether a stream may go on at a server.
func (o *Origin) Allows(server *dialect.Server) bool {
	return server.Service == o.Service && server.Version == o.Version
}

// Confirm returns the origin as far as a list of the servers confirms it: a server that is listed with
// another version under its ID may have restarted before or after it wrote the first event. A list with an
// earlier incarnation than the origin's is older and says nothing. It returns false if the times don't tell.
func (o Origin) Confirm(listed *dialect.Server) (Origin, bool) {
	if listed.ID != o.Server || listed.StartedAtMillis == o.StartedAtMillis || listed.Version == o.Version {
		return o, true
	}
	age := time.Duration(o.BeganAtMillis-listed.StartedAtMillis) * time.Millisecond
	switch {
	case listed.StartedAtMillis == 0:
		return o, false
	case age < -clockTolerance, o.OutdatesList(listed):
		return o, true
	case age > clockTolerance:
		o.Version, o.StartedAtMillis = listed.Version, listed.StartedAtMillis
		return o, true
	}
	return o, false
}

// OutdatesList reports whether a list of the servers is older than the origin: the server has started again
// since then.
func (o *Origin) OutdatesList(listed *dialect.Server) bool {
	return listed.ID == o.Server && listed.StartedAtMillis < o.StartedAtMillis
}

// Key returns the key of a stream: the hash of the workspace of its caller and of the request ID of the
// attempt that brought the first event.
func Key(workspace, requestID string) uint64 {
	return xxhash.Sum64String(workspace + "\n" + requestID)
}
