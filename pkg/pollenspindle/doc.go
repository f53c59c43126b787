// Package pollenspindle is the operators' library for declaring a deployment
// and printing its configuration.
//
// A deployment is declared with [New] and the Add methods. These return
// references to the declared objects, which later calls take in place of names.
// [Config.Print] fills in defaults, validates the configuration and prints
// canonical JSON. All faults are reported at once, each with the path of its
// field.
//
// The output contains no state of availability zones and backend servers unless
// the program sets it. Applying the output therefore never restores a zone or
// server that was drained in the meantime.
//
// Programs in other languages can print the same JSON; its JSON Schema is
// docs/config.schema.json.
//
// # Usage
//
// A small program builds a [Config] and prints it, and the command line applies
// the output:
//
//	cfg := pollenspindle.New("inyange")
//	zone := cfg.AddZone("kigali-a", "kigali")
//	desk := cfg.AddPlainService("club-desk", 15)
//	desk.Idempotent("GET", "/rosters")
//	desk.AddServer("desk-1", zone, "10.0.0.4:8080", 2, 32)
//	...
//	err := cfg.Print(os.Stdout)
//
//	go run ./examples/inyange | pollenspindle config apply -f -
package pollenspindle
