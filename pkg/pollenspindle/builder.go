package pollenspindle

import (
	"crypto/sha256"
	"encoding/hex"
)

// New returns an empty configuration of a deployment, with default limits. The Add methods return
// references that later calls take in place of names, so that an undeclared name cannot be used.
func New(deployment string) *Config {
	return &Config{Deployment: deployment, Limits: DefaultLimits}
}

// ZoneRef is a reference to a declared availability zone.
type ZoneRef struct{ name string }

// ModelRef is a reference to a declared model.
type ModelRef struct{ name string }

// AddZone declares an availability zone in a region.
func (c *Config) AddZone(name, region string) ZoneRef {
	c.Zones = append(c.Zones, Zone{Name: name, Region: region})
	return ZoneRef{name}
}

// GenerationService is a declared service of model engines.
type GenerationService struct {
	cfg  *Config
	name string
}

// AddGenerationService declares a service of model engines.
func (c *Config) AddGenerationService(name string, q Queueing) GenerationService {
	c.Services = append(c.Services, Service{
		Name: name, Kind: ServiceGeneration,
		QueueSeconds:              q.Seconds,
		PatientQueueSeconds:       q.PatientSeconds,
		TokenIntervalTargetMillis: q.TokenIntervalTargetMillis,
	})
	return GenerationService{cfg: c, name: name}
}

// Queueing limits how long requests wait for a model engine. Zero fields take defaults.
type Queueing struct {
	// Seconds and PatientSeconds are the maximum waits of the classes
	// interactive and patient, in seconds.
	Seconds        int
	PatientSeconds int
	// TokenIntervalTargetMillis is the time between tokens above which an
	// engine accepts no further generation, in milliseconds.
	TokenIntervalTargetMillis int
}

// AddModel declares a model that engines of the service can run.
// contextTokens is the maximum of prompt plus output, in tokens.
func (s GenerationService) AddModel(name, version string, contextTokens int) ModelRef {
	s.cfg.Models = append(s.cfg.Models, Model{
		Name: name, Version: version, Service: s.name, ContextTokens: contextTokens,
	})
	return ModelRef{name}
}

// Engine describes the models and the capacity of a model engine.
type Engine struct {
	Models []ModelRef
	// ColdLimit and WarmLimit are the maximum numbers of concurrent requests
	// just after a start and when warm.
	ColdLimit int
	WarmLimit int
	// MemoryTokens is the memory for running sequences, in tokens.
	MemoryTokens int
	// Fencing is required: an engine that is wrongly assumed to check fencing
	// tokens may execute an outdated command.
	Fencing Fencing
}

// AddServer declares a model engine at address, an IP address and port.
func (s GenerationService) AddServer(name string, zone ZoneRef, address string, e Engine) {
	models := make([]string, 0, len(e.Models))
	for _, model := range e.Models {
		models = append(models, model.name)
	}
	s.cfg.Servers = append(s.cfg.Servers, Server{
		Name: name, Service: s.name, Zone: zone.name, Address: address,
		Models: models, ColdLimit: e.ColdLimit, WarmLimit: e.WarmLimit,
		MemoryTokens: e.MemoryTokens, Fencing: e.Fencing,
	})
}

// PlainService is a declared service of plain HTTP servers.
type PlainService struct {
	cfg   *Config
	index int
}

// AddPlainService declares a plain HTTP service. timeoutSeconds limits one
// call, in seconds; 0 takes the default.
func (c *Config) AddPlainService(name string, timeoutSeconds int) PlainService {
	c.Services = append(c.Services, Service{
		Name: name, Kind: ServicePlain, TimeoutSeconds: timeoutSeconds,
	})
	return PlainService{cfg: c, index: len(c.Services) - 1}
}

// Idempotent declares a route whose calls may be retried.
func (s PlainService) Idempotent(method, pathPrefix string) {
	s.addRoute(Route{Method: method, PathPrefix: pathPrefix, Idempotent: true})
}

// NonIdempotent declares a route whose calls are executed at most once.
func (s PlainService) NonIdempotent(method, pathPrefix string) {
	s.addRoute(Route{Method: method, PathPrefix: pathPrefix})
}

func (s PlainService) addRoute(r Route) {
	service := &s.cfg.Services[s.index]
	service.Routes = append(service.Routes, r)
}

// AddServer declares a server of the service at address, an IP address and
// port. coldLimit and warmLimit are the maximum numbers of concurrent requests
// just after a start and when warm.
func (s PlainService) AddServer(name string, zone ZoneRef, address string, coldLimit, warmLimit int) {
	s.cfg.Servers = append(s.cfg.Servers, Server{
		Name: name, Service: s.cfg.Services[s.index].Name, Zone: zone.name,
		Address: address, ColdLimit: coldLimit, WarmLimit: warmLimit,
	})
}

// AddWorkspace declares a workspace. A zero Weight becomes [DefaultWeight], an
// empty Class becomes [ClassInteractive].
func (c *Config) AddWorkspace(w Workspace) {
	if w.Weight == 0 {
		w.Weight = DefaultWeight
	}
	if w.Class == "" {
		w.Class = ClassInteractive
	}
	c.Workspaces = append(c.Workspaces, w)
}

// Token returns the hash of a bearer token for Workspace.TokenSHA256, so that
// the configuration never contains the token itself.
func Token(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
