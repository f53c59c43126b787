package operator

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// maxTextBytes is the maximum length of author and summary, which every instance stores.
	maxTextBytes = 200
	// maxHistory is the maximum number of changes in a response, defaultHistory the default.
	maxHistory     = 500
	defaultHistory = 20
	// maxStateAttempts is the maximum number of attempts at a state change that conflicts with
	// others. At 12,000 changes a day a second conflict in a row is rare.
	maxStateAttempts = 5
)

func (s *Server) applyConfig(ctx context.Context, c *app.RequestContext) {
	var req operatorapi.ApplyRequest
	if !s.decode(c, &req) || !s.checkTexts(c, req.Author, req.Summary) {
		return
	}
	if req.BaseVersion < 0 {
		s.respondInvalidField(c, "baseVersion", "must not be negative")
		return
	}
	accepted, err := s.apply(ctx, req)
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(consts.StatusOK, accepted)
}

// apply replaces the configuration. States that the request leaves empty are copied from the base
// version. The versions are compared before that, since states copied from another version would be
// wrong; the conditional update makes the final check.
func (s *Server) apply(ctx context.Context, req operatorapi.ApplyRequest) (operatorapi.ChangeResult, error) {
	if err := req.Config.Validate(); err != nil {
		return operatorapi.ChangeResult{}, err
	}
	current, err := s.opts.Config.Current(ctx)
	if err != nil {
		return operatorapi.ChangeResult{}, err
	}
	if current.Version != req.BaseVersion {
		return operatorapi.ChangeResult{}, s.conflictError(ctx, req.BaseVersion, current.Version)
	}
	next := req.Config.KeepStates(current.Config).WithDefaults()
	return s.accept(ctx, current, Change{
		BaseVersion: req.BaseVersion, Author: req.Author, Summary: req.Summary, Config: next,
	})
}

// accept applies change unless it changes nothing: applying an unchanged configuration again must
// not create a version that every instance has to load.
func (s *Server) accept(ctx context.Context, current operatorapi.Configuration, change Change) (operatorapi.ChangeResult, error) {
	changes := operatorapi.Changes(current.Config, change.Config)
	if len(changes) == 0 && current.Version > 0 {
		return operatorapi.ChangeResult{Version: current.Version, Changes: changes}, nil
	}
	version, err := s.opts.Config.Apply(ctx, s.opts.Now(), change)
	if err != nil {
		return operatorapi.ChangeResult{}, err
	}
	s.opts.Log.Info().Int64("version", version).Str("author", change.Author).
		Int("changes", len(changes)).Msg("Configuration accepted.")
	return operatorapi.ChangeResult{Version: version, Changes: changes}, nil
}

// conflictError returns an error with the changes accepted since base. If the history can't be
// read, the error still has both versions.
func (s *Server) conflictError(ctx context.Context, base, current int64) error {
	since := []operatorapi.Change{}
	history, err := s.opts.Config.History(ctx, defaultHistory)
	if err != nil {
		s.opts.Log.Warn().Err(err).Msg("Reading the history for a conflict failed.")
	}
	for _, change := range history {
		if change.Version > base {
			since = append(since, change)
		}
	}
	return &ConflictError{Base: base, Current: current, Changes: since}
}

// checkTexts validates author and summary, which are stored with each change and shown to
// operators.
func (s *Server) checkTexts(c *app.RequestContext, author, summary string) bool {
	if author == "" {
		s.respondInvalidField(c, "author", "is missing")
		return false
	}
	for _, text := range []struct{ path, value string }{{"author", author}, {"summary", summary}} {
		if len(text.value) > maxTextBytes || !isPrintable(text.value) {
			s.respondInvalidField(c, text.path, "must be at most "+strconv.Itoa(maxTextBytes)+" bytes of printable UTF-8")
			return false
		}
	}
	return true
}

// changeState reads the configuration, edits it and applies it on top of the version that was read.
// It retries after a conflict: the operator requested a state, not a version, and the edit doesn't
// change anything else.
func (s *Server) changeState(ctx context.Context, req operatorapi.ChangeRequest, edit stateEdit) (operatorapi.ChangeResult, error) {
	for attempt := 1; ; attempt++ {
		current, err := s.opts.Config.Current(ctx)
		if err != nil {
			return operatorapi.ChangeResult{}, err
		}
		next, err := applyEdit(current.Config, edit)
		if err != nil {
			return operatorapi.ChangeResult{}, err
		}
		accepted, err := s.accept(ctx, current, Change{
			BaseVersion: current.Version, Author: req.Author, Summary: req.Summary, Config: next,
		})
		var conflict *ConflictError
		if err == nil || !errors.As(err, &conflict) || attempt == maxStateAttempts {
			return accepted, err
		}
	}
}

func (s *Server) zoneChange(state pollenspindle.ZoneState) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		s.handleStateChange(ctx, c, zoneEdit{name: c.Param("name"), state: state})
	}
}

func (s *Server) serverChange(state pollenspindle.ServerState) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		s.handleStateChange(ctx, c, serverEdit{name: c.Param("name"), state: state})
	}
}

func (s *Server) handleStateChange(ctx context.Context, c *app.RequestContext, edit stateEdit) {
	var req operatorapi.ChangeRequest
	if !s.decode(c, &req) || !s.checkTexts(c, req.Author, req.Summary) {
		return
	}
	if req.Summary == "" {
		req.Summary = defaultSummary(edit)
	}
	accepted, err := s.changeState(ctx, req, edit)
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(consts.StatusOK, accepted)
}

// isPrintable reports whether text has no characters that break the line of the output or control
// the operator's terminal.
func isPrintable(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}
