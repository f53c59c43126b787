package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/claim"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

var desk = &pollenspindle.Service{Name: "desk", Routes: []pollenspindle.Route{
	{Method: "GET", PathPrefix: "/", Idempotent: true},
	{Method: "POST", PathPrefix: "/bookings/search", Idempotent: true},
	{Method: "POST", PathPrefix: "/bookings"},
}}

func TestMatch(t *testing.T) {
	tests := map[string]struct {
		method, path string
		prefix       string
		code         answer.Code
	}{
		"longest prefix":                      {"POST", "/bookings/search/x", "/bookings/search", ""},
		"shorter prefix":                      {"POST", "/bookings/7", "/bookings", ""},
		"longer prefix ends within a segment": {"POST", "/bookings/searches", "/bookings", ""},
		"decoded":                             {"POST", "/bookings/%73earch", "/bookings/search", ""},
		"only prefix ends within a segment":   {"POST", "/bookingsX", "", answer.CodeUnknownRoute},
		"method":                              {"PUT", "/bookings", "", answer.CodeUnknownRoute},
		"dot segment":                         {"POST", "/bookings/search/..", "", answer.CodeInvalidRequest},
		"escaped dot segment":                 {"POST", "/bookings/search/%2e%2E", "", answer.CodeInvalidRequest},
		"escaped slash":                       {"POST", "/bookings/search%2f..", "", answer.CodeInvalidRequest},
		"empty segment":                       {"POST", "//bookings", "", answer.CodeInvalidRequest},
		"bad escape":                          {"POST", "/bookings/%zz", "", answer.CodeInvalidRequest},
		"root with trailing slash":            {"GET", "/rosters/", "/", ""},
		"path parameter in segment":           {"POST", "/bookings/search;x=1", "", answer.CodeInvalidRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			route, err := Match(desk, tt.method, tt.path)
			if tt.code != "" {
				require.Equal(t, tt.code, answer.FromError(err).Code)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.prefix, route.PathPrefix)
		})
	}
}

func FuzzMatch(f *testing.F) {
	f.Add("POST", "/bookings/%73earch")
	f.Add("GET", "")
	f.Fuzz(func(t *testing.T, method, path string) {
		if _, err := Match(desk, method, path); err != nil {
			require.Equal(t, answer.OutcomeNotRun, answer.FromError(err).Outcome)
		}
	})
}

// fakeService returns the errors in order, then status 200.
type fakeService struct {
	mu     sync.Mutex
	errs   []error
	called []string
}

func (s *fakeService) Do(_ context.Context, address string, _ service.Request) (service.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.called = append(s.called, address)
	if len(s.errs) > 0 {
		err := s.errs[0]
		s.errs = s.errs[1:]
		return service.Response{}, err
	}
	return service.Response{Status: 200, Body: []byte("booked")}, nil
}

type fakePermits struct {
	mu       sync.Mutex
	acquired int
	expired  bool
	endings  []permit.Ending
	pauses   []time.Duration
	refuseAt int
}

func (p *fakePermits) Acquire(_ context.Context, now time.Time, req permit.Request) (permit.Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(req.ExcludeServers) + 1
	if n == p.refuseAt {
		return permit.Permit{}, &permit.Refusal{Reason: permit.ReasonNoServer, RetryAfter: time.Second}
	}
	p.acquired++
	expires := now.Add(time.Hour)
	if p.expired {
		expires = now.Add(-time.Hour)
	}
	return permit.Permit{Server: fmt.Sprint("s", n), Address: fmt.Sprint("a", n), ExpiresAt: expires}, nil
}

func (p *fakePermits) MaySend(now time.Time, granted permit.Permit) bool { return granted.Valid(now) }

func (p *fakePermits) ReportBroken(time.Time, permit.Permit) {}

func (p *fakePermits) ReleaseLost(_ context.Context, held permit.Permit, o permit.Outcome) {
	p.Release(held, o)
}

func (p *fakePermits) Release(_ permit.Permit, o permit.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endings = append(p.endings, o.Ending)
	p.pauses = append(p.pauses, o.Pause)
}

