package caller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/dgryski/go-rendezvous"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// maxAnswered bounds the instances in one answer: a caller that finds so many
// down has lost its own network.
const maxAnswered = 16

// InstancesAnswer is the answer of GET /v1/instances.
type InstancesAnswer struct {
	Instances  []InstanceAnswer `json:"instances"`
	TTLSeconds int              `json:"ttlSeconds"`
	Epoch      int64            `json:"epoch"`
}

// InstanceAnswer is one entry instance, the one to try first at the front.
type InstanceAnswer struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// instances needs no token: a caller asks it before anything else, and the
// answer holds addresses only.
func (s *Server) instances(_ context.Context, c *app.RequestContext) error {
	live, epoch := s.opts.Instances.Live()
	return writeJSON(c, InstancesAnswer{
		Instances:  order(live, callerKey(c)),
		TTLSeconds: s.opts.Timing.AddressSeconds, Epoch: epoch,
	})
}

// order sorts instances by rendezvous hash of the caller. Callers spread
// without a balancer, each keeps its order while others join and leave, and when
// an instance is lost its callers spread over all the others.
func order(live []Instance, key string) []InstanceAnswer {
	byAddress := make(map[string]Instance, len(live))
	addresses := make([]string, 0, len(live))
	for _, in := range live {
		byAddress[in.Address] = in
		addresses = append(addresses, in.Address)
	}
	ordered := make([]InstanceAnswer, 0, min(len(live), maxAnswered))
	for len(addresses) > 0 && len(ordered) < maxAnswered {
		// The library's Remove reads behind its slice, so each place is looked
		// up in what is left.
		first := rendezvous.New(addresses, xxhash.Sum64String).Lookup(key)
		addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == first })
		ordered = append(ordered, InstanceAnswer(byAddress[first]))
	}
	return ordered
}

func callerKey(c *app.RequestContext) string {
	if token, ok := bearerToken(c); ok {
		return tokenSum(token)
	}
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

func (s *Server) healthz(_ context.Context, c *app.RequestContext) error {
	c.String(http.StatusOK, "ok\n")
	return nil
}

// readyz fails while the instance leaves, or can't take new work.
func (s *Server) readyz(_ context.Context, c *app.RequestContext) error {
	snapshot := s.opts.Config.Snapshot()
	switch {
	case s.gate.Draining():
		return &permit.Refusal{Reason: permit.ReasonShuttingDown}
	case snapshot == nil || snapshot.Version == 0 || !s.confirmed(now()):
		return &permit.Refusal{Reason: permit.ReasonNotConfirmed}
	}
	c.String(http.StatusOK, "ready\n")
	return nil
}

// ModelsAnswer is the answer of GET /v1/models.
type ModelsAnswer struct {
	Object string        `json:"object"`
	Data   []ModelAnswer `json:"data"`
}

// ModelAnswer is one model in OpenAI's form.
type ModelAnswer struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(_ context.Context, c *app.RequestContext) error {
	who, err := s.authenticate(c)
	if err != nil {
		return err
	}
	list := ModelsAnswer{Object: "list", Data: []ModelAnswer{}}
	for _, m := range who.snapshot.Config.Models {
		list.Data = append(list.Data, ModelAnswer{ID: m.Name, Object: "model", OwnedBy: m.Service})
	}
	return writeJSON(c, list)
}

func writeJSON(c *app.RequestContext, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return answer.FromError(err)
	}
	c.Data(http.StatusOK, "application/json", b)
	return nil
}
