package placement

import "sync"

const (
	// maxPrefixes is the maximum number of prefixes in one half of a [Prefixes]. An instance of a
	// large fleet gets about three prompts per second with four prefixes each, so a half covers the
	// last minutes: longer than engines keep an unused prefix cached. Both halves take about 300
	// KB.
	maxPrefixes = 4096
	// multipleRequests marks a prefix that more than one request had.
	multipleRequests = 0
)

// Prefixes learns which prompt prefixes are shared by requests. It serves requests that don't
// declare where their common part ends: templates, the instructions of a workspace, and growing
// conversations.
//
// Grouping prompts by their first 2 KB fails when the common part is shorter: each prompt becomes
// its own group, and requests that could share an engine's cache do so only by chance. Hashing less
// would send unrelated conversations with the same instructions to the same two servers.
//
// It is safe for concurrent use.
type Prefixes struct {
	mu sync.Mutex
	// recent and previous map each prefix to the fingerprint of the only request that had it, or to
	// multipleRequests. When recent is full it replaces previous.
	recent, previous map[uint64]uint64
}

// NewPrefixes returns an empty Prefixes.
func NewPrefixes() *Prefixes {
	return &Prefixes{recent: map[uint64]uint64{}}
}

// Shared returns the hash of the longest prefix that another request also had, or of the shortest
// prefix if there is none. The hashes are those of a prompt's prefixes, shortest first. The
// fingerprint identifies repetitions of a request, which would otherwise count as sharing and leave
// their group.
func (p *Prefixes) Shared(hashes []uint64, fingerprint uint64) uint64 {
	if len(hashes) == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	shared := hashes[0]
	for _, h := range hashes {
		if p.record(h, fingerprint) {
			shared = h
		}
	}
	return shared
}

// record stores a prefix and reports whether another request also had it.
func (p *Prefixes) record(hash, fingerprint uint64) bool {
	firstRequest, ok := p.recent[hash]
	if !ok {
		firstRequest, ok = p.previous[hash]
	}
	switch {
	case !ok:
		firstRequest = fingerprint
	case firstRequest != fingerprint:
		firstRequest = multipleRequests
	}
	if len(p.recent) >= maxPrefixes {
		p.previous, p.recent = p.recent, make(map[uint64]uint64, maxPrefixes)
	}
	p.recent[hash] = firstRequest
	return ok && firstRequest == multipleRequests
}