// newClaims returns claims in an in-memory platform; if down is set, it refuses all calls.
func newClaims(down bool) *claim.Store {
	return claim.NewStore(claim.StoreOptions{Objects: &fakeObjects{down: down, objects: map[string]objectapi.Object{}}})
}

type fakeObjects struct {
	mu      sync.Mutex
	down    bool
	version int64
	objects map[string]objectapi.Object
}

func (o *fakeObjects) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Object, error) {
	return o.Update(ctx, kind, name, 0, value)
}

func (o *fakeObjects) Update(_ context.Context, kind, name string, version int64, value []byte) (objectapi.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	if current := o.objects[name]; current.Version != version {
		return objectapi.Object{}, &objectapi.ConflictError{Current: current}
	}
	o.version++
	o.objects[name] = objectapi.Object{Kind: kind, Name: name, Version: o.version, Value: value}
	return o.objects[name], nil
}

func (o *fakeObjects) Delete(context.Context, string, string, int64) error { return nil }

func (o *fakeObjects) ListPage(context.Context, string, string, int) (objectapi.Page, error) {
	return objectapi.Page{}, nil
}

func newTestForwarder(t *testing.T, c Client, p *fakePermits, claims Claims) *Forwarder {
	f, err := New(Options{
		Client: c, Permits: p, Claims: claims, Retries: retry.NewBudgets(rand.New(rand.NewPCG(1, 2))),
		Confirmed: func(time.Time) bool { return true },
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func testCall(idempotent bool, key, body string) Call {
	method, path := "POST", "/bookings"
	if idempotent {
		path = "/bookings/search"
	}
	return Call{
		Service: desk, Route: pollenspindle.Route{Idempotent: idempotent}, Workspace: "club",
		Method: method, Path: path, IdempotencyKey: key, Body: []byte(body),
	}
}

// A call fails in each possible way. A non-idempotent call (a booking) must reach a service at most
// once, unless the service certainly didn't run it. The outcome may be "not run" only if no attempt
// can have run, and each permit must be released once.
func TestDo(t *testing.T) {
	lost, notSent := service.ErrUnknownOutcome, service.ErrNotSent
	tests := map[string]struct {
		idempotent, expired bool
		refuseAt            int
		errs                []error
		sent                int
		endings             []permit.Ending
		outcome             answer.Outcome
	}{
		"answered":                      {sent: 1, endings: []permit.Ending{permit.EndingFinished}},
		"a lost search is retried":      {idempotent: true, errs: []error{lost}, sent: 2, endings: []permit.Ending{permit.EndingLost, permit.EndingFinished}},
		"a lost booking is not retried": {errs: []error{lost}, sent: 1, endings: []permit.Ending{permit.EndingLost}, outcome: answer.OutcomeUnknown},
		"an unsent booking is retried":  {errs: []error{notSent}, sent: 2, endings: []permit.Ending{permit.EndingNotSent, permit.EndingFinished}},
		"a refused booking is retried":  {errs: []error{&service.Refusal{Status: 503}}, sent: 2, endings: []permit.Ending{permit.EndingRefused, permit.EndingFinished}},
		"overload is not retried":       {errs: []error{&service.Refusal{Status: 429}}, sent: 1, endings: []permit.Ending{permit.EndingRefused}, outcome: answer.OutcomeNotRun},
		"too large an answer has run":   {errs: []error{service.ErrTooLarge}, sent: 1, endings: []permit.Ending{permit.EndingFinished}, outcome: answer.OutcomeRan},
		"lost, then refused, so it may have run": {
			idempotent: true, errs: []error{lost}, refuseAt: 2, sent: 1,
			endings: []permit.Ending{permit.EndingLost}, outcome: answer.OutcomeUnknown,
		},
		"lost, then unsent, so it may have run": {
			idempotent: true, errs: []error{lost, notSent, notSent}, sent: 3,
			endings: []permit.Ending{permit.EndingLost, permit.EndingNotSent, permit.EndingNotSent}, outcome: answer.OutcomeUnknown,
		},
		"nothing is sent with expired permits": {
			expired: true, outcome: answer.OutcomeNotRun,
			endings: []permit.Ending{permit.EndingNotSent, permit.EndingNotSent, permit.EndingNotSent, permit.EndingNotSent},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, p := &fakeService{errs: tt.errs}, &fakePermits{expired: tt.expired, refuseAt: tt.refuseAt}
			_, err := newTestForwarder(t, s, p, nil).Do(t.Context(), testCall(tt.idempotent, "", ""))
			require.Equal(t, tt.outcome == "", err == nil)
			if err != nil {
				require.Equal(t, tt.outcome, answer.FromError(err).Outcome)
			}
			require.Len(t, s.called, tt.sent)
			require.Equal(t, tt.endings, p.endings)
			require.Len(t, p.endings, p.acquired)
		})
	}
}

// Concurrent and later requests use the same idempotency key. The service must receive the booking
// once, all callers that get an answer must get the same one, and no other may get the answer
// that it wasn't run.
func TestKeyRunsOnce(t *testing.T) {
	s, claims := &fakeService{}, newClaims(false)
	f := newTestForwarder(t, s, &fakePermits{}, claims)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			a, err := f.Do(t.Context(), testCall(false, "k", "seven"))
			if err != nil {
				require.Equal(t, answer.OutcomeUnknown, answer.FromError(err).Outcome)
				return
			}
			require.Equal(t, "booked", string(a.Response.Body))
		})
	}
	wg.Wait()
	a, err := f.Do(t.Context(), testCall(false, "k", "seven"))
	require.NoError(t, err)
	require.True(t, a.Replayed)
	require.Len(t, s.called, 1)

	_, err = f.Do(t.Context(), testCall(false, "k", "eight"))
	require.Equal(t, answer.CodeKeyMismatch, answer.FromError(err).Code)
	require.Equal(t, 422, answer.FromError(err).Status)
}

