package ingress

import (
	"context"
	"net/http"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/migration"
	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// stopLost tells the engine of a stream whose connection was lost to stop the generation, which would run on two
// engines otherwise; silence detection does so for silent ones. It returns the point at which the generation
// resumes on the target, without a handle if the engine doesn't know the generation, can't be reached or doesn't
// answer in time.
func (cs *callerStream) stopLost(ctx context.Context, target balancer.Placement) (resumePoint, error) {
	e, source := cs.r.service.Engine, cs.stream.server()
	point := resumePoint{target: target, sourceAddress: source.Address}
	if e == nil || !e.SupportsMigration || cs.stream.silenceConfirmed() {
		return point, nil
	}
	if known, ok := cs.s.opts.State.Server(source.ID); !ok || known.Leaving {
		// The engine has ended; a call to it would wait until its dial times out.
		return point, nil
	}
	tokens := cs.r.promptTokens + cs.stream.generatedTokens()
	limit := silentStopTimeout + migration.TransferTime(*e, tokens, target.Server.Zone != source.Zone)
	ctx, cancel := context.WithTimeout(ctx, min(cutoverTimeout, limit))
	defer cancel()
	for {
		status, migrated, err := cs.s.sendMigration(ctx, cs.r.id, source.Address, target.Server.Address, true)
		cs.s.log.Info().Str("request", cs.r.id).Str("server", source.ID).Str("to", target.Server.ID).Int("status", status).Err(err).
			Msg("engine of a lost stream told to stop it")
		switch {
		case err == nil:
			point.handle = migrated.Handle
			return point, nil
		case migrated.Handle != "":
			// The engine has stopped it, and keeps a KV cache that the target has no room for.
			cs.s.discardCopy(resumePoint{sourceAddress: source.Address, handle: migrated.Handle})
			return point, nil
		case status != http.StatusConflict:
			return point, nil
		case objectapi.Sleep(ctx, stopRetryInterval) != nil:
			return point, errSourceStillRuns
		}
	}
}
