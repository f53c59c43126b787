//go:build review

package main

import (
	_ "embed"

	"pollenspindle.example/pollenspindle/platform"
)

// wire has the names of the platform's wire format.
var wire = platform.Dialect()

// These are formats of what the platform and its servers write into the store.
var (
	//go:embed config.json
	configText string
	//go:embed read_route.json
	readRouteText string
	//go:embed entry.json
	entryText string
)
