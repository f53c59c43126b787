package planner

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/forecast"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// maxSequences limits the generations in one report.
	maxSequences = 512
	// maxKeyBytes limits the names in a key; those of services, routes and workspaces are short.
	maxKeyBytes = 1024
	// tokenTime is the time that an engine takes for one token of each running generation. Between
	// reports generations are assumed to grow at this rate.
	tokenTime = 9 * time.Millisecond
)

// RunningSequence is a generation of this instance; its lengths are in tokens.
type RunningSequence struct {
	Engine string
	Prompt int
	// Generated is the number of generated tokens, Limit the largest number.
	Generated, Limit int
	Key              outputlength.Key
}

// LengthKey identifies the outputs from which the length of a generation is estimated.
type LengthKey struct {
	Service   string `json:"service"`
	Model     string `json:"model,omitempty"`
	Workspace string `json:"workspace,omitempty"`
}

// The positions in an element of [Report.Sequences].
const (
	atPrompt = iota
	atGenerated
	atLimit
	atKey
	sequenceFields
)

// addSequences adds the generations that run on the engines of a report.
func (p *Planner) addSequences(r *Report, own []RunningSequence) {
	keys := map[outputlength.Key]int{}
	n := 0
	for _, s := range own {
		if _, ok := r.Loads[s.Engine]; !ok {
			continue
		}
		if n++; n > maxSequences {
			// The planner counts the others by their reserved tokens.
			p.opts.Log.Debug().Int("sequences", len(own)).Msg("report without some generations")
			return
		}
		key, ok := keys[s.Key]
		if !ok {
			key = len(r.Keys)
			keys[s.Key] = key
			r.Keys = append(r.Keys, LengthKey(s.Key))
		}
		if r.Sequences == nil {
			r.Sequences = map[string][][]int{}
		}
		r.Sequences[s.Engine] = append(r.Sequences[s.Engine], []int{s.Prompt, s.Generated, s.Limit, key})
	}
}

// ownSequences returns the generations of this instance if they are to be reported.
func (p *Planner) ownSequences() []RunningSequence {
	if p.opts.Queue == nil || p.opts.Queue.Sequences == nil {
		return nil
	}
	return p.opts.Queue.Sequences()
}

// applyLoads stores a report without its invalid sequences, and lets waiting requests use the
// memory that it frees.
func (p *Planner) applyLoads(now time.Time, r Report) {
	if p.queues == nil {
		r.Sequences, r.Keys = nil, nil
		p.loads.Apply(now, r)
		return
	}
	if rejected := r.dropInvalidSequences(); rejected > 0 {
		p.queues.metrics.sequencesRejected.Inc(int64(rejected))
		p.opts.Log.Debug().Str("by", r.Instance).Int("rejected", rejected).Msg("report with invalid sequences")
	}
	p.loads.Apply(now, r)
	p.queues.signal()
}

// dropInvalidSequences removes sequences that are implausible, and those beyond maxSequences, and
// returns their number. Their memory is then that of the reported load.
func (r *Report) dropInvalidSequences() int {
	rejected, kept := 0, 0
	for engine, all := range r.Sequences {
		if _, ok := r.Loads[engine]; !ok || len(r.Keys) > maxSequences {
			rejected += len(all)
			delete(r.Sequences, engine)
			continue
		}
		valid := all[:0]
		for _, s := range all {
			if kept >= maxSequences || !validSequence(s, r.Keys) {
				rejected++
				continue
			}
			kept++
			valid = append(valid, s)
		}
		r.Sequences[engine] = valid
	}
	return rejected
}

func validSequence(s []int, keys []LengthKey) bool {
	if len(s) < sequenceFields || s[atKey] < 0 || s[atKey] >= len(keys) {
		return false
	}
	if k := keys[s[atKey]]; len(k.Service)+len(k.Model)+len(k.Workspace) > maxKeyBytes {
		return false
	}
	for _, n := range s[:atKey] {
		if n < 0 || n > outputlength.MaxTokens {
			return false
		}
	}
	return true
}

// minObservations is the number of outputs from which on their lengths count as known. With fewer,
// the curve is mostly the estimator's prior, by which most outputs end at once.
const minObservations = 20

