package platformstate

import (
	"strings"
	"sync"
)

// invalidObjects holds the objects of a kind that can't be decoded, so that each is logged once for as
// long as it is invalid. It is safe for concurrent use.
type invalidObjects struct {
	mu sync.Mutex
	// revisions holds the latest revision of each object by name.
	revisions map[string]int64
}

// add records that an object is invalid and reports whether it wasn't known to be.
func (n *invalidObjects) add(name string, revision int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, ok := n.revisions[name]
	if n.revisions == nil {
		n.revisions = map[string]int64{}
	}
	n.revisions[strings.Clone(name)] = max(known, revision)
	return !ok
}

// remove records that an object is valid or was removed.
func (n *invalidObjects) remove(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.revisions, name)
}

// retain forgets the objects that aren't among those listed as of a version, unless they changed later.
func (n *invalidObjects) retain(version int64, listed map[string]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, revision := range n.revisions {
		if !listed[name] && revision <= version {
			delete(n.revisions, name)
		}
	}
}
