package pollenspindle_test

import (
	"fmt"
	"os"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// A deployment with one plain service. The server takes a reference to its
// zone, so that an undeclared zone cannot be used.
func ExampleNew() {
	cfg := pollenspindle.New("inyange")
	zone := cfg.AddZone("kigali-a", "kigali")

	desk := cfg.AddPlainService("club-desk", 15)
	desk.Idempotent("GET", "/rosters")
	desk.NonIdempotent("POST", "/bookings")
	desk.AddServer("desk-1", zone, "10.0.0.4:8080", 2, 32)

	cfg.AddWorkspace(pollenspindle.Workspace{
		Name:        "huye-gliders",
		TokenSHA256: []string{pollenspindle.Token("not a real token")},
	})
	if err := cfg.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	// Output:
	// {
	//   "deployment": "inyange",
	//   "limits": {
	//     "maxBodyBytes": 1048576,
	//     "maxOutputTokens": 32768,
	//     "claimRetentionSeconds": 86400
	//   },
	//   "zones": [
	//     {
	//       "name": "kigali-a",
	//       "region": "kigali"
	//     }
	//   ],
	//   "services": [
	//     {
	//       "name": "club-desk",
	//       "kind": "plain",
	//       "routes": [
	//         {
	//           "method": "GET",
	//           "pathPrefix": "/rosters",
	//           "idempotent": true
	//         },
	//         {
	//           "method": "POST",
	//           "pathPrefix": "/bookings",
	//           "idempotent": false
	//         }
	//       ],
	//       "timeoutSeconds": 15,
	//       "queueSeconds": 20,
	//       "patientQueueSeconds": 600
	//     }
	//   ],
	//   "servers": [
	//     {
	//       "name": "desk-1",
	//       "service": "club-desk",
	//       "zone": "kigali-a",
	//       "address": "10.0.0.4:8080",
	//       "coldLimit": 2,
	//       "warmLimit": 32
	//     }
	//   ],
	//   "workspaces": [
	//     {
	//       "name": "huye-gliders",
	//       "tokenSha256": [
	//         "68f7ad9e4bc032dc8e40df2a04e4e04671e164d809354bce0b7d75bfb6f34e3b"
	//       ],
	//       "weight": 100,
	//       "class": "interactive"
	//     }
	//   ]
	// }
}

// A model engine declares its models, its capacity and whether it checks
// fencing tokens.
func ExampleGenerationService_AddServer() {
	cfg := pollenspindle.New("mavuno")
	zone := cfg.AddZone("nairobi-a", "nairobi")
	planning := cfg.AddGenerationService("planning", pollenspindle.Queueing{PatientSeconds: 3600})
	planner := planning.AddModel("menu-planner", "7", 32768)
	planning.AddServer("planner-1", zone, "10.0.0.5:8000", pollenspindle.Engine{
		Models:    []pollenspindle.ModelRef{planner},
		ColdLimit: 2, WarmLimit: 24, MemoryTokens: 24000,
		Fencing: pollenspindle.FencingIgnored,
	})
	cfg.AddWorkspace(pollenspindle.Workspace{
		Name: "kiambu-schools", Class: pollenspindle.ClassPatient,
		TokenSHA256: []string{pollenspindle.Token("not a real token")},
	})
	fmt.Println(cfg.Validate())
	// Output: <nil>
}

// All faults are reported at once, each with the path of its field.
func ExampleConfig_Validate() {
	cfg := pollenspindle.New("mavuno")
	cfg.AddZone("nairobi-a", "nairobi")
	orders := cfg.AddPlainService("orders", 0)
	orders.NonIdempotent("POST", "confirmations")
	orders.AddServer("orders-1", pollenspindle.ZoneRef{}, "orders.local:80", 8, 4)
	fmt.Println(cfg.Validate())
	// Output:
	// configuration: services[0].routes[0].pathPrefix: must begin with / and hold no query, escape or space
	// configuration: servers[0].zone: "" is not a declared availability zone
	// configuration: servers[0].address: must be host:port with an IP number and a port from 1 to 65535
	// configuration: servers[0].coldLimit: must not be above warmLimit (4)
	// configuration: workspaces: must name at least one workspace
}

// Configurations that were not printed by this package are checked as strictly.
func ExampleParse() {
	_, err := pollenspindle.Parse("mine.json", []byte(`{
  "deployment": "mavuno",
  "zone": [],  // the name is zones
}`))
	fmt.Println(err)
	// Output:
	// mine.json:1:1: zones: must name at least one availability zone
	// mine.json:1:1: services: must name at least one service
	// mine.json:1:1: servers: must name at least one backend server
	// mine.json:1:1: workspaces: must name at least one workspace
	// mine.json:3:3: zone: is not a known name
}
