package fleet

import (
	"context"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/owner"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/roster"
)

// Loads returns the loads of all backend servers, by server name. Each owner is queried once for all
// servers that it owns. Servers whose owner didn't respond are missing.
func (f *Fleet) Loads(ctx context.Context) map[string]*peerv1.ServerLoad {
	owners := f.owners()
	var mu sync.Mutex
	loads := map[string]*peerv1.ServerLoad{}
	queryAll(ctx, owners, func(ctx context.Context, in roster.Instance) error {
		owned, err := f.loadsFrom(ctx, in)
		mu.Lock()
		defer mu.Unlock()
		for _, l := range owned {
			loads[l.GetServer()] = l
		}
		return err
	})
	return loads
}

// Owner returns the instance that owns a backend server.
func (f *Fleet) Owner(server string) (roster.Instance, bool) {
	snap := f.opts.Config()
	declared, ok := snap.Servers[server]
	if !ok {
		return roster.Instance{}, false
	}
	at := owner.RosterServer(snap, declared)
	return f.opts.Members.Roster().Owner(at.Name, at.Region)
}

// owners returns the instances that own at least one backend server.
func (f *Fleet) owners() []roster.Instance {
	seen := map[string]bool{}
	var list []roster.Instance
	for _, server := range f.opts.Config().Config.Servers {
		if in, ok := f.Owner(server.Name); ok && !seen[in.ID] {
			seen[in.ID] = true
			list = append(list, in)
		}
	}
	return list
}

// loadsFrom returns the loads of the backend servers that instance in owns.
func (f *Fleet) loadsFrom(ctx context.Context, in roster.Instance) ([]*peerv1.ServerLoad, error) {
	if in.ID == f.opts.Self {
		return f.ownLoads(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	res, err := f.opts.Peers.Client(in.PeerAddress).ServerLoads(ctx, &peerv1.ServerLoadsRequest{})
	return res.GetLoads(), err
}

// ownLoads returns the loads of the backend servers that this instance owns.
func (f *Fleet) ownLoads() []*peerv1.ServerLoad {
	now := time.Now()
	var loads []*peerv1.ServerLoad
	for _, server := range f.opts.Config().Config.Servers {
		in, ok := f.Owner(server.Name)
		if !ok || in.ID != f.opts.Self {
			continue
		}
		l, ok := f.opts.Owner.Load(now, server.Name)
		if !ok {
			continue
		}
		loads = append(loads, &peerv1.ServerLoad{
			Server: l.Server, Running: int32(l.Running), Queued: int32(l.Queued), Limit: int32(l.Limit),
			State: l.State, UsedTokens: int64(l.UsedTokens), Preemptions: int64(l.Preemptions),
			ReportMillis: l.ReportAge.Milliseconds(),
		})
	}
	return loads
}
