package membership

import (
	"cmp"
)

// Status is what an instance says of itself.
type Status struct {
	// Ready instances take callers.
	Ready bool `json:"ready,omitempty"`
	// Leaving instances take no more duties.
	Leaving bool `json:"leaving,omitempty"`
	// Blind instances aren't answered by the platform.
	Blind bool `json:"blind,omitempty"`
}

// Record is what is known of one instance.
type Record struct {
	ID     string `json:"id"`
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
	Zone   string `json:"zone"`
	// Started is the start of the process, in milliseconds since 1970.
	Started int64 `json:"started"`
	// Change counts the changes of the record by its instance.
	Change int64 `json:"change"`
	Status
	// Down says that the instance doesn't answer others.
	Down bool `json:"down,omitempty"`
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// newer compares records of one instance: the later start, then the later
// change, then the mark that it is down.
func (r *Record) newer(than *Record) bool {
	return cmp.Or(
		cmp.Compare(r.Started, than.Started), cmp.Compare(r.Change, than.Change), cmp.Compare(bit(r.Down), bit(than.Down)),
	) > 0
}
