package permit

import "time"

// Role is the role of an instance in granting permits for a backend server.
type Role int

// The roles of an instance for one backend server.
const (
	// RoleNone grants no permits; another instance owns the server.
	RoleNone Role = iota
	// RoleWaiting owns the server once the permits of the previous owner have
	// expired.
	RoleWaiting
	// RoleOwner grants permits up to the server's limit.
	RoleOwner
	// RoleDeputy grants permits up to its share while the owner is unreachable.
	RoleDeputy
)

// Authority is the authority of an instance to grant permits for one backend server,
// according to the roster.
type Authority struct {
	Role  Role
	Epoch int64
	// Owner is the ID of the instance that owns the server; empty if the roster is
	// empty.
	Owner string
	// Reserve is the part of the limit that an owner leaves to an unreachable
	// deputy.
	Reserve int
	// Share is the maximum number of requests that a deputy may have running.
	Share int
	// ReportAfter is the time after which a load report must have been measured: an
	// older one may miss requests sent under another instance's permits.
	ReportAfter time.Time
}
