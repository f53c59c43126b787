package cmdutil

import (
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// PlannedChange is a drain or restore of a zone or backend server, for [RunChange].
type PlannedChange struct {
	// PrintPlan prints the effect that the change will have on cfg.
	PrintPlan func(cfg pollenspindle.Config)
	// Submit sends the change to the instance.
	Submit func(client *operatorapi.Client, req operatorapi.ChangeRequest) (operatorapi.ChangeResult, error)
}

// RunChange prints the effect of a change, submits it and waits until it is in force; see
// [FinishChange].
func RunChange(ctx context.Context, f *Factory, to Connection, flags Change, output Output, planned PlannedChange) error {
	client, err := to.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	planned.PrintPlan(current.Config)
	accepted, err := planned.Submit(client, operatorapi.ChangeRequest{
		Author: flags.AuthorOr(f.Author), Summary: flags.Summary,
	})
	if err != nil {
		return err
	}
	return FinishChange(ctx, f.Streams, client, flags, output, accepted)
}

// PrintZonePlan prints how many backend servers the drain or restore of a zone affects, so that the
// operator notices a mistyped name. action begins the message, as in "Taking out".
func PrintZonePlan(streams *iostreams.IOStreams, cfg pollenspindle.Config, zone, action string) {
	count := 0
	for _, s := range cfg.Servers {
		if s.Zone == zone {
			count++
		}
	}
	fmt.Fprintf(streams.Err, "%s zone %s: %d of %d backend servers.\n", action, zone, count, len(cfg.Servers))
}

// PrintServerPlan prints, before a backend server is drained or restored, how many other backend
// servers of its service may receive new work. action begins the message, as in "Draining".
func PrintServerPlan(streams *iostreams.IOStreams, cfg pollenspindle.Config, server, action string) {
	inService := make(map[string]bool, len(cfg.Zones))
	for _, z := range cfg.Zones {
		inService[z.Name] = z.State == pollenspindle.ZoneInService
	}
	service, others := "", map[string]int{}
	for _, s := range cfg.Servers {
		switch {
		case s.Name == server:
			service = s.Service
		case s.State == pollenspindle.ServerInService && inService[s.Zone]:
			others[s.Service]++
		}
	}
	if service != "" {
		fmt.Fprintf(streams.Err, "%s server %s of service %s; %d others may receive new work.\n",
			action, server, service, others[service])
	}
}
