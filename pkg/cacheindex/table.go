package cacheindex

import "math/bits"

// slot is one entry of a table. A stamp of zero marks a free slot.
type slot struct {
	low, high uint32
	stamp     uint32
}

func (s slot) hash() uint64 {
	return uint64(s.high)<<32 | uint64(s.low)
}

// table is an open-addressing hash table with linear probing and backward-shift deletion. A slot takes 12 bytes
// without padding; the built-in map takes 17 bytes for the same content.
type table struct {
	slots         []slot
	usedSlots     int
	evictPosition int
}

// Limits of the number and, in eighths, of the share of used slots. Growing at 7/8 limits the memory per entry;
// shrinking below 1/8 releases memory after an engine has cleared its cache.
const (
	minSlots       = 16
	maxUsedEighths = 7
	minUsedEighths = 1
)

// hashMultiplier distributes the hashes over the slots by the high bits of the product. Without it, hashes that agree
// in their low bits would form one long probe sequence.
const hashMultiplier = 0x9e3779b97f4a7c15

// homeSlot returns the position at which the probe sequence of the hash starts.
func (t *table) homeSlot(hash uint64) int {
	return int((hash * hashMultiplier) >> (64 - bits.TrailingZeros(uint(len(t.slots)))))
}

// find returns the position of the hash, or -1.
func (t *table) find(hash uint64) int {
	if len(t.slots) == 0 {
		return -1
	}
	mask := len(t.slots) - 1
	for i := t.homeSlot(hash); t.slots[i].stamp != 0; i = (i + 1) & mask {
		if t.slots[i].hash() == hash {
			return i
		}
	}
	return -1
}

// get returns the stamp of the hash, or zero.
func (t *table) get(hash uint64) uint32 {
	i := t.find(hash)
	if i < 0 {
		return 0
	}
	return t.slots[i].stamp
}

// set stores a stamp, which must not be zero. It reports whether the hash is new.
func (t *table) set(hash uint64, stamp uint32) bool {
	if i := t.find(hash); i >= 0 {
		t.slots[i].stamp = stamp
		return false
	}
	if (t.usedSlots+1)*8 > len(t.slots)*maxUsedEighths {
		t.resize(max(minSlots, len(t.slots)*2))
	}
	t.insert(slot{low: uint32(hash), high: uint32(hash >> 32), stamp: stamp})
	return true
}

// insert stores a slot whose hash is not in the table. The table must have a free slot.
func (t *table) insert(s slot) {
	mask := len(t.slots) - 1
	i := t.homeSlot(s.hash())
	for t.slots[i].stamp != 0 {
		i = (i + 1) & mask
	}
	t.slots[i] = s
	t.usedSlots++
}

// remove deletes the hash. It reports whether the hash was present.
func (t *table) remove(hash uint64) bool {
	i := t.find(hash)
	if i < 0 {
		return false
	}
	t.removeAt(i)
	if len(t.slots) > minSlots && t.usedSlots*8 < len(t.slots)*minUsedEighths {
		t.resize(len(t.slots) / 2)
	}
	return true
}

// removeAt frees position i and moves later entries of the same probe sequence back, so that all remain reachable.
func (t *table) removeAt(i int) {
	mask := len(t.slots) - 1
	free := i
	for j := (i + 1) & mask; t.slots[j].stamp != 0; j = (j + 1) & mask {
		home := t.homeSlot(t.slots[j].hash())
		if (j-home)&mask >= (j-free)&mask {
			t.slots[free] = t.slots[j]
			free = j
		}
	}
	t.slots[free] = slot{}
	t.usedSlots--
}

// resize moves all entries to a new array. size must be a power of two above the number of entries.
func (t *table) resize(size int) {
	old := t.slots
	t.slots = make([]slot, size)
	t.usedSlots = 0
	t.evictPosition = 0
	for _, s := range old {
		if s.stamp != 0 {
			t.insert(s)
		}
	}
}

// evict removes the oldest of the next sampleSize entries from evictPosition on. Comparing only a few entries keeps the
// cost of an eviction constant; the entry removed is old but not always the oldest of the table.
func (t *table) evict(sampleSize int) {
	if t.usedSlots == 0 {
		return
	}
	mask := len(t.slots) - 1
	best, seen := -1, 0
	for steps := 0; seen < sampleSize && steps < len(t.slots); steps++ {
		i := t.evictPosition
		t.evictPosition = (t.evictPosition + 1) & mask
		if t.slots[i].stamp == 0 {
			continue
		}
		seen++
		if best < 0 || t.slots[i].stamp&tickMask < t.slots[best].stamp&tickMask {
			best = i
		}
	}
	t.removeAt(best)
}
