// Package controlcost measures the control-plane overhead of an instance by role: the bytes that it
// exchanges with the platform, its peers and backend servers other than for callers, and the CPU
// time of the background work behind them. The metrics show operators whether an instance stays
// within its budget; see docs/CAPACITY.md.
//
// Bytes of calls to the platform and of load polls are those of the complete exchange on its
// connection, including headers, without TLS, TCP and IP overhead. Calls between peers share a
// connection, so by role only their messages are counted; [internal/peer] counts all bytes of its
// connections together.
//
// CPU time is that of the thread while background work or a handler runs its own code. It excludes
// the work that libraries do on their own goroutines: HTTP codecs, connections, timers and the
// garbage collector. The process's CPU time minus that of all roles is this work plus the callers'
// requests.
//
// # Usage
//
//	costs := controlcost.New(scope)
//	costs.Meter(controlcost.RoleHeartbeats).Run(func() { res = answer(req) })
//	costs.Meter(controlcost.RoleClaims).AddBytes(sent, received)
package controlcost

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Role is one kind of control-plane work. Roles are the only metric label, apart from the direction
// of bytes, which limits the number of series.
type Role string

// The roles.
const (
	RoleHeartbeats     Role = "heartbeats"
	RolePermits        Role = "permits"
	RoleLoadPolls      Role = "loadPolls"
	RoleOwner          Role = "owner"
	RoleConfig         Role = "config"
	RoleRoster         Role = "roster"
	RoleInstanceList   Role = "instanceList"
	RoleClaims         Role = "claims"
	RoleEngineCommands Role = "orders"
	RoleOperators      Role = "operators"
	RoleGauges         Role = "gauges"
)

var roles = []Role{
	RoleHeartbeats, RolePermits, RoleLoadPolls, RoleOwner, RoleConfig, RoleRoster,
	RoleInstanceList, RoleClaims, RoleEngineCommands, RoleOperators, RoleGauges,
}

// Meters holds the meters of all roles. A nil Meters counts nothing. It is safe for concurrent use.
type Meters struct {
	meters map[Role]*Meter

	mu    sync.Mutex
	loops map[*loop]struct{}
}

// New returns meters that report to scope.
func New(scope tally.Scope) *Meters {
	c := &Meters{meters: map[Role]*Meter{}, loops: map[*loop]struct{}{}}
	for _, r := range roles {
		role := scope.Tagged(map[string]string{"role": string(r)})
		c.meters[r] = &Meter{
			sent:     role.Tagged(map[string]string{"direction": "sent"}).Counter("bytes"),
			received: role.Tagged(map[string]string{"direction": "received"}).Counter("bytes"),
			cpu:      role.Counter("processor_nanoseconds"),
		}
	}
	return c
}

// Meter returns the meter of a role.
func (c *Meters) Meter(r Role) *Meter {
	if c == nil {
		return nil
	}
	return c.meters[r]
}

// Meter counts the bytes and the CPU time of one role. A nil Meter counts nothing.
type Meter struct {
	sent, received, cpu tally.Counter
}

// AddBytes counts the bytes of one exchange.
func (m *Meter) AddBytes(sent, received int64) {
	if m == nil {
		return
	}
	m.sent.Inc(max(0, sent))
	m.received.Inc(max(0, received))
}
