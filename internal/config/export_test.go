package config

import "pollenspindle.example/pollenspindle/pkg/pollenspindle"

// Reindexer returns a function that decodes and indexes all parts of cfg, as activating a version
// does.
func Reindexer(cfg pollenspindle.Config) (func(), error) {
	p, err := split(cfg)
	return func() {
		joined, _ := join(p)
		NewSnapshot(1, joined)
	}, err
}
