package engine

import (
	"container/list"
)

// block is one cached prompt block.
type block struct {
	hash    uint64
	weights LoadedModel
	// refs is the number of requests that use the block.
	refs int
	// element is the entry in prefixCache.idle; nil while the block is referenced.
	element *list.Element
}

// prefixCache stores blocks by chain hash and evicts the least recently used unreferenced block.
type prefixCache struct {
	// limit is the maximum number of blocks.
	limit  int
	blocks map[uint64]*block
	// idle lists unreferenced blocks, the least recently used first.
	idle *list.List
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{
		limit:  limit,
		blocks: map[uint64]*block{},
		idle:   list.New(),
	}
}

// match returns the number of leading hashes that are cached.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// acquirePrefix references the leading cached blocks and returns them.
func (c *prefixCache) acquirePrefix(hashes []uint64) []*block {
	n := c.match(hashes)
	out := make([]*block, 0, len(hashes))
	for _, h := range hashes[:n] {
		out = append(out, c.addReference(c.blocks[h]))
	}
	return out
}

// addReference references the block, which excludes it from eviction, and returns it.
func (c *prefixCache) addReference(b *block) *block {
	b.refs++
	if b.element != nil {
		c.idle.Remove(b.element)
		b.element = nil
	}
	return b
}

// store adds a computed block and references it. It returns nil if the cache is full of referenced blocks. evicted
// contains the evicted hash, if any; added reports whether the block is new.
func (c *prefixCache) store(hash uint64, weights LoadedModel) (b *block, evicted []uint64, added bool) {
	if held := c.blocks[hash]; held != nil {
		return c.addReference(held), nil, false
	}
	if len(c.blocks) >= c.limit {
		oldest := c.idle.Front()
		if oldest == nil {
			return nil, nil, false
		}
		evicted = []uint64{oldest.Value.(*block).hash}
		c.remove(oldest.Value.(*block))
	}
	b = &block{hash: hash, weights: weights, refs: 1}
	c.blocks[hash] = b
	return b, evicted, true
}

// remove deletes the block, referenced or not.
func (c *prefixCache) remove(b *block) {
	delete(c.blocks, b.hash)
	if b.element != nil {
		c.idle.Remove(b.element)
		b.element = nil
	}
}

// release drops one reference of each block, the last block first, so that the end of a prefix is evicted before
// its beginning.
func (c *prefixCache) release(held []*block) {
	for i := len(held) - 1; i >= 0; i-- {
		b := held[i]
		b.refs--
		if b.refs == 0 && c.blocks[b.hash] == b {
			b.element = c.idle.PushBack(b)
		}
	}
}

// removeWeights deletes all blocks computed with the weights and returns their hashes. Requests that reference them
// continue.
func (c *prefixCache) removeWeights(model, version string) []uint64 {
	var out []uint64
	for h, b := range c.blocks {
		if b.weights.Model == model && b.weights.Version == version {
			out = append(out, h)
			c.remove(b)
		}
	}
	return out
}

// clear deletes all blocks and returns their hashes.
func (c *prefixCache) clear() []uint64 {
	out := make([]uint64, 0, len(c.blocks))
	for h, b := range c.blocks {
		out = append(out, h)
		c.remove(b)
	}
	return out
}
