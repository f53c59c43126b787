package enginecommand

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
)

// Results of commands between instances.
const (
	resultDone        = "done"
	resultBusy        = "busy"
	resultNotOwner    = "notOwner"
	resultInvalid     = "refused"
	resultSuperseded  = "overtaken"
	resultUnavailable = "unavailable"
	resultUnknown     = "unknown"
)

// Handler returns the handler of commands that peers forward.
func (g *Executor) Handler() peerv1connect.OrderServiceHandler { return &handler{g} }

type handler struct{ executor *Executor }

// LoadModel implements the service.
func (h *handler) LoadModel(ctx context.Context, req *peerv1.LoadModelRequest) (*peerv1.LoadModelResponse, error) {
	outcome, err := h.executor.Load(ctx, Command{Server: req.GetServer(), Model: req.GetModel(), Version: req.GetVersion()})
	res := &peerv1.LoadModelResponse{Result: resultOf(err), FencingNumber: outcome.FencingToken, State: string(outcome.State)}
	var busy *BusyError
	if errors.As(err, &busy) {
		res.Message, res.RetryAfterMillis = busy.Holder, busy.RetryAfter.Milliseconds()
	} else if err != nil {
		res.Message = err.Error()
	}
	return res, nil
}

func resultOf(err error) string {
	var busy *BusyError
	switch {
	case err == nil:
		return resultDone
	case errors.As(err, &busy):
		return resultBusy
	case errors.Is(err, ErrNotOwner):
		return resultNotOwner
	case errors.Is(err, ErrInvalid):
		return resultInvalid
	case errors.Is(err, ErrSuperseded):
		return resultSuperseded
	case errors.Is(err, ErrUnavailable):
		return resultUnavailable
	}
	return resultUnknown
}

// FromPeer converts the response of a peer that a command was forwarded to.
func FromPeer(res *peerv1.LoadModelResponse) (Outcome, error) {
	outcome := Outcome{FencingToken: res.GetFencingNumber(), State: State(res.GetState())}
	switch res.GetResult() {
	case resultDone:
		return outcome, nil
	case resultBusy:
		return outcome, &BusyError{Holder: res.GetMessage(), RetryAfter: time.Duration(res.GetRetryAfterMillis()) * time.Millisecond}
	case resultNotOwner:
		return outcome, ErrNotOwner
	case resultInvalid:
		return outcome, merry.Append(ErrInvalid, res.GetMessage())
	case resultSuperseded:
		return outcome, ErrSuperseded
	case resultUnavailable:
		return outcome, merry.Append(ErrUnavailable, res.GetMessage())
	}
	return outcome, merry.Append(ErrUnknownOutcome, res.GetMessage())
}
