// Package placement chooses the backend servers that a request is offered to.
//
// It is made for many interchangeable servers that cache recent prompt prefixes. Requests with a
// common prefix should reach the same server, but a warm cache never justifies an overloaded or
// slow server, or one in another region while a nearby server has capacity. Asking all servers
// would take 2,000 messages for each request; asking a few candidates takes one or two.
//
// # Usage
//
//	ring := placement.NewRing(servers)          // once for each configuration
//	candidates := placement.Choose(now, ring, ask, views, rng)
//	// ask the owners in this order
package placement

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// pointsPerServer is the number of points of a server on the ring. With 32, the busiest of a dozen
// servers gets about 1.4 times the mean share of prefixes, which bounded load evens out; more
// points cost memory for each change of the configuration.
const pointsPerServer = 32

type point struct {
	hash   uint64
	server int32
}

// Ring is a consistent-hash ring over the servers of one model or service in one region. It is
// built once per configuration version and immutable, so a lookup costs the same for a dozen
// servers and for 2,000.
type Ring struct {
	servers []*pollenspindle.Server
	points  []point
}

// NewRing returns the ring of servers.
func NewRing(servers []*pollenspindle.Server) *Ring {
	r := &Ring{servers: servers, points: make([]point, 0, len(servers)*pointsPerServer)}
	for i, s := range servers {
		for n := range pointsPerServer {
			r.points = append(r.points, point{hash: hashPoint(s.Name, n), server: int32(i)})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		// Equal hashes have the same order on every instance.
		return int(a.server - b.server)
	})
	return r
}

// Len returns the number of servers on the ring.
func (r *Ring) Len() int {
	return len(r.servers)
}

// Walk calls visit with distinct servers in ring order, starting at hash, until visit returns false
// or all servers have been visited.
func (r *Ring) Walk(hash uint64, visit func(*pollenspindle.Server) bool) {
	if len(r.points) == 0 {
		return
	}
	start, _ := slices.BinarySearchFunc(r.points, hash, func(p point, h uint64) int {
		switch {
		case p.hash < h:
			return -1
		case p.hash > h:
			return 1
		}
		return 0
	})
	var seen [maxDistinct]int32
	n := 0
	for i := range r.points {
		p := r.points[(start+i)%len(r.points)]
		if slices.Contains(seen[:n], p.server) {
			continue
		}
		if !visit(r.servers[p.server]) {
			return
		}
		if n++; n > maxDistinct-1 || n == len(r.servers) {
			return
		}
		seen[n-1] = p.server
	}
}

// maxDistinct limits the servers of one walk. It is far more than the candidates of a request, so
// that a drained zone or a few excluded servers don't end the walk early.
const maxDistinct = 64

func hashPoint(name string, n int) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	d := xxhash.New()
	_, _ = d.WriteString(name)
	_, _ = d.Write(b[:])
	return d.Sum64()
}
