package membership

import (
	"cmp"
)

// Status is what an instance reports of itself.
type Status struct {
	// Ready instances accept callers.
	Ready bool `json:"ready,omitempty"`
	// Leaving instances are shutting down and take on no tasks.
	Leaving bool `json:"leaving,omitempty"`
	// PlatformUnreachable instances get no answer from the platform.
	PlatformUnreachable bool `json:"blind,omitempty"`
	// ServersUnreachable instances have no working link to any backend server.
	ServersUnreachable bool `json:"cut,omitempty"`
	// SharesLimits instances have a part of limits that all instances together must not exceed.
	SharesLimits bool `json:"shares,omitempty"`
}

// Record describes one instance.
type Record struct {
	ID     string `json:"id"`
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
	Zone   string `json:"zone"`
	// StartedAt is the start time of the process, in milliseconds since the Unix epoch. It
	// identifies its incarnation.
	StartedAt int64 `json:"started"`
	// Change counts the changes that the instance made to its record.
	Change int64 `json:"change"`
	Status
	// Down means that the instance doesn't answer others.
	Down bool `json:"down,omitempty"`
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Newer compares records of one instance: the later incarnation wins, then the later
// change, then the one marked as down.
func (r *Record) Newer(than *Record) bool {
	return cmp.Or(
		cmp.Compare(r.StartedAt, than.StartedAt), cmp.Compare(r.Change, than.Change), cmp.Compare(bit(r.Down), bit(than.Down)),
	) > 0
}
