// Package dialect describes what differs between the surroundings that an
// instance is run in: names of header fields, paths, and the forms of
// messages. The product works with its own types; a dialect turns them into
// what callers, backend servers and the platform speak. It decides nothing.
//
// # Usage
//
//	d := dialect.Dialect{Fields: dialect.Fields{RequestID: "X-Request-Id"}, ...}
//	cfg, err := d.Configuration(value)
package dialect

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// Fields are the names of header fields.
type Fields struct {
	// RequestID names one attempt of a caller.
	RequestID string
	// DeadlineMillis is how long the caller waits, in milliseconds.
	DeadlineMillis string
	// Key is the caller's key.
	Key string
	// Model, TokenCounts, Prefix and LengthHint describe a generation.
	Model       string
	TokenCounts string
	Prefix      string
	LengthHint  string
	// LastEventID is the last event that the caller of a stream has.
	LastEventID string
	// Workspace tells a backend server whose request it gets.
	Workspace string
	// ExpectInstance names the start of a backend server that is meant.
	ExpectInstance string
	// Urgency orders the requests of an engine, 0 is the first.
	Urgency string
	// CarryFrom names the memory that a generation goes on from.
	CarryFrom string
	// Seal is a backend server's mark of its own answer.
	Seal string
	// NotExecuted marks an answer to a request that the server didn't run.
	NotExecuted string
	// Instance names the backend server that answers.
	Instance string
	// Internal are the fields that callers may not set.
	Internal []string
}

// Paths are the paths of calls, without a slash at the end.
type Paths struct {
	Directory string
	Ready     string
	Report    string
	Move      string
	// Handle is followed by a slash and the id of the request.
	Handle string
}

// Kinds are the platform's names of kinds of objects.
type Kinds struct {
	Configuration     string
	ConfigurationName string
	Servers           string
	DrainedZones      string
	Rollouts          string
}

// Server is a backend server as the platform lists it.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version is that of the server's software.
	Version string
	Slots   int
	// Leaving servers take no new requests.
	Leaving bool
	// ColdFor is how much longer the server is cold.
	ColdFor time.Duration
	// Born is the server's start, in milliseconds since 1970; 0 if unknown.
	Born int64
}

// Rollout is an order to move a service's traffic to one version of its servers,
// as the platform holds it.
type Rollout struct {
	// Name is the object's, Revision that of its last change.
	Name     string
	Revision int64
	// ID tells apart orders of the same name.
	ID       string
	Service  string
	To       string
	Duration time.Duration
	// Told is what the platform was told so far: none, canary for one that runs, or
	// an end. Stage is how far it has come, as far as is known here.
	Told  rollout.Stage
	Stage rollout.Stage
}

// Report is what a model engine says of itself.
type Report struct {
	Leaving bool
	// LeavesIn is how long the engine stays, or negative if it doesn't say.
	LeavesIn    time.Duration
	Waiting     int
	Running     int
	UsedTokens  int
	TotalTokens int
	// Sequences are the running requests, by id.
	Sequences []Sequence
}

// Sequence is one request on an engine.
type Sequence struct {
	ID     string
	Tokens int
	Events int
}

// Move asks an engine to copy the memory of a request to another one.
type Move struct {
	RequestID string
	To        string
	// Last stops the request first.
	Last bool
}

// Moved is the answer to a [Move].
type Moved struct {
	Handle string
	Events int
}

// Dialect holds the names and forms of one deployment's surroundings.
type Dialect struct {
	Fields Fields
	Paths  Paths
	Kinds  Kinds
	// Objects is the form of the platform's object API.
	Objects objectapi.Codec
	// Configuration, Server and Report read messages.
	Configuration func(value []byte) (routes.Configuration, error)
	Server        func(id string, value []byte) (Server, error)
	// Rollout reads an order and its status, RolloutStatus writes a status.
	Rollout       func(o objectapi.Object) (Rollout, error)
	RolloutStatus func(to string, stage rollout.Stage) []byte
	Report        func(body []byte) (Report, error)
	// Move writes the order to move, Moved reads its answer.
	Move  func(m Move) []byte
	Moved func(body []byte) (Moved, error)
	// CarryFrom writes the value of [Fields.CarryFrom].
	CarryFrom func(address, handle string) string
	// Directory writes the answer to a caller that asks where to connect.
	Directory func(addresses []string, keep time.Duration) []byte
	// DirectoryZone is the query parameter with the caller's zone.
	DirectoryZone string
}
