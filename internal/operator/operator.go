// Package operator serves the operator API on a separate listener of an entry instance: it shows
// and changes the configuration, lists servers and instances, shows the history of generations and
// serves metrics and readiness. Every call under [operatorapi.Prefix] needs the operators' token.
//
// It takes no part in handling callers' requests. It accesses the rest of the instance through the
// interfaces in [Options].
//
// # Usage
//
//	s, err := operator.New(operator.Options{Config: store, TokenSHA256: sum, ...})
//	go func() { failed <- s.Run() }()
//	...
//	err = s.Shutdown(ctx)
package operator

import (
	"context"
	"crypto/sha256"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/callerconn"
	"pollenspindle.example/pollenspindle/internal/connlimit"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/strictjson"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Limits of the listener. Operators are few and their calls short; a longer silence means a dead
// connection.
const (
	readTimeout    = 10 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = 60 * time.Second
	exitWait       = 5 * time.Second
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = strictjson.MaxBytes
	// callTimeout limits a call, including its calls to the platform and peers.
	callTimeout = 15 * time.Second
)

// Errors that the interfaces of [Options] return.
var (
	// ErrNotFound means that the named object doesn't exist.
	ErrNotFound = merry.Sentinel("not found")
	// ErrUnavailable means that nothing was changed, since the platform or a required peer cannot
	// be reached.
	ErrUnavailable = merry.Sentinel("unavailable")
	// ErrUnknownOutcome means that a change may or may not have taken effect.
	ErrUnknownOutcome = merry.Sentinel("outcome unknown")
	// ErrRefused means that the call is not allowed in the current state.
	ErrRefused = merry.Sentinel("refused")
)

// ConflictError means that a change was rejected because the configuration has changed since its
// base version.
type ConflictError struct {
	Base    int64
	Current int64
	// Changes lists the changes since Base, newest first.
	Changes []operatorapi.Change
}

// Error implements error.
func (e *ConflictError) Error() string { return "configuration has changed since the base version" }

// Change is a new configuration based on BaseVersion.
type Change struct {
	BaseVersion int64
	Author      string
	Summary     string
	Config      pollenspindle.Config
}

// Config reads and changes the accepted configuration.
type Config interface {
	// Current returns the version in force on this instance.
	Current(ctx context.Context) (operatorapi.Configuration, error)
	// Apply applies a change and returns its version. It fails with a [ConflictError],
	// [ErrUnavailable] or [ErrUnknownOutcome].
	Apply(ctx context.Context, now time.Time, change Change) (int64, error)
	// History returns at most limit changes, newest first.
	History(ctx context.Context, limit int) ([]operatorapi.Change, error)
	// InForce counts live instances that have at least version in force.
	InForce(ctx context.Context, version int64) (inForce, total int, err error)
}

// Servers provides the status of backend servers.
type Servers interface {
	// Statuses returns the statuses by server name; servers without a known status are missing.
	Statuses(ctx context.Context) map[string]operatorapi.ServerStatus
}

// Instances lists the entry instances and shuts this one down.
type Instances interface {
	List(ctx context.Context) ([]operatorapi.Instance, error)
	// Leave starts the graceful shutdown of this instance.
	Leave(ctx context.Context) error
}

// Generations shows the history of generations and cancels them.
type Generations interface {
	Get(ctx context.Context, id string) (operatorapi.Generation, error)
	Cancel(ctx context.Context, id string) error
}

// Models sends commands to model engines.
type Models interface {
	Load(ctx context.Context, now time.Time, model string, command operatorapi.EngineCommand) (operatorapi.EngineCommandResult, error)
}

// Options are the dependencies of a [Server]. Servers, Instances, Generations and Models may be
// nil; calls that need them then fail as not supported.
type Options struct {
	// Instance is the name of this entry instance.
	Instance string
	// Listener accepts operators' connections. The server closes it.
	Listener net.Listener
	// Connections bounds what operators' connections hold; nil for no limit.
	Connections *connlimit.Account
	// TokenSHA256 is the lower-case hex SHA-256 of the operators' token, AcceptedSHA256 those of
	// further valid tokens during a token rotation.
	TokenSHA256    string
	AcceptedSHA256 []string
	Config         Config
	Servers        Servers
	Instances      Instances
	Generations    Generations
	Models         Models
	// Ready returns why the instance accepts no new requests, or nil.
	Ready func() error
	// Metrics serves GET /metrics; if nil, the path doesn't exist.
	Metrics http.Handler
	Log     zerolog.Logger
	Now     func() time.Time
}

// Server serves the operator API.
type Server struct {
	opts   Options
	tokens [][sha256.Size]byte
	http   *server.Hertz
	// operators has the connections.
	operators *callerconn.Listener
	// ended is closed when Run has returned.
	ended chan struct{}
}

// New returns a server. It accepts no connections before [Server.Run].
func New(opts Options) (*Server, error) {
	tokens, err := decodeHashes(append([]string{opts.TokenSHA256}, opts.AcceptedSHA256...))
	if err != nil {
		return nil, err
	}
	s := &Server{opts: opts, tokens: tokens, ended: make(chan struct{})}
	s.opts.Log = opts.Log.With().Str("part", "operator").Logger()
	s.operators, err = callerconn.NewListener(opts.Listener, callerconn.Options{
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, Account: opts.Connections, Class: connlimit.Internal,
		MaxHeadBytes: func() int { return maxHeaderBytes }, Log: s.opts.Log,
	})
	if err != nil {
		return nil, merry.Prepend(err, "operators' listener")
	}
	s.http = server.New(append(s.operators.ServerOptions(),
		server.WithReadTimeout(readTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(exitWait),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithMaxHeaderBytes(2*maxHeaderBytes),
		server.WithHandleMethodNotAllowed(true),
		server.WithUseRawPath(true),
		server.WithDisablePrintRoute(true),
	)...)
	s.http.Use(s.operators.Handle)
	s.routes()
	return s, nil
}

// Run serves operators until [Server.Shutdown].
func (s *Server) Run() error {
	defer close(s.ended)
	if err := s.http.Run(); err != nil {
		return merry.Prepend(err, "operators' listener")
	}
	return nil
}

// Shutdown stops accepting connections and waits for running calls.
func (s *Server) Shutdown(ctx context.Context) error {
	s.operators.Shutdown(ctx)
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	// Once its listener is closed, the server may have ended by itself.
	select {
	case <-s.ended:
		return nil
	case <-time.After(exitWait):
		return merry.Prepend(err, "shut down operators' listener")
	}
}

func (s *Server) routes() {
	s.http.Use(s.recoverPanic)
	s.http.GET("/health", s.health)
	s.http.GET("/readiness", s.readiness)
	if s.opts.Metrics != nil {
		s.http.GET("/metrics", adaptor.HertzHandler(s.opts.Metrics))
	}
	g := s.http.Group(operatorapi.Prefix, s.authenticate, limitDuration)
	g.GET("/config", s.showConfig)
	g.PUT("/config", s.applyConfig)
	g.GET("/config/history", s.showHistory)
	g.GET("/config/inForce", s.showInForce)
	g.POST("/zones/:name/drain", s.zoneChange(pollenspindle.ZoneTakenOut))
	g.POST("/zones/:name/restore", s.zoneChange(pollenspindle.ZoneInService))
	g.GET("/servers", s.listServers)
	g.POST("/servers/:name/drain", s.serverChange(pollenspindle.ServerDraining))
	g.POST("/servers/:name/restore", s.serverChange(pollenspindle.ServerInService))
	g.GET("/instances", s.listInstances)
	g.POST("/instances/:name/leave", s.leaveInstance)
	g.GET("/generations/:name", s.showGeneration)
	g.DELETE("/generations/:name", s.cancelGeneration)
	g.POST("/models/:name/load", s.loadModel)
	g.GET("/logLevel", s.showLogLevel)
	g.PUT("/logLevel", s.setLogLevel)
}

// limitDuration cancels the context of a call after callTimeout.
func limitDuration(ctx context.Context, c *app.RequestContext) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.Next(limited)
}
