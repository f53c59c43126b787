package command

import (
	"context"

	"pollenspindle.example/pollenspindle/internal/standin/service"
	"pollenspindle.example/pollenspindle/internal/standin/weights"
)

// ServiceCmd runs a plain service.
type ServiceCmd struct {
	Address         string `default:"127.0.0.1:0" help:"Address to listen on."`
	Name            string `default:"service" help:"Prefix of the incarnation names."`
	DelayMillis     int64  `default:"5" help:"Duration of each request."`
	ColdLimit       int    `default:"2" help:"Number of concurrent requests that the service can handle while cold."`
	ColdMillis      int64  `default:"2000" help:"How long the service is cold after its start."`
	ColdRefuses     bool   `help:"Refuse requests above the cold limit instead of crashing."`
	RepeatMillis    int64  `default:"0" help:"Time after which the response to a read is sent again on the same connection; 0 for never."`
	ReportLagMillis int64  `default:"100" help:"Age of load reports."`
}

// Run runs the service.
func (c *ServiceCmd) Run(ctx context.Context, s *streams) error {
	return service.Run(ctx, service.Options{
		Address:     c.Address,
		Name:        c.Name,
		Delay:       millis(c.DelayMillis),
		ColdLimit:   c.ColdLimit,
		ColdTime:    millis(c.ColdMillis),
		ColdRefuses: c.ColdRefuses,
		RepeatAfter: millis(c.RepeatMillis),
		ReportLag:   millis(c.ReportLagMillis),
		Ready:       s.ready,
	})
}

// WeightsCmd runs the weight store.
type WeightsCmd struct {
	Address        string `default:"127.0.0.1:0" help:"Address to listen on."`
	Bytes          int64  `default:"33554432" help:"Size of each model's weights."`
	BytesPerSecond int64  `default:"33554432" help:"Total rate of all readers."`
}

// Run runs the weight store.
func (c *WeightsCmd) Run(ctx context.Context, s *streams) error {
	return weights.Run(ctx, weights.Options{
		Address:        c.Address,
		Bytes:          c.Bytes,
		BytesPerSecond: c.BytesPerSecond,
		Ready:          s.ready,
	})
}
