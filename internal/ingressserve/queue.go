package ingressserve

import (
	"pollenspindle.example/pollenspindle/internal/ingress"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/planner"
)

// queueLengths are the learned output lengths that the placement queue uses.
type queueLengths struct {
	// Curve returns the survival curve of the outputs with a key.
	Curve func(key outputlength.Key) *outputlength.Curve
	// Key returns the key of a generation.
	Key ingress.LengthKey
}

// hasQueue reports whether generations wait at the planner. Without learned lengths the memory of an
// engine can't be forecast.
func (in *instance) hasQueue() bool { return in.cfg.PlacementQueue && in.queueLengths.Curve != nil }

// queueOptions returns the options of the placement queue, nil if it is off.
func (in *instance) queueOptions() *planner.QueueOptions {
	if !in.hasQueue() {
		if in.cfg.PlacementQueue {
			in.log.Warn().Msg("placement queue is off, output lengths aren't learned")
		}
		return nil
	}
	return &planner.QueueOptions{
		Curve: in.queueLengths.Curve, Sequences: func() []planner.RunningSequence { return in.server.Sequences() }, Scope: in.tel.Metrics.SubScope("planner"),
	}
}

// queueLengthKey returns the function that identifies outputs of similar length, nil if the queue is
// off.
func (in *instance) queueLengthKey() ingress.LengthKey {
	if !in.hasQueue() {
		return nil
	}
	return in.queueLengths.Key
}