func TestClaims(t *testing.T) {
	tests := map[string]struct {
		down    bool
		errs    []error
		outcome answer.Outcome
		sent    int
		again   int
	}{
		"nothing is sent while the platform is down": {down: true, outcome: answer.OutcomeNotRun},
		"the key stays claimed after a lost answer":  {errs: []error{service.ErrUnknownOutcome}, outcome: answer.OutcomeUnknown, sent: 1, again: 1},
		"a call that did not run releases its key":   {errs: []error{&service.Refusal{Status: 429}}, outcome: answer.OutcomeNotRun, sent: 1, again: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &fakeService{errs: tt.errs}
			f := newTestForwarder(t, s, &fakePermits{}, newClaims(tt.down))
			_, err := f.Do(t.Context(), testCall(false, "k", ""))
			require.Equal(t, tt.outcome, answer.FromError(err).Outcome)
			require.Len(t, s.called, tt.sent)
			_, _ = f.Do(t.Context(), testCall(false, "k", ""))
			require.Len(t, s.called, tt.again)
		})
	}
}

// The process is paused between claiming the key and sending the call. The claim may have been
// deleted and the key claimed again in the meantime, so nothing may be sent.
func TestExpiredClaimSendsNothing(t *testing.T) {
	s := &fakeService{}
	f := newTestForwarder(t, s, &fakePermits{}, nil)
	expired := claim.Claim{SendDeadline: time.Now().Add(-time.Second)}
	_, err := f.run(t.Context(), testCall(false, "k", ""), expired.MaySend)
	require.Equal(t, answer.OutcomeNotRun, answer.FromError(err).Outcome)
	require.Empty(t, s.called)
}

// Guards against a pause that a service asks for and that only the refused call hears of.
func TestPauseIsReportedWithThePermit(t *testing.T) {
	tests := map[string]struct {
		status int
		want   time.Duration
	}{
		"unavailable": {http.StatusServiceUnavailable, 3 * time.Second},
		"too many":    {http.StatusTooManyRequests, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &fakePermits{}
			f := newTestForwarder(t, &fakeService{errs: []error{&service.Refusal{Status: tt.status, RetryAfter: 3 * time.Second}}}, p, newClaims(false))
			_, _ = f.Do(t.Context(), testCall(true, "", "{}"))
			require.Equal(t, tt.want, p.pauses[0])
		})
	}
}
