package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/standin/batch"
)

// maxLedger limits the ledger; a benchmark starts some tens of thousands of generations.
const maxLedger = 200_000

// expirePeriod is the interval between scans for expired generations.
const expirePeriod = 100 * time.Millisecond

// Server is one engine. A mutex guards its state; the step loop holds it only between
// steps.
type Server struct {
	opts      Options
	terminate context.CancelCauseFunc
	// wake wakes the step loop. Its capacity of 1 is enough, since the loop checks
	// the whole batch.
	wake chan struct{}

	mu               sync.Mutex
	rng              *rand.Rand
	incarnationCount int
	incarnation      string
	batch            *batch.Batch
	generations      map[string]*generation
	// ended holds the ended generations that can be resumed, the oldest first.
	ended            []*generation
	ledger           []*generation
	lastExpiry       time.Time
	coldUntil        time.Time
	reportWarm       bool
	leaving          bool
	slowFactor       float64
	totals           totals
	lastStepDuration time.Duration
	reports          []timedReport
	// reportCount counts the reports of this incarnation. A report's tag consists
	// of reportTagPrefix, which is unique to the incarnation, and this number.
	// servedReports are the last reports served.
	reportCount     int64
	reportTagPrefix string
	servedReports   []engine.LoadReport
	events          eventLog
	commands        commandState
}

type totals struct {
	accepted, finished, refused, preemptions int64
}

// newServer returns an engine that starts at now.
func newServer(opts Options, now time.Time, terminate context.CancelCauseFunc) *Server {
	s := &Server{
		opts:       opts,
		terminate:  terminate,
		wake:       make(chan struct{}, 1),
		rng:        rand.New(rand.NewPCG(uint64(opts.Seed), 0x656e67696e65)),
		slowFactor: 1,
	}
	for _, model := range opts.Models {
		s.commands.setModel(model, "1")
	}
	s.startIncarnation(now)
	return s
}

// startIncarnation starts a new incarnation and clears the state of the former one.
func (s *Server) startIncarnation(now time.Time) {
	s.incarnationCount++
	// The time keeps the name unique across processes: a restarted process must
	// not be mistaken for its predecessor.
	s.incarnation = fmt.Sprintf("%s-%d-%x", s.opts.Name, s.incarnationCount, now.UnixNano()&0xffffffffff)
	s.batch = batch.New(s.opts.Batch)
	s.generations = map[string]*generation{}
	s.ended = nil
	s.totals = totals{}
	s.events = eventLog{}
	s.coldUntil = now.Add(s.opts.realDuration(s.opts.ColdTime))
	s.reportWarm = false
	s.leaving = false
	s.reportTagPrefix, s.reportCount, s.servedReports = fmt.Sprintf("%x-%d.", now.UnixNano()&0xffffffff, s.incarnationCount), 0, nil
	s.reports = []timedReport{{measuredAt: now, report: s.buildLoadReport(now)}}
}

func (s *Server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// requestCount returns the number of running and waiting requests.
func (s *Server) requestCount() int { return len(s.batch.Running()) + len(s.batch.Waiting()) }

// crash drops all state at once, as a crashing process does.
func (s *Server) crash(now time.Time) {
	s.loseGenerations()
	if s.opts.CrashMode == CrashExit {
		s.terminate(ErrCrashed)
		return
	}
	s.startIncarnation(now)
}

// stop closes the open streams on shutdown.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseGenerations()
}

// loseGenerations marks the running generations as lost and wakes all readers.
func (s *Server) loseGenerations() {
	for _, g := range s.generations {
		if !g.ended() {
			g.entry.Status = StatusLost
		}
		g.notify()
	}
}

// wakeStepLoop signals the step loop that there is work.
func (s *Server) wakeStepLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runSteps runs the steps. A step's tokens become visible at its end. Each step
// starts at the scheduled end of the previous one, so that timer delays don't
// accumulate.
func (s *Server) runSteps(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		step, b, ok := s.runStep()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			}
			next = time.Now()
			continue
		}
		next = next.Add(step.Duration)
		if now := time.Now(); next.Before(now) {
			next = now
		}
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		s.publish(step, b, time.Now())
	}
}

// runStep runs one step, unless there is nothing to run. It also returns the batch,
// from which publish detects that the engine crashed in the meantime.
func (s *Server) runStep() (batch.Step, *batch.Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestCount() == 0 {
		return batch.Step{}, nil, false
	}
	step := s.batch.Step()
	now := time.Now()
	for _, seq := range step.Preempted {
		s.totals.preemptions++
		if g := s.generations[seq.ID]; g != nil && g.stalledAt.IsZero() {
			g.stalledAt = now
		}
	}
	step.Duration = s.opts.realDuration(time.Duration(float64(step.Duration) * s.slowdown(now)))
	s.lastStepDuration = step.Duration
	s.events.add(step.Cache, now, s.opts.EventLoss, s.rng)
	return step, s.batch, true
}

func (s *Server) slowdown(now time.Time) float64 {
	if s.isCold(now) && s.opts.ColdOverload == OverloadSlow && s.requestCount() > s.opts.ColdLimit {
		return s.slowFactor * s.opts.ColdSlowdown
	}
	return s.slowFactor
}

// publish makes the tokens of a step visible to readers, unless the engine has
// crashed since.
func (s *Server) publish(step batch.Step, b *batch.Batch, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b != s.batch {
		return
	}
	for _, seq := range step.Emitted {
		g := s.generations[seq.ID]
		if g == nil || g.ended() || g.sequence != seq {
			continue
		}
		s.publishToken(g, now)
	}
	s.expireGenerations(now)
}

func (s *Server) publishToken(g *generation, now time.Time) {
	g.visibleTokens++
	g.entry.OutputTokens = int(g.visibleTokens)
	if !g.firstTokenPublished {
		g.firstTokenPublished = true
		g.entry.QueueMillis = now.Sub(g.acceptedAt).Milliseconds()
	}
	if !g.stalledAt.IsZero() {
		g.entry.StallMillis += now.Sub(g.stalledAt).Milliseconds()
		g.stalledAt = time.Time{}
	}
	if g.sequence.Done() {
		s.totals.finished++
		s.endGeneration(g, StatusFinished, now)
	}
	g.notify()
}

// endGeneration ends a generation. It can be resumed for FinishedRetention.
func (s *Server) endGeneration(g *generation, status Status, now time.Time) {
	g.entry.Status = status
	g.entry.Preemptions = g.sequence.Preemptions
	g.endedAt = now
	s.ended = append(s.ended, g)
	g.notify()
}

// expireGenerations removes old ended generations and ends those without readers. It
// scans all generations, so it runs only once per expirePeriod.
func (s *Server) expireGenerations(now time.Time) {
	if now.Sub(s.lastExpiry) < expirePeriod {
		return
	}
	s.lastExpiry = now
	keep := s.opts.realDuration(s.opts.FinishedRetention)
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) > keep {
		old := s.ended[0]
		if s.generations[old.entry.RequestID] == old {
			delete(s.generations, old.entry.RequestID)
		}
		s.ended = s.ended[1:]
	}
	abandon := s.opts.realDuration(s.opts.AbandonAfter)
	for _, g := range s.generations {
		if !g.ended() && len(g.readers) == 0 && now.Sub(g.lastReadAt) > abandon {
			s.batch.Remove(g.sequence)
			s.endGeneration(g, StatusAbandoned, now)
		}
	}
}
