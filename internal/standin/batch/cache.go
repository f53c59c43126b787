package batch

import "container/list"

// block is a block of prompt tokens in the prefix cache. Running sequences hold
// references to it; only blocks without references can be evicted.
type block struct {
	hash uint64
	refs int
	// unused is the block's element in the eviction list, nil while referenced.
	unused *list.Element
}

// prefixCache caches prompt blocks and evicts the least recently used.
type prefixCache struct {
	blockTokens int
	blocks      map[uint64]*block
	unused      *list.List
	changes     []CacheChange
}

// CacheChange is a block stored in or evicted from the prefix cache.
type CacheChange struct {
	Hash    uint64
	Evicted bool
}

func newPrefixCache(blockTokens int) *prefixCache {
	return &prefixCache{blockTokens: blockTokens, blocks: map[uint64]*block{}, unused: list.New()}
}

// tokens returns the size of the cache.
func (c *prefixCache) tokens() int { return len(c.blocks) * c.blockTokens }

// evictable returns the number of tokens that eviction could free.
func (c *prefixCache) evictable() int { return c.unused.Len() * c.blockTokens }

// match returns the length in blocks of the longest cached prefix.
func (c *prefixCache) match(hashes []uint64) int {
	for i, hash := range hashes {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(hashes)
}

// acquire adds a reference to a block and caches it if it is new.
func (c *prefixCache) acquire(hash uint64) {
	b := c.blocks[hash]
	if b == nil {
		b = &block{hash: hash}
		c.blocks[hash] = b
		c.changes = append(c.changes, CacheChange{Hash: hash})
	}
	if b.unused != nil {
		c.unused.Remove(b.unused)
		b.unused = nil
	}
	b.refs++
}

// release drops references in reverse order, so that eviction removes the end of a
// prefix before its start.
func (c *prefixCache) release(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.unused = c.unused.PushBack(b)
		}
	}
}

// evict removes one unreferenced block and reports whether there was one.
func (c *prefixCache) evict() bool {
	front := c.unused.Front()
	if front == nil {
		return false
	}
	b := c.unused.Remove(front).(*block)
	delete(c.blocks, b.hash)
	c.changes = append(c.changes, CacheChange{Hash: b.hash, Evicted: true})
	return true
}

// takeChanges returns and clears the changes since the last call.
func (c *prefixCache) takeChanges() []CacheChange {
	changes := c.changes
	c.changes = nil
	return changes
}
