package serve

import (
	"encoding/base64"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"

	"pollenspindle.example/pollenspindle/internal/caller"
	"pollenspindle.example/pollenspindle/internal/claim"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/connlimit"
	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/dialpeer"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/enginecommand"
	"pollenspindle.example/pollenspindle/internal/fleet"
	"pollenspindle.example/pollenspindle/internal/generation"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/member"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/operator/accepted"
	"pollenspindle.example/pollenspindle/internal/owner"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/relay"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/router"
	"pollenspindle.example/pollenspindle/internal/serverdial"
	"pollenspindle.example/pollenspindle/internal/serverlink"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/internal/telemetry"
)

// components are the parts of an entry instance, created but not started.
type components struct {
	settings   settings.Settings
	tel        *telemetry.Telemetry
	costs      *controlcost.Meters
	objects    *objectapi.Client
	store      *config.Store
	claims     *claim.Store
	links      *serverlink.Links
	dialer     *serverdial.Dialer
	dialPeer   *dialpeer.Peer
	engines    *engine.Client
	services   *service.Client
	retries    *retry.Budgets
	members    *member.Member
	owner      *owner.Owner
	router     *router.Router
	fleet      *fleet.Fleet
	commands   *enginecommand.Executor
	models     models
	journal    *journal.Journal
	peerServer *peer.Server
	// connections is what the connections of all listeners hold.
	connections *connlimit.Account
	self        roster.Instance

	leaveOnce sync.Once
	// leaving is closed when an operator requests the shutdown of the instance.
	leaving chan struct{}
}

func newComponents(s settings.Settings, tel *telemetry.Telemetry, direct httpclient.DialFunc) (*components, error) {
	p := &components{settings: s, tel: tel, costs: controlcost.New(tel.Metrics.SubScope("control")), leaving: make(chan struct{}), journal: journal.New(journal.DefaultLimits)}
	p.self = roster.Instance{
		ID: s.Instance, Incarnation: uuid.NewString(), Region: s.Region, Zone: s.Zone,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
	}
	p.connections = connlimit.New(connlimit.Options{
		Bytes: s.Connections.MaxBytes(memoryBytes(s)), Connections: s.Connections.MaxOpen(connlimit.Descriptors(0)),
		Log: telemetry.ComponentLogger(tel.Log, "connections"), Scope: tel.Metrics.SubScope("connections"),
	})
	p.objects = objectapi.NewClient(s.PlatformURL, objectapi.Options{OnCall: p.countCall})
	p.store = config.NewStore(config.StoreOptions{Objects: p.objects, Log: telemetry.ComponentLogger(tel.Log, "config")})
	p.claims = claim.NewStore(p.claimOptions())
	p.buildDialer(direct)
	connections := httpclient.Options{Dial: p.dialer.Dial}
	p.engines = engine.NewClient(engine.Options{HTTP: connections, LoadMeter: p.costs.Meter(controlcost.RoleLoadPolls)})
	p.services = service.NewClient(service.Options{HTTP: connections, LoadMeter: p.costs.Meter(controlcost.RoleLoadPolls)})
	p.retries = retry.NewBudgets(rand.New(rand.NewPCG(seed(s, 3), 0)))
	return p, p.newPeers()
}

// newPeers creates the components that communicate with the other instances.
func (p *components) newPeers() error {
	s := p.settings
	key, err := peer.NewKey(s.PeerKey, s.Accepted.PeerKeys...)
	if err != nil {
		return err
	}
	pool := peer.NewPool(s.Instance, key, p.tel.Metrics.SubScope("peer"), peer.WithMetering(p.costs))
	suspects := owner.NewSuspects(telemetry.ComponentLogger(p.tel.Log, "owner"))
	p.members, err = member.New(member.Options{
		Self:      p.self,
		Timing:    p.rosterTiming(),
		Objects:   p.objects,
		List:      instancelist.NewClient(s.PlatformURL, p.costs.Meter(controlcost.RoleInstanceList)),
		Config:    p.store,
		Suspects:  suspects,
		Peers:     pool,
		Heartbeat: millis(s.Timing.HeartbeatMillis),
		Log:       telemetry.ComponentLogger(p.tel.Log, "member"),
		Metrics:   p.tel.Metrics.SubScope("member"),
		Seed:      seed(s, 1),
	})
	if err != nil {
		return err
	}
	placement, admission := router.Policies(s.Policy)
	p.owner, err = owner.New(owner.Options{
		Self:            s.Instance,
		Incarnation:     p.self.Incarnation,
		AuthoritySource: p.members,
		Config:          p.store.Snapshot,
		Loads:           owner.Clients{Engine: p.engines, Service: p.services},
		Policy:          admission,
		Suspects:        suspects,
		Announce:        p.members.AnnounceSuspects,
		PermitLifetime:  millis(s.Timing.PermitMillis),
		PollInterval:    millis(s.Timing.LoadPollMillis),
		Log:             telemetry.ComponentLogger(p.tel.Log, "owner"),
		Metrics:         p.tel.Metrics.SubScope("owner"),
		Costs:           p.costs,
	})
	if err != nil {
		return err
	}
	p.router = router.New(router.Options{
		Self:           p.self,
		Members:        p.members,
		Local:          p.owner,
		Peers:          pool,
		Config:         p.store.Snapshot,
		Policy:         placement,
		PermitLifetime: millis(s.Timing.PermitMillis),
		Log:            telemetry.ComponentLogger(p.tel.Log, "router"),
		Metrics:        p.tel.Metrics.SubScope("router"),
		Seed:           seed(s, 2),
	})
	p.peerServer = peer.NewServer(p.members.Handler(p.owner), key, p.tel.Metrics.SubScope("peer"), peer.WithTracing(p.tel.Tracer), peer.WithMetering(p.costs))
	p.dialPeer = dialpeer.New(dialpeer.Options{
		Self: s.Instance, Relays: p.relays, Key: key, Links: p.links, Direct: p.dialer.DialDirect,
		Log: telemetry.ComponentLogger(p.tel.Log, "dial"), Scope: p.tel.Metrics.SubScope("dial"), Now: time.Now,
	})
	p.dialer.SetPeers(p.dialPeer)
	p.peerServer.LimitConnections(p.connections)
	p.peerServer.Handle(dialpeer.Path, p.dialPeer)
	return p.newFleet(pool)
}

