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

// commandState is the state that commands change.
type commandState struct {
	role                string
	models              []engine.ModelVersion
	adapters            []engine.ModelVersion
	highestFencingToken int64
}

// hasModel reports whether a model is loaded. An engine without loaded models accepts
// every name, which keeps small tests short.
func (o *commandState) hasModel(model string) bool {
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

func (o *commandState) setModel(name, version string) { o.models = setVersion(o.models, name, version) }

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
		Role:                s.commands.role,
		Models:              append([]engine.ModelVersion{}, s.commands.models...),
		Adapters:            append([]engine.ModelVersion{}, s.commands.adapters...),
		HighestFencingToken: s.commands.highestFencingToken,
	}
}

func (s *Server) handleCommand(ctx context.Context, c *app.RequestContext) {
	var command engine.Command
	if err := json.Unmarshal(c.Request.Body(), &command); err != nil || command.Name == "" {
		writeRefusal(c, &refusal{status: http.StatusBadRequest, code: "badOrder"})
		return
	}
	if highest, ok := s.checkFencingToken(command.FencingToken); !ok {
		c.JSON(http.StatusConflict, engine.StaleFencingError{Highest: highest})
		return
	}
	if err := s.loadWeights(ctx, command); err != nil {
		writeRefusal(c, &refusal{status: http.StatusBadGateway, code: "weightStore"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.CheckFencing && command.FencingToken < s.commands.highestFencingToken {
		// A later command arrived while this one loaded its weights.
		c.JSON(http.StatusConflict, engine.StaleFencingError{Highest: s.commands.highestFencingToken})
		return
	}
	switch command.Kind {
	case engine.CommandLoadModel:
		s.commands.setModel(command.Name, command.Version)
	case engine.CommandLoadAdapter:
		s.commands.adapters = setVersion(s.commands.adapters, command.Name, command.Version)
	case engine.CommandSetRole:
		s.commands.role = command.Name
	default:
		writeRefusal(c, &refusal{status: http.StatusBadRequest, code: "badOrder"})
		return
	}
	c.JSON(http.StatusOK, s.state())
}

// checkFencingToken records the highest token and reports whether n is current. It
// also returns the highest token.
func (s *Server) checkFencingToken(n int64) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.CheckFencing && n < s.commands.highestFencingToken {
		return s.commands.highestFencingToken, false
	}
	s.commands.highestFencingToken = max(s.commands.highestFencingToken, n)
	return s.commands.highestFencingToken, true
}

// loadWeights takes as long as loading the weights of a command does.
func (s *Server) loadWeights(ctx context.Context, command engine.Command) error {
	if command.Kind == engine.CommandSetRole {
		return nil
	}
	if s.opts.WeightStore == "" {
		return sleep(ctx, s.opts.realDuration(s.opts.LoadTime))
	}
	url := s.opts.WeightStore + "/weights/" + command.Name + "/" + command.Version
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

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
