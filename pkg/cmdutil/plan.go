package cmdutil

import (
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// PlannedChange is a change of one state, by which [RunChange] is the same for
// zones and backend servers, out and back.
type PlannedChange struct {
	// Tell says what the change will do.
	Tell func(cfg pollenspindle.Config)
	// Make has it accepted.
	Make func(client *operatorapi.Client, req operatorapi.ChangeRequest) (operatorapi.ChangeResult, error)
}

// RunChange tells what a change will do, has it accepted, and waits until it is
// in force; see [FinishChange].
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
	planned.Tell(current.Config)
	accepted, err := planned.Make(client, operatorapi.ChangeRequest{
		Author: flags.AuthorOr(f.Author), Summary: flags.Summary,
	})
	if err != nil {
		return err
	}
	return FinishChange(ctx, f.Streams, client, flags, output, accepted)
}

// PlanZone tells before a zone is drained or restored which backend servers
// that concerns, so that a slip in the name is seen.
func PlanZone(streams *iostreams.IOStreams, cfg pollenspindle.Config, zone, what string) {
	count := 0
	for _, s := range cfg.Servers {
		if s.Zone == zone {
			count++
		}
	}
	fmt.Fprintf(streams.Err, "%s zone %s: %d of %d backend servers.\n", what, zone, count, len(cfg.Servers))
}

// PlanServer tells before a backend server is drained or restored how many
// others of its service may receive new work.
func PlanServer(streams *iostreams.IOStreams, cfg pollenspindle.Config, server, what string) {
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
			what, server, service, others[service])
	}
}
