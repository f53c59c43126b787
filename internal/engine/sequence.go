package engine

import "github.com/ansel1/merry/v2"

// Sequence checks the positions of one generation: each is forwarded once and in order.
//
// After a resume, or when an old connection recovers, an engine may repeat tokens that were already
// forwarded; the caller would read them twice. A missing position would make an incomplete response
// look complete. Positions are absolute, so comparing with the next expected one detects both.
type Sequence struct {
	last int64
}

// NewSequence returns a sequence for a stream whose positions up to after have been forwarded.
func NewSequence(after int64) Sequence { return Sequence{last: after} }

// LastPosition returns the last position forwarded.
func (s *Sequence) LastPosition() int64 { return s.last }

// Accept reports whether the token at position has to be forwarded. It returns false for a repeated
// position and [ErrGap] if positions are missing.
func (s *Sequence) Accept(position int64) (bool, error) {
	switch {
	case position <= s.last:
		return false, nil
	case position == s.last+1:
		s.last = position
		return true, nil
	default:
		return false, merry.Wrap(ErrGap, merry.AppendMessagef("position %d after %d", position, s.last))
	}
}
