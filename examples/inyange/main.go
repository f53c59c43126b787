// Command inyange prints the configuration of Inyange Model Aero Services:
// flight-log briefings and airworthiness verdicts by model, and the club desk
// with its rosters, field bookings and fee charges.
//
// # Usage
//
//	go run ./examples/inyange | pollenspindle config apply -f -
package main

import (
	"fmt"
	"os"

	"pollenspindle.example/pollenspindle/examples/internal/example"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	region         = "kigali"
	enginesPerZone = 4
)

// clubs are the workspaces. The larger clubs have a higher weight because their instructors read
// most of the briefings.
var clubs = []struct {
	name   string
	weight int
}{
	{"kigali-flyers", 300},
	{"huye-gliders", 250},
	{"musanze-aero", 200},
	{"rubavu-wings", 100},
	{"nyanza-models", 100},
	{"rwamagana-club", 100},
	{"muhanga-pilots", 100},
	{"kibuye-soarers", 100},
	{"byumba-juniors", 50},
	{"field-marshals", 100},
}

func main() {
	os.Exit(example.Main("inyange", build, os.Args[1:], os.Stdout, os.Stderr))
}

func build(small bool, addresses *example.Addresses) *pollenspindle.Config {
	cfg := pollenspindle.New("inyange")
	zones := []pollenspindle.ZoneRef{
		cfg.AddZone("kigali-a", region),
		cfg.AddZone("kigali-b", region),
		cfg.AddZone("kigali-c", region),
	}
	addBriefing(cfg, zones, small, addresses)
	addClubDesk(cfg, zones, small, addresses)
	for _, club := range clubs {
		cfg.AddWorkspace(pollenspindle.Workspace{
			Name: club.name, Weight: club.weight,
			TokenSHA256: []string{pollenspindle.Token("inyange-" + club.name)},
		})
	}
	return cfg
}

// addBriefing declares the model engines. Briefings are read live, so queueing is short and the
// time between tokens is kept low.
func addBriefing(cfg *pollenspindle.Config, zones []pollenspindle.ZoneRef, small bool, addresses *example.Addresses) {
	briefing := cfg.AddGenerationService("briefing", pollenspindle.Queueing{Seconds: 20, PatientSeconds: 300})
	models := []pollenspindle.ModelRef{
		briefing.AddModel("flight-briefing", "2026-11", 16384),
		briefing.AddModel("airworthiness", "2026-11", 8192),
	}
	count := enginesPerZone
	if small {
		count = 1
	}
	for i := range count * len(zones) {
		name := fmt.Sprintf("briefing-%d", i+1)
		briefing.AddServer(name, zones[i%len(zones)], addresses.Of(name), pollenspindle.Engine{
			Models: models, ColdLimit: 2, WarmLimit: 16, MemoryTokens: 16000,
			Fencing: pollenspindle.FencingChecked,
		})
	}
}

// addClubDesk declares the club desk. Rosters are read-only; booking a field or charging a fee
// twice harms a club, so both run at most once.
func addClubDesk(cfg *pollenspindle.Config, zones []pollenspindle.ZoneRef, small bool, addresses *example.Addresses) {
	desk := cfg.AddPlainService("club-desk", 15)
	desk.Idempotent("GET", "/rosters")
	desk.NonIdempotent("POST", "/bookings")
	desk.NonIdempotent("POST", "/fees")
	count := len(zones)
	if small {
		count = 1
	}
	for i := range count {
		name := fmt.Sprintf("desk-%d", i+1)
		desk.AddServer(name, zones[i], addresses.Of(name), 2, 32)
	}
}