// curve returns the survival curve of the outputs with a key, nil if neither the lengths of the key
// nor those of its route are known.
func (p *Planner) curve(key outputlength.Key) *outputlength.Curve {
	c := p.opts.Queue.Curve(key)
	if c == nil || c.Observations >= minObservations {
		return c
	}
	if route := p.opts.Queue.Curve(outputlength.Key{Service: key.Service}); route == nil || route.Observations < minObservations {
		return nil
	}
	return c
}

// remember returns a function that asks curve for each key only once.
func remember(curve func(outputlength.Key) *outputlength.Curve) func(outputlength.Key) *outputlength.Curve {
	known := map[outputlength.Key]*outputlength.Curve{}
	return func(k outputlength.Key) *outputlength.Curve {
		c, ok := known[k]
		if !ok {
			c = curve(k)
			known[k] = c
		}
		return c
	}
}

// engineForecast is the expected memory use of an engine.
type engineForecast struct {
	memory  forecast.Memory
	running int
}

// forecasts returns the expected memory use of those engines that have load: of the reported generations,
// grown since their report, and of the assignments since. Where an instance reports fewer
// generations than its load holds, for instance because it is of an older version, the rest counts
// with the tokens reserved for it.
func (l *Loads) forecasts(now time.Time, engines map[string]*platformstate.Server, curve func(outputlength.Key) *outputlength.Curve) map[string]*engineForecast {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	out := map[string]*engineForecast{}
	at := func(engine string) *engineForecast {
		f, ok := out[engine]
		if !ok {
			f = &engineForecast{}
			out[engine] = f
		}
		return f
	}
	for _, r := range l.reports {
		growth := int(now.Sub(r.at) / tokenTime)
		for engine, load := range r.Loads {
			if engines[engine] != nil {
				at(engine).addReported(load, r.Sequences[engine], curvesOf(r.Keys, curve), growth)
			}
		}
	}
	for _, a := range l.assigned {
		if engines[a.engine] == nil {
			continue
		}
		f := at(a.engine)
		f.running += a.load.Running
		if a.sequence.Curve == nil {
			f.memory.AddResident(a.load.Tokens)
			continue
		}
		f.memory.Add(a.sequence)
	}
	return out
}

func curvesOf(keys []LengthKey, curve func(outputlength.Key) *outputlength.Curve) []*outputlength.Curve {
	curves := make([]*outputlength.Curve, len(keys))
	for i, k := range keys {
		curves[i] = curve(outputlength.Key(k))
	}
	return curves
}

// addReported adds the load that one instance reports for the engine.
func (f *engineForecast) addReported(load balancer.Load, sequences [][]int, curves []*outputlength.Curve, growth int) {
	f.running += load.Running
	added := 0
	for _, s := range sequences {
		if added == load.Running {
			return
		}
		c := curves[s[atKey]]
		if c == nil {
			continue
		}
		seq := forecast.Sequence{Prompt: s[atPrompt], Generated: s[atGenerated], MaxTokens: s[atLimit], Curve: c}
		if seq.Generated > 0 {
			seq.Generated += growth
		}
		if seq.MaxTokens > 0 {
			seq.Generated = min(seq.Generated, max(s[atGenerated], seq.MaxTokens-1))
		}
		f.memory.Add(seq)
		added++
	}
	if rest := load.Running - added; rest > 0 {
		f.memory.AddResident(load.Tokens * rest / load.Running)
	}
}

// AssignSequence counts a generation that was assigned to an engine until its instance reports it.
// Request identifies it for [Loads.Unassign].
func (l *Loads) AssignSequence(now time.Time, instance, engine, request string, load balancer.Load, s forecast.Sequence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assigned = append(l.assigned, assignment{
		engine: engine, load: load, instance: instance, at: now, request: request, sequence: s,
	})
	l.stale = true
}

// Unassign removes an assignment that its instance won't use.
func (l *Loads) Unassign(instance, engine, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, a := range l.assigned {
		if a.instance == instance && a.engine == engine && a.request == request {
			l.assigned = append(l.assigned[:i], l.assigned[i+1:]...)
			l.stale = true
			return
		}
	}
}
