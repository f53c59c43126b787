package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/engine"
)

// orderState is what orders have changed.
type orderState struct {
	role     string
	models   []engine.ModelVersion
	adapters []engine.ModelVersion
	highest  int64
}

// has reports whether a model can be used. An engine without any named model
// takes all, which keeps small tests short.
func (o *orderState) has(model string) bool {
	if len(o.models) == 0 {
		return model != ""
	}
	for _, m := range o.models {
		if m.Name == model {
			return true
		}
	}
	for _, a := range o.adapters {
		if a.Name == model {
			return true
		}
	}
	return false
}

func (o *orderState) setModel(name, version string) { o.models = setVersion(o.models, name, version) }

func setVersion(list []engine.ModelVersion, name, version string) []engine.ModelVersion {
	for i := range list {
		if list[i].Name == name {
			list[i].Version = version
			return list
		}
	}
	return append(list, engine.ModelVersion{Name: name, Version: version})
}

func (s *Server) handleState(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	state := s.state()
	s.mu.Unlock()
	c.JSON(http.StatusOK, state)
}

func (s *Server) state() engine.State {
	return engine.State{
		Incarnation:         s.incarnation,
		Role:                s.orders.role,
		Models:              append([]engine.ModelVersion{}, s.orders.models...),
		Adapters:            append([]engine.ModelVersion{}, s.orders.adapters...),
		HighestFencingToken: s.orders.highest,
	}
}

func (s *Server) handleOrder(ctx context.Context, c *app.RequestContext) {
	var order engine.Command
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil || order.Name == "" {
		writeRefusal(c, &refusal{status: http.StatusBadRequest, code: "badOrder"})
		return
	}
	if highest, ok := s.fence(order.FencingToken); !ok {
		c.JSON(http.StatusConflict, engine.StaleFencingError{Highest: highest})
		return
	}
	if err := s.readWeights(ctx, order); err != nil {
		writeRefusal(c, &refusal{status: http.StatusBadGateway, code: "weightStore"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.CheckFencing && order.FencingToken < s.orders.highest {
		// A later order came while this one read its weights.
		c.JSON(http.StatusConflict, engine.StaleFencingError{Highest: s.orders.highest})
		return
	}
	switch order.Kind {
	case engine.CommandLoadModel:
		s.orders.setModel(order.Name, order.Version)
	case engine.CommandLoadAdapter:
		s.orders.adapters = setVersion(s.orders.adapters, order.Name, order.Version)
	case engine.CommandSetRole:
		s.orders.role = order.Name
	default:
		writeRefusal(c, &refusal{status: http.StatusBadRequest, code: "badOrder"})
		return
	}
	c.JSON(http.StatusOK, s.state())
}

// fence remembers the highest number seen and reports whether n may pass.
func (s *Server) fence(n int64) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.CheckFencing && n < s.orders.highest {
		return s.orders.highest, false
	}
	s.orders.highest = max(s.orders.highest, n)
	return s.orders.highest, true
}

// readWeights takes the time of reading weights.
func (s *Server) readWeights(ctx context.Context, order engine.Command) error {
	if order.Kind == engine.CommandSetRole {
		return nil
	}
	if s.opts.WeightStore == "" {
		return wait(ctx, s.opts.real(s.opts.LoadTime))
	}
	url := s.opts.WeightStore + "/weights/" + order.Name + "/" + order.Version
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
