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

// maxListedInstances limits the instances in one response. A caller that finds so many down has
// lost its own network connection.
const maxListedInstances = 16

// InstancesResponse is the response of GET /v1/instances.
type InstancesResponse struct {
	// Instances are in the order in which the caller should try them.
	Instances  []ListedInstance `json:"instances"`
	TTLSeconds int              `json:"ttlSeconds"`
	Epoch      int64            `json:"epoch"`
}

// ListedInstance is one entry instance.
type ListedInstance struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// instances lists the entry instances. It requires no token: callers request it first, and the
// response holds only addresses.
func (s *Server) instances(_ context.Context, c *app.RequestContext) error {
	live, epoch := s.opts.Instances.Live()
	return writeJSON(c, InstancesResponse{
		Instances:  rankInstances(live, callerKey(c)),
		TTLSeconds: s.opts.Timing.AddressSeconds, Epoch: epoch,
	})
}

// rankInstances sorts instances by the rendezvous hash of the caller's key. This spreads callers
// without a load balancer, keeps each caller's order while instances join and leave, and spreads
// the callers of a lost instance over all others.
func rankInstances(live []Instance, key string) []ListedInstance {
	byAddress := make(map[string]Instance, len(live))
	addresses := make([]string, 0, len(live))
	for _, in := range live {
		byAddress[in.Address] = in
		addresses = append(addresses, in.Address)
	}
	ordered := make([]ListedInstance, 0, min(len(live), maxListedInstances))
	for len(addresses) > 0 && len(ordered) < maxListedInstances {
		// The library's Remove reads beyond the end of its slice, so each position is looked up
		// in a new hash of the remaining addresses.
		first := rendezvous.New(addresses, xxhash.Sum64String).Lookup(key)
		addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == first })
		ordered = append(ordered, ListedInstance(byAddress[first]))
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

// readyz fails while the instance shuts down or can't accept new requests.
func (s *Server) readyz(_ context.Context, c *app.RequestContext) error {
	snapshot := s.opts.Config.Snapshot()
	switch {
	case s.gate.Draining():
		return &permit.Refusal{Reason: permit.ReasonShuttingDown}
	case snapshot == nil || snapshot.Version == 0 || !s.isConfirmed(now()):
		return &permit.Refusal{Reason: permit.ReasonNotConfirmed}
	}
	c.String(http.StatusOK, "ready\n")
	return nil
}

// ModelsResponse is the response of GET /v1/models.
type ModelsResponse struct {
	Object string        `json:"object"`
	Data   []ListedModel `json:"data"`
}

// ListedModel is one model in OpenAI's format.
type ListedModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(_ context.Context, c *app.RequestContext) error {
	ident, err := s.authenticate(c)
	if err != nil {
		return err
	}
	list := ModelsResponse{Object: "list", Data: []ListedModel{}}
	for _, m := range ident.snapshot.Config.Models {
		list.Data = append(list.Data, ListedModel{ID: m.Name, Object: "model", OwnedBy: m.Service})
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
