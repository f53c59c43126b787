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
	"pollenspindle.example/pollenspindle/internal/control"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/engineorder"
	"pollenspindle.example/pollenspindle/internal/fleet"
	"pollenspindle.example/pollenspindle/internal/generation"
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
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/internal/telemetry"
)

// parts are the parts of an entry instance, made but not started.
type parts struct {
	settings   settings.Settings
	tel        *telemetry.Telemetry
	costs      *control.Costs
	objects    *objectapi.Client
	store      *config.Store
	claims     *claim.Store
	engines    *engine.Client
	services   *service.Client
	retries    *retry.Budgets
	members    *member.Member
	owner      *owner.Owner
	router     *router.Router
	fleet      *fleet.Fleet
	orders     *engineorder.Giver
	models     models
	journal    *journal.Journal
	peerServer *peer.Server
	self       roster.Instance

	leaveOnce sync.Once
	// leaving is closed when operators ask the instance to leave.
	leaving chan struct{}
}

func newParts(s settings.Settings, tel *telemetry.Telemetry) (*parts, error) {
	p := &parts{settings: s, tel: tel, costs: control.New(tel.Metrics.SubScope("control")), leaving: make(chan struct{}), journal: journal.New(journal.DefaultLimits)}
	p.self = roster.Instance{
		ID: s.Instance, Incarnation: uuid.NewString(), Region: s.Region, Zone: s.Zone,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
	}
	p.objects = objectapi.NewClient(s.PlatformURL, objectapi.Options{OnCall: p.countCall})
	p.store = config.NewStore(config.StoreOptions{Objects: p.objects, Log: telemetry.Part(tel.Log, "config")})
	p.claims = claim.NewStore(p.claimOptions())
	p.engines = engine.NewClient(engine.Options{Loads: p.costs.Of(control.RoleLoadPolls)})
	p.services = service.NewClient(service.Options{Loads: p.costs.Of(control.RoleLoadPolls)})
	p.retries = retry.NewBudgets(rand.New(rand.NewPCG(seed(s, 3), 0)))
	return p, p.newPeers()
}

// newPeers makes what speaks with the other instances.
func (p *parts) newPeers() error {
	s := p.settings
	key, err := peer.NewKey(s.PeerKey, s.Accepted.PeerKeys...)
	if err != nil {
		return err
	}
	pool := peer.NewPool(s.Instance, key, p.tel.Metrics.SubScope("peer"), peer.WithMetering(p.costs))
	suspects := owner.NewSuspects()
	p.members, err = member.New(member.Options{
		Self:      p.self,
		Timing:    p.rosterTiming(),
		Objects:   p.objects,
		List:      instancelist.NewClient(s.PlatformURL, p.costs.Of(control.RoleInstanceList)),
		Config:    p.store,
		Suspects:  suspects,
		Peers:     pool,
		Heartbeat: millis(s.Timing.HeartbeatMillis),
		Log:       telemetry.Part(p.tel.Log, "member"),
		Metrics:   p.tel.Metrics.SubScope("member"),
		Seed:      seed(s, 1),
	})
	if err != nil {
		return err
	}
	placing, admitting := router.Policies(s.Policy)
	p.owner, err = owner.New(owner.Options{
		Self:        s.Instance,
		Incarnation: p.self.Incarnation,
		Rights:      p.members,
		Config:      p.store.Snapshot,
		Loads:       owner.Clients{Engine: p.engines, Service: p.services},
		Policy:      admitting,
		Suspects:    suspects,
		PermitFor:   millis(s.Timing.PermitMillis),
		PollEvery:   millis(s.Timing.LoadPollMillis),
		Log:         telemetry.Part(p.tel.Log, "owner"),
		Metrics:     p.tel.Metrics.SubScope("owner"),
		Costs:       p.costs,
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
		Policy:         placing,
		PermitLifetime: millis(s.Timing.PermitMillis),
		Log:            telemetry.Part(p.tel.Log, "router"),
		Metrics:        p.tel.Metrics.SubScope("router"),
		Seed:           seed(s, 2),
	})
	p.peerServer = peer.NewServer(p.members.Handler(p.owner), key, p.tel.Metrics.SubScope("peer"), peer.WithTracing(p.tel.Tracer), peer.WithMetering(p.costs))
	return p.newFleet(pool)
}

// newFleet makes what asks other instances on behalf of operators.
func (p *parts) newFleet(pool *peer.Pool) error {
	codec, err := generation.NewCodec(decoded(p.settings.GenerationKey), p.acceptedGenerationKeys()...)
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
	p.orders, err = engineorder.New(engineorder.Options{
		Self:    p.settings.Instance,
		Objects: p.objects,
		Engines: p.engines,
		Rights:  p.members,
		Config:  p.store.Snapshot,
		Log:     telemetry.Part(p.tel.Log, "order"),
	})
	if err != nil {
		return err
	}
	p.peerServer.HandleEngineCommands(p.orders.Handler())
	p.models = models{p.settings.Instance, p.fleet, p.orders, pool}
	return nil
}

func (p *parts) acceptedGenerationKeys() [][]byte {
	var keys [][]byte
	for _, text := range p.settings.Accepted.GenerationKeys {
		keys = append(keys, decoded(text))
	}
	return keys
}

// decoded returns a key of the settings, which were checked when they were read.
func decoded(text string) []byte {
	key, _ := base64.StdEncoding.DecodeString(text)
	return key
}

func (p *parts) callerOptions(listener net.Listener) caller.Options {
	return caller.Options{
		Address:                p.settings.CallerAddress,
		Listener:               listener,
		Config:                 gate{p.store, p.members},
		Instances:              callers{p.members},
		Permits:                p.router,
		Engine:                 relay.NewEngine(p.engines),
		Services:               p.services,
		Claims:                 p.claims,
		Retries:                p.retries,
		GenerationKey:          decoded(p.settings.GenerationKey),
		AcceptedGenerationKeys: p.acceptedGenerationKeys(),
		Timing:                 p.settings.Timing,
		Journal:                p.journal,
		Logger:                 telemetry.Part(p.tel.Log, "caller"),
		Scope:                  p.tel.Metrics.SubScope("caller"),
		Tracer:                 p.tel.Tracer,
		CallerTraces:           p.settings.Trace.CallerTracesPerSecond,
	}
}

func (p *parts) operatorDeps(listener net.Listener, callers *caller.Server) operator.Deps {
	return operator.Deps{
		Instance:       p.settings.Instance,
		Listener:       listener,
		TokenSHA256:    p.settings.OperatorTokenSHA256,
		AcceptedSHA256: p.settings.Accepted.OperatorTokensSHA256,
		Config:         &accepted.Config{Objects: p.objects, Store: p.store, Fleet: versions{p.members}},
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

// leave begins the graceful shutdown at the wish of an operator.
func (p *parts) leave() {
	p.leaveOnce.Do(func() { close(p.leaving) })
}

func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
