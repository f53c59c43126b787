// Command mavuno prints the configuration of Mavuno Shule Supplies Ltd: weekly
// menu-to-order plans and delivery note checks by model, and the order service
// with its stock lookups and order confirmations.
//
// # Usage
//
//	go run ./examples/mavuno | pollenspindle config apply -f -
package main

import (
	"fmt"
	"os"

	"pollenspindle.example/pollenspindle/examples/internal/example"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	region         = "nairobi"
	enginesPerZone = 4
	// patientQueueSeconds lets a plan wait for an hour: plans are of the patient class and must be
	// finished before Monday.
	patientQueueSeconds = 3600
)

// customers are the workspaces. Schools draft plans, which can wait; cooperatives check delivery
// notes while a truck waits.
var customers = []struct {
	name   string
	weight int
	class  pollenspindle.Class
}{
	{"nairobi-schools", 300, pollenspindle.ClassPatient},
	{"kiambu-schools", 250, pollenspindle.ClassPatient},
	{"machakos-schools", 150, pollenspindle.ClassPatient},
	{"kajiado-schools", 100, pollenspindle.ClassPatient},
	{"thika-schools", 100, pollenspindle.ClassPatient},
	{"limuru-greens", 100, pollenspindle.ClassInteractive},
	{"kirinyaga-growers", 100, pollenspindle.ClassInteractive},
	{"embu-cooperative", 100, pollenspindle.ClassInteractive},
	{"nyeri-cooperative", 100, pollenspindle.ClassInteractive},
	{"old-ledger", 50, pollenspindle.ClassPatient},
}

func main() {
	os.Exit(example.Main("mavuno", build, os.Args[1:], os.Stdout, os.Stderr))
}

func build(small bool, addresses *example.Addresses) *pollenspindle.Config {
	cfg := pollenspindle.New("mavuno")
	zones := []pollenspindle.ZoneRef{
		cfg.AddZone("nairobi-a", region),
		cfg.AddZone("nairobi-b", region),
		cfg.AddZone("nairobi-c", region),
	}
	addPlanning(cfg, zones, small, addresses)
	addOrders(cfg, zones, small, addresses)
	for _, customer := range customers {
		cfg.AddWorkspace(pollenspindle.Workspace{
			Name: customer.name, Weight: customer.weight, Class: customer.class,
			TokenSHA256: []string{pollenspindle.Token("mavuno-" + customer.name)},
		})
	}
	return cfg
}

// addPlanning declares the model engines. The third zone has older engines that execute every
// command regardless of its fencing token.
func addPlanning(cfg *pollenspindle.Config, zones []pollenspindle.ZoneRef, small bool, addresses *example.Addresses) {
	planning := cfg.AddGenerationService("planning", pollenspindle.Queueing{
		Seconds: 30, PatientSeconds: patientQueueSeconds, TokenIntervalTargetMillis: 80,
	})
	models := []pollenspindle.ModelRef{
		planning.AddModel("menu-planner", "7", 32768),
		planning.AddModel("note-checker", "3", 8192),
	}
	count := enginesPerZone
	if small {
		count = 1
	}
	for i := range count * len(zones) {
		name := fmt.Sprintf("planner-%d", i+1)
		fencing := pollenspindle.FencingChecked
		if i%len(zones) == len(zones)-1 {
			fencing = pollenspindle.FencingIgnored
		}
		planning.AddServer(name, zones[i%len(zones)], addresses.Of(name), pollenspindle.Engine{
			Models: models, ColdLimit: 2, WarmLimit: 24, MemoryTokens: 24000, Fencing: fencing,
		})
	}
}

// addOrders declares the order service. Entering a confirmation twice sends a truck twice, so it
// runs at most once.
func addOrders(cfg *pollenspindle.Config, zones []pollenspindle.ZoneRef, small bool, addresses *example.Addresses) {
	orders := cfg.AddPlainService("orders", 20)
	orders.Idempotent("GET", "/stock")
	orders.NonIdempotent("POST", "/confirmations")
	count := len(zones)
	if small {
		count = 1
	}
	for i := range count {
		name := fmt.Sprintf("orders-%d", i+1)
		orders.AddServer(name, zones[i], addresses.Of(name), 2, 32)
	}
}
