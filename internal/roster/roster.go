// Package roster decides which entry instance owns which backend server.
//
// The roster is one object in the platform, which lists the current instances. The
// object's version is the epoch. Owners follow from the roster by rendezvous hashing,
// so no table of owners is stored or sent. The package starts no goroutines and does
// no I/O; the present time is an argument.
//
// # Usage
//
//	r := roster.New(epoch, roster.Object{Number: 1, Instances: instances})
//	owner, ok := r.Owner("engine-1", "kigali")
//	lease := roster.NewLease(self, roster.Timing{LeaseDuration: 3 * time.Second, PermitLifetime: 2 * time.Second})
//	lease.Adopt(now, r)
//	authority := lease.Authority(now, roster.Server{Name: "engine-1", Region: "kigali", ColdLimit: 2})
package roster

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Instance describes one entry instance to the others.
type Instance struct {
	ID string `json:"id"`
	// Incarnation differs after each start of the process.
	Incarnation   string `json:"incarnation"`
	PeerAddress   string `json:"peerAddress,omitempty"`
	CallerAddress string `json:"callerAddress,omitempty"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	// Leaving instances are reachable but own no servers.
	Leaving bool `json:"leaving,omitempty"`
}

// Object is the roster as the platform stores it.
type Object struct {
	// Number counts rosters from 1. Only the first has no previous owners.
	Number    int64      `json:"number"`
	Instances []Instance `json:"instances"`
	// Previous are the instances of the previous roster, without addresses, which may
	// still grant permits for servers that this roster assigns to others.
	Previous []Instance `json:"previous,omitempty"`
}

// Next returns the object that replaces o with instances.
func (o Object) Next(instances []Instance) Object {
	next := Object{Number: o.Number + 1, Instances: instances}
	for _, in := range o.Instances {
		in.PeerAddress, in.CallerAddress = "", ""
		next.Previous = append(next.Previous, in)
	}
	return next
}

// Roster is one version of the roster, indexed. It is immutable.
type Roster struct {
	// Epoch is the version of the platform's object; 0 means that there is none.
	Epoch  int64
	Number int64
	// Instances are sorted by ID.
	Instances []Instance
	previous  *Roster
	hashes    []uint64
	index     map[string]int
}

// New returns the indexed roster of o, which the platform stores at version epoch.
func New(epoch int64, o Object) *Roster {
	r := index(epoch, o)
	r.previous = index(0, Object{Instances: o.Previous})
	return r
}

func index(epoch int64, o Object) *Roster {
	r := &Roster{
		Epoch:     epoch,
		Number:    o.Number,
		Instances: slices.Clone(o.Instances),
		hashes:    make([]uint64, len(o.Instances)),
		index:     make(map[string]int, len(o.Instances)),
	}
	slices.SortFunc(r.Instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	for i := range r.Instances {
		r.hashes[i] = xxhash.Sum64String(r.Instances[i].ID)
		r.index[r.Instances[i].ID] = i
	}
	return r
}

// Object returns what the platform stores.
func (r *Roster) Object() Object {
	return Object{Number: r.Number, Instances: slices.Clone(r.Instances), Previous: slices.Clone(r.previous.Instances)}
}

// Find returns the instance with the given ID.
func (r *Roster) Find(id string) (Instance, bool) {
	i, ok := r.index[id]
	if !ok {
		return Instance{}, false
	}
	return r.Instances[i], true
}

// Has reports whether this incarnation of an instance is in the roster.
func (r *Roster) Has(id, incarnation string) bool {
	in, ok := r.Find(id)
	return ok && in.Incarnation == incarnation
}

// Owner returns the instance that owns server. Instances in the server's region are
// preferred, so that permit requests don't cross regions; if the region has none, any
// instance may be the owner.
func (r *Roster) Owner(server, region string) (Instance, bool) {
	first, _ := r.topTwo(server, region)
	if first < 0 {
		return Instance{}, false
	}
	return r.Instances[first], true
}

// Deputy returns the instance that may use a share of server's limit while it can't
// reach the owner. It becomes the owner if the owner is removed and nothing else
// changes.
func (r *Roster) Deputy(server, region string) (Instance, bool) {
	_, second := r.topTwo(server, region)
	if second < 0 {
		return Instance{}, false
	}
	return r.Instances[second], true
}

// topTwo returns the indices of the two instances with the highest scores, or -1. It
// must not allocate, as it runs for each request over up to 350 instances.
func (r *Roster) topTwo(server, region string) (first, second int) {
	key := xxhash.Sum64String(server)
	first, second = -1, -1
	var best, next score
	for i := range r.Instances {
		if r.Instances[i].Leaving {
			continue
		}
		s := score{sameRegion: r.Instances[i].Region == region, hash: mix(key ^ r.hashes[i])}
		switch {
		case first < 0 || best.less(s):
			second, next = first, best
			first, best = i, s
		case second < 0 || next.less(s):
			second, next = i, s
		}
	}
	return first, second
}

// score ranks an instance for one server.
type score struct {
	sameRegion bool
	hash       uint64
}

func (s score) less(o score) bool {
	if s.sameRegion != o.sameRegion {
		return o.sameRegion
	}
	return s.hash < o.hash
}

// mix is the finalizer of SplitMix64, which spreads x over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
