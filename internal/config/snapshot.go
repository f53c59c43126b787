// Package config manages the accepted configuration: it applies changes to the platform, keeps the
// entry instances up to date through the platform and through peers, and indexes the active version
// for the serving of requests.
//
// # Usage
//
//	store := config.NewStore(...)
//	snap := store.Snapshot()
//	server, ok := snap.Servers["engine-1"]
package config

import (
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Snapshot is one version of the configuration with its indexes. It is immutable, so readers need
// no lock.
type Snapshot struct {
	// Version is the version of the head object; 0 before the first one.
	Version int64
	Config  pollenspindle.Config
	// Zones, Services, Models and Servers are indexed by name.
	Zones    map[string]*pollenspindle.Zone
	Services map[string]*pollenspindle.Service
	Models   map[string]*pollenspindle.Model
	Servers  map[string]*pollenspindle.Server
	// WorkspaceByToken is indexed by the lower-case hex SHA-256 of a token, WorkspaceByName by
	// name.
	WorkspaceByToken map[string]*pollenspindle.Workspace
	WorkspaceByName  map[string]*pollenspindle.Workspace
	// ServersByModel and ServersByService hold backend servers of every state, in the order of the
	// configuration.
	ServersByModel   map[string][]*pollenspindle.Server
	ServersByService map[string][]*pollenspindle.Server
}

// NewSnapshot indexes cfg.
func NewSnapshot(version int64, cfg pollenspindle.Config) *Snapshot {
	s := &Snapshot{
		Version:          version,
		Config:           cfg,
		Zones:            map[string]*pollenspindle.Zone{},
		Services:         map[string]*pollenspindle.Service{},
		Models:           map[string]*pollenspindle.Model{},
		Servers:          map[string]*pollenspindle.Server{},
		WorkspaceByToken: map[string]*pollenspindle.Workspace{},
		WorkspaceByName:  map[string]*pollenspindle.Workspace{},
		ServersByModel:   map[string][]*pollenspindle.Server{},
		ServersByService: map[string][]*pollenspindle.Server{},
	}
	for i := range cfg.Zones {
		s.Zones[cfg.Zones[i].Name] = &cfg.Zones[i]
	}
	for i := range cfg.Services {
		s.Services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Models {
		s.Models[cfg.Models[i].Name] = &cfg.Models[i]
	}
	for i := range cfg.Servers {
		server := &cfg.Servers[i]
		s.Servers[server.Name] = server
		s.ServersByService[server.Service] = append(s.ServersByService[server.Service], server)
		for _, model := range server.Models {
			s.ServersByModel[model] = append(s.ServersByModel[model], server)
		}
	}
	for i := range cfg.Workspaces {
		workspace := &cfg.Workspaces[i]
		s.WorkspaceByName[workspace.Name] = workspace
		for _, sum := range workspace.TokenSHA256 {
			s.WorkspaceByToken[sum] = workspace
		}
	}
	return s
}

// AcceptsRequests reports whether server may receive new requests: both it and its availability
// zone are in service.
func (s *Snapshot) AcceptsRequests(server *pollenspindle.Server) bool {
	zone, ok := s.Zones[server.Zone]
	return ok && zone.State == pollenspindle.ZoneInService &&
		server.State == pollenspindle.ServerInService
}
