package relay

import (
	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// Message is what a caller's handler receives: [Started], [Token], [Finished] or [Failed].
type Message interface{ message() }

// Started says where the generation runs. A streamed generation sends it once, just before the
// first token. A collected one sends it again after each restart; the receiver discards everything
// before it.
type Started struct {
	Permit      permit.Permit
	RequestID   string
	Incarnation string
}

// Token is one event of the engine. It is read-only.
type Token struct{ Event *Event }

// Finished means that the generation was delivered completely.
type Finished struct{}

// Failed means that the generation ended before it was complete.
type Failed struct{ Failure *answer.Failure }

func (Started) message()  {}
func (Token) message()    {}
func (Finished) message() {}
func (Failed) message()   {}
