package engine

import (
	"container/list"
)

// block is one cached piece of a prompt.
type block struct {
	hash    uint64
	owner   Loaded
	refs    int
	element *list.Element
}

// prefixCache holds blocks by chain hash and evicts the least recently used one that no request refers to.
type prefixCache struct {
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

// match returns the number of leading hashes that are held.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// take refers to the leading blocks that are held and returns them.
func (c *prefixCache) take(hashes []uint64) []*block {
	n := c.match(hashes)
	out := make([]*block, 0, len(hashes))
	for _, h := range hashes[:n] {
		out = append(out, c.refer(c.blocks[h]))
	}
	return out
}

func (c *prefixCache) refer(b *block) *block {
	b.refs++
	if b.element != nil {
		c.idle.Remove(b.element)
		b.element = nil
	}
	return b
}

// store adds a computed block and refers to it. It returns nil when every block is referred to. The second
// result is the evicted hash, if any; the third tells whether the block is new.
func (c *prefixCache) store(hash uint64, owner Loaded) (b *block, evicted []uint64, added bool) {
	if held := c.blocks[hash]; held != nil {
		return c.refer(held), nil, false
	}
	if len(c.blocks) >= c.limit {
		oldest := c.idle.Front()
		if oldest == nil {
			return nil, nil, false
		}
		evicted = []uint64{oldest.Value.(*block).hash}
		c.remove(oldest.Value.(*block))
	}
	b = &block{hash: hash, owner: owner, refs: 1}
	c.blocks[hash] = b
	return b, evicted, true
}

func (c *prefixCache) remove(b *block) {
	delete(c.blocks, b.hash)
	if b.element != nil {
		c.idle.Remove(b.element)
		b.element = nil
	}
}

// release drops the references, the last block first, so that the end of a prefix is evicted before its
// beginning.
func (c *prefixCache) release(held []*block) {
	for i := len(held) - 1; i >= 0; i-- {
		b := held[i]
		b.refs--
		if b.refs == 0 && c.blocks[b.hash] == b {
			b.element = c.idle.PushBack(b)
		}
	}
}

// removeOwner drops all blocks of the weights and returns their hashes. Requests that refer to them go on.
func (c *prefixCache) removeOwner(model, version string) []uint64 {
	var out []uint64
	for h, b := range c.blocks {
		if b.owner.Model == model && b.owner.Version == version {
			out = append(out, h)
			c.remove(b)
		}
	}
	return out
}

// clear drops all blocks and returns their hashes.
func (c *prefixCache) clear() []uint64 {
	out := make([]uint64, 0, len(c.blocks))
	for h, b := range c.blocks {
		out = append(out, h)
		c.remove(b)
	}
	return out
}
