package command

import (
	"context"

	"pollenspindle.example/pollenspindle/internal/standin/platform"
)

// PlatformCmd runs the platform.
type PlatformCmd struct {
	Address         string  `default:"127.0.0.1:0" help:"Address to listen on."`
	LagMillis       int64   `default:"0" help:"Delay before a change of the instance list becomes visible."`
	ReadsPerSecond  float64 `default:"0" help:"Maximum number of reads per second; more are refused. 0 for no limit."`
	WritesPerSecond float64 `default:"0" help:"Maximum number of writes per second; more are refused. 0 for no limit."`
	History         int     `default:"0" help:"Number of changes kept for watches; 0 for the default."`
}

// Run runs the platform.
func (p *PlatformCmd) Run(ctx context.Context, s *streams) error {
	return platform.Run(ctx, platform.Options{
		Address:         p.Address,
		Lag:             millis(p.LagMillis),
		ReadsPerSecond:  p.ReadsPerSecond,
		WritesPerSecond: p.WritesPerSecond,
		History:         p.History,
		Ready:           s.ready,
	})
}
