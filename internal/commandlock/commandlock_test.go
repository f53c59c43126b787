package commandlock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/commandlock"
)

const (
	holders     = 2
	maxAttempts = 2
	maxTicks    = 6
	// runFor is the actual maximum duration of a command on an engine that ignores fencing tokens.
	runFor = time.Second
)

// attemptsOf is the number of attempts of each holder; the second holder may lose.
var attemptsOf = [holders]int8{2, 1}

// phase is the progress of a holder's command.
type phase uint8

const (
	idle phase = iota
	// decided holders have read the object and may write it.
	decided
	// unconfirmed holders have lost the response to their write.
	unconfirmed
	acquired
	sent
	// finished holders know that their command is over.
	finished
)

type holder struct {
	phase        phase
	attempts     int8
	base         int64 // version that the decision is based on
	started      int8
	fencingToken int64
	writeID      int8
	seen         int64 // version first seen at seenAt
	seenAt       int8
}

type position uint8

const (
	unsent position = iota
	inTransit
	running
	done
)

// message is a command on its way to the engine.
type message struct {
	position     position
	fencingToken int64
	sentAt       int8
}

// world is one state: a clock, the lock object, two holders and an engine.
type world struct {
	now     int8
	version int64
	writeID int8 // holder*maxAttempts+attempt+1 of the last command, 0 for none
	ended   bool
	holders [holders]holder
	// messages has an entry for each attempt of each holder.
	messages     [holders][maxAttempts]message
	highestToken int64
	appliedToken int64
}

type search struct {
	t       *testing.T
	timing  commandlock.Timing
	checked bool
	seen    map[world]bool
	todo    []world
	// violations counts states in which a command undid a later one, or two ran at the same time on
	// an engine that ignores fencing tokens.
	violations int
	effects    int
}

func at(tick int8) time.Time { return time.Unix(int64(tick), 0) }

func (s *search) push(w world) {
	if !s.seen[w] {
		s.seen[w] = true
		s.todo = append(s.todo, w)
	}
}

func (s *search) run() {
	s.seen = map[world]bool{}
	s.push(world{})
	for len(s.todo) > 0 && s.violations == 0 {
		w := s.todo[len(s.todo)-1]
		s.todo = s.todo[:len(s.todo)-1]
		s.tick(w)
		for i := range w.holders {
			s.step(w, i)
			for attempt := range maxAttempts {
				s.engine(w, i, attempt)
			}
		}
	}
}

// tick advances the time for all. A holder that does nothing in the meantime is paused. On an
// engine that ignores fencing tokens a command ends in time; on one that checks them it may be late
// without limit.
func (s *search) tick(w world) {
	if w.now == maxTicks {
		return
	}
	for i := range w.messages {
		for _, m := range w.messages[i] {
			late := !at(w.now).Before(at(m.sentAt).Add(runFor))
			if !s.checked && late && (m.position == inTransit || m.position == running) {
				return
			}
		}
	}
	w.now++
	s.push(w)
}

func (s *search) step(w world, i int) {
	h := &w.holders[i]
	switch h.phase {
	case idle:
		s.read(w, i)
	case decided:
		s.write(w, i)
	case unconfirmed:
		// The object is read back.
		h.phase = idle
		if w.writeID == h.writeID && w.version == h.base+1 {
			h.phase, h.fencingToken = acquired, w.version
		}
		s.push(w)
	case acquired:
		if !commandlock.MaySend(at(w.now), s.timing, at(h.started)) {
			h.phase = finished
			s.push(w)
			return
		}
		w.messages[i][h.attempts-1] = message{position: inTransit, fencingToken: h.fencingToken, sentAt: w.now}
		h.phase = sent
		s.push(w)
	case sent:
		if w.messages[i][h.attempts-1].position == done {
			h.phase = finished
			s.push(w)
		}
	case finished:
		h.phase = idle
		if w.version == h.fencingToken {
			w.version, w.ended = w.version+1, true
		}
		s.push(w)
	}
}

func (s *search) read(w world, i int) {
	h := &w.holders[i]
	if h.attempts == attemptsOf[i] {
		return
	}
	if h.seen != w.version {
		h.seen, h.seenAt = w.version, w.now
	}
	held := commandlock.LockState{Version: w.version, Record: commandlock.Record{Ended: w.ended}, ObservedAt: at(h.seenAt)}
	if acquire, ok := commandlock.Decide(at(w.now), s.timing, held, s.checked).(commandlock.Acquire); ok {
		h.phase, h.base = decided, acquire.Version
		h.started = w.now
		h.attempts++
		h.writeID = int8(i*maxAttempts) + h.attempts
	}
	s.push(w)
}

// write is the conditional update; its response arrives or is lost.
func (s *search) write(w world, i int) {
	h := &w.holders[i]
	if w.version != h.base {
		h.phase = idle
		s.push(w)
		return
	}
	w.version, w.writeID, w.ended = w.version+1, h.writeID, false
	lost := w
	lost.holders[i].phase = unconfirmed
	s.push(lost)
	h.phase, h.fencingToken = acquired, w.version
	s.push(w)
}

// engine advances one command: it arrives, or it takes effect.
func (s *search) engine(w world, i, attempt int) {
	m := &w.messages[i][attempt]
	if s.checked && m.position != unsent && m.position != done && m.fencingToken < w.highestToken {
		m.position = done
		s.push(w)
		return
	}
	switch m.position {
	case inTransit:
		m.position = running
		w.highestToken = max(w.highestToken, m.fencingToken)
		if !s.checked && s.runningIn(w) > 1 {
			s.violations++
		}
		s.push(w)
	case running:
		m.position = done
		if m.fencingToken < w.appliedToken {
			s.violations++
		}
		w.appliedToken = m.fencingToken
		s.effects++
		s.push(w)
	case unsent, done:
	}
}

func (s *search) runningIn(w world) int {
	n := 0
	for i := range w.messages {
		for _, m := range w.messages[i] {
			if m.position == running {
				n++
			}
		}
	}
	return n
}

// Two instances each believe that they own an engine and send commands to it. One acquires the lock
// and is paused, or loses the response to its write, or its command is slow, while the other
// continues. In no interleaving may a command undo a later one. The cases with a missing safeguard
// show that the search detects its absence.
func TestNoCommandUndoesALaterOne(t *testing.T) {
	sound := commandlock.Timing{SendTimeout: time.Second, MaxDuration: runFor}
	tests := map[string]struct {
		timing   commandlock.Timing
		checked  bool
		violated bool
	}{
		"engine checks tokens":              {sound, true, false},
		"engine ignores tokens":             {sound, false, false},
		"tokens ignored, no send timeout":   {commandlock.Timing{SendTimeout: time.Hour, MaxDuration: 2*time.Second - time.Hour}, false, true},
		"tokens ignored, no duration limit": {commandlock.Timing{SendTimeout: time.Second}, false, true},
		"tokens ignored, no waiting":        {commandlock.Timing{SendTimeout: time.Second, MaxDuration: -time.Second}, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &search{t: t, timing: tt.timing, checked: tt.checked}
			s.run()
			t.Logf("%d states, %d effects, %d violations", len(s.seen), s.effects, s.violations)
			require.Positive(t, s.effects)
			require.Equal(t, tt.violated, s.violations > 0)
		})
	}
}
