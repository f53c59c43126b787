package operator

import (
	"errors"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/strictjson"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

func (s *Server) respondFailure(c *app.RequestContext, status int, detail operatorapi.FailureDetail) {
	c.JSON(status, operatorapi.Failure{Error: detail})
}

// respondError responds with the status and code of err. An unexpected error is logged, and the
// response does not contain its text.
func (s *Server) respondError(c *app.RequestContext, err error) {
	var conflict *ConflictError
	var invalid *pollenspindle.InvalidError
	switch {
	case errors.As(err, &conflict):
		s.respondFailure(c, consts.StatusConflict, operatorapi.FailureDetail{
			Code:    operatorapi.CodeConflict,
			Message: "the configuration has changed since the version that this change is based on; nothing was changed",
			Conflict: &operatorapi.Conflict{
				BaseVersion: conflict.Base, CurrentVersion: conflict.Current, Changes: conflict.Changes,
			},
		})
	case errors.As(err, &invalid):
		s.respondFailure(c, consts.StatusUnprocessableEntity, operatorapi.FailureDetail{
			Code: operatorapi.CodeInvalid, Message: "the configuration is not valid; nothing was changed",
			Faults: invalid.Faults,
		})
	case errors.Is(err, ErrNotFound):
		s.respondCode(c, consts.StatusNotFound, operatorapi.CodeNotFound, err)
	case errors.Is(err, ErrRefused):
		s.respondCode(c, consts.StatusConflict, operatorapi.CodeConflict, err)
	case errors.Is(err, ErrUnavailable):
		s.respondCode(c, consts.StatusServiceUnavailable, operatorapi.CodeUnavailable, err)
	case errors.Is(err, ErrUnknownOutcome):
		s.respondCode(c, consts.StatusBadGateway, operatorapi.CodeUnknownOutcome, err)
	default:
		s.opts.Log.Error().Err(err).Str("path", string(c.Path())).Msg("Call failed.")
		s.respondFailure(c, consts.StatusInternalServerError, operatorapi.FailureDetail{
			Code: operatorapi.CodeInternal, Message: "internal error",
		})
	}
}

func (s *Server) respondCode(c *app.RequestContext, status int, code operatorapi.Code, err error) {
	s.respondFailure(c, status, operatorapi.FailureDetail{Code: code, Message: err.Error()})
}

func (s *Server) respondUnsupported(c *app.RequestContext) {
	s.respondFailure(c, consts.StatusNotImplemented, operatorapi.FailureDetail{
		Code: operatorapi.CodeUnsupported, Message: "this instance does not support the call",
	})
}

// decode decodes the body into v. If that fails, it responds with 400 and all faults and returns
// false.
func (s *Server) decode(c *app.RequestContext, v any) bool {
	faults := strictjson.Decode(c.Request.Body(), v).Faults()
	if len(faults) == 0 {
		return true
	}
	detail := operatorapi.FailureDetail{Code: operatorapi.CodeBadRequest}
	messages := make([]string, 0, len(faults))
	for _, f := range faults {
		messages = append(messages, f.String())
		detail.Faults = append(detail.Faults, pollenspindle.Fault{
			Path: f.Path, Message: f.Message, Line: f.Line, Column: f.Column,
		})
	}
	detail.Message = strings.Join(messages, "; ")
	s.respondFailure(c, consts.StatusBadRequest, detail)
	return false
}

// respondInvalidField responds with 400 for an invalid field or parameter.
func (s *Server) respondInvalidField(c *app.RequestContext, path, message string) {
	s.respondFailure(c, consts.StatusBadRequest, operatorapi.FailureDetail{
		Code: operatorapi.CodeBadRequest, Message: path + ": " + message,
		Faults: []pollenspindle.Fault{{Path: path, Message: message}},
	})
}