// buildDialer creates what opens connections to backend servers.
func (p *components) buildDialer(direct httpclient.DialFunc) {
	p.links = serverlink.NewLinks()
	p.dialer = serverdial.New(serverdial.Options{
		Links: p.links, Direct: direct, Log: telemetry.ComponentLogger(p.tel.Log, "dial"), Scope: p.tel.Metrics.SubScope("dial"), Now: time.Now,
	})
}

// relays returns other instances that may open connections to backend servers.
func (p *components) relays(rng *rand.Rand, n int, exclude func(id string) bool) []dialpeer.Instance {
	var out []dialpeer.Instance
	for _, in := range p.members.Live() {
		if in.ID != p.self.ID && !exclude(in.ID) {
			out = append(out, dialpeer.Instance{ID: in.ID, Address: in.PeerAddress})
		}
	}
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// newFleet creates the components that query other instances and run engine commands for operators.
func (p *components) newFleet(pool *peer.Pool) error {
	codec, err := generation.NewCodec(decodeKey(p.settings.GenerationKey), p.acceptedGenerationKeys()...)
	if err != nil {
		return err
	}
	p.fleet = fleet.New(fleet.Options{
		Self:    p.settings.Instance,
		Members: p.members,
		Peers:   pool,
		Owner:   p.owner,
		Config:  p.store.Snapshot,
		Journal: p.journal,
		Codec:   codec,
	})
	p.peerServer.HandleQueries(p.fleet.Handler())
	p.commands, err = enginecommand.New(enginecommand.Options{
		Self:      p.settings.Instance,
		Objects:   p.objects,
		Engines:   p.engines,
		Ownership: p.members,
		Config:    p.store.Snapshot,
		Log:       telemetry.ComponentLogger(p.tel.Log, "order"),
	})
	if err != nil {
		return err
	}
	p.peerServer.HandleEngineCommands(p.commands.Handler())
	p.models = models{p.settings.Instance, p.fleet, p.commands, pool}
	return nil
}

func (p *components) acceptedGenerationKeys() [][]byte {
	var keys [][]byte
	for _, text := range p.settings.Accepted.GenerationKeys {
		keys = append(keys, decodeKey(text))
	}
	return keys
}

// decodeKey decodes a key of the settings, which were validated when they were read.
func decodeKey(text string) []byte {
	key, _ := base64.StdEncoding.DecodeString(text)
	return key
}

func (p *components) callerOptions(listener net.Listener) caller.Options {
	return caller.Options{
		Address:                p.settings.CallerAddress,
		Listener:               listener,
		Connections:            p.connections,
		Config:                 guardedConfig{p.store, p.members},
		Instances:              callers{p.members},
		AwaitResume:            p.members.AwaitResume,
		Permits:                p.router,
		Engine:                 relay.NewEngine(p.engines),
		Services:               p.services,
		Claims:                 p.claims,
		Retries:                p.retries,
		GenerationKey:          decodeKey(p.settings.GenerationKey),
		AcceptedGenerationKeys: p.acceptedGenerationKeys(),
		Timing:                 p.settings.Timing,
		Journal:                p.journal,
		Logger:                 telemetry.ComponentLogger(p.tel.Log, "caller"),
		Scope:                  p.tel.Metrics.SubScope("caller"),
		Tracer:                 p.tel.Tracer,
		CallerTracesPerSecond:  p.settings.Trace.CallerTracesPerSecond,
	}
}

func (p *components) operatorOptions(listener net.Listener, callers *caller.Server) operator.Options {
	return operator.Options{
		Instance:       p.settings.Instance,
		Listener:       listener,
		Connections:    p.connections,
		TokenSHA256:    p.settings.OperatorTokenSHA256,
		AcceptedSHA256: p.settings.Accepted.OperatorTokensSHA256,
		Config:         &accepted.Config{Objects: p.objects, Store: p.store, Fleet: configVersions{p.members}},
		Servers:        servers{p},
		Instances:      instances{p},
		Generations:    generations{p.fleet, callers},
		Models:         p.models,
		Ready:          p.ready,
		Metrics:        p.tel.Handler,
		Log:            p.tel.Log,
		Now:            time.Now,
	}
}

// leave starts the graceful shutdown at an operator's request.
func (p *components) leave() {
	p.leaveOnce.Do(func() { close(p.leaving) })
}

func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
