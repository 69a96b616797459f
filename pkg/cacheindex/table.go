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
	slots []slot
	used  int
	hand  int
}

// Bounds of the share of used slots, as fractions of eight. Growing at 7/8 bounds the memory per entry; shrinking
// below 1/8 returns memory after an engine has cleared its cache.
const (
	minSlots     = 16
	growEighths  = 7
	shrinkEighth = 1
)

// multiplier spreads the hashes over the slots by its product's high bits. Without it hashes that agree in their
// low bits form one long probe run.
const multiplier = 0x9e3779b97f4a7c15

func (t *table) home(hash uint64) int {
	return int((hash * multiplier) >> (64 - bits.TrailingZeros(uint(len(t.slots)))))
}

// find returns the position of the hash, or -1.
func (t *table) find(hash uint64) int {
	if len(t.slots) == 0 {
		return -1
	}
	mask := len(t.slots) - 1
	for i := t.home(hash); t.slots[i].stamp != 0; i = (i + 1) & mask {
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

// set stores a stamp other than zero. It reports whether the hash is new.
func (t *table) set(hash uint64, stamp uint32) bool {
	if i := t.find(hash); i >= 0 {
		t.slots[i].stamp = stamp
		return false
	}
	if (t.used+1)*8 > len(t.slots)*growEighths {
		t.resize(max(minSlots, len(t.slots)*2))
	}
	t.insert(slot{low: uint32(hash), high: uint32(hash >> 32), stamp: stamp})
	return true
}

func (t *table) insert(s slot) {
	mask := len(t.slots) - 1
	i := t.home(s.hash())
	for t.slots[i].stamp != 0 {
		i = (i + 1) & mask
	}
	t.slots[i] = s
	t.used++
}

// remove deletes the hash. It reports whether it was there.
func (t *table) remove(hash uint64) bool {
	i := t.find(hash)
	if i < 0 {
		return false
	}
	t.removeAt(i)
	if len(t.slots) > minSlots && t.used*8 < len(t.slots)*shrinkEighth {
		t.resize(len(t.slots) / 2)
	}
	return true
}

// removeAt empties position i and moves later entries of the same probe run back, so that no run is broken.
func (t *table) removeAt(i int) {
	mask := len(t.slots) - 1
	free := i
	for j := (i + 1) & mask; t.slots[j].stamp != 0; j = (j + 1) & mask {
		home := t.home(t.slots[j].hash())
		if (j-home)&mask >= (j-free)&mask {
			t.slots[free] = t.slots[j]
			free = j
		}
	}
	t.slots[free] = slot{}
	t.used--
}

func (t *table) resize(size int) {
	old := t.slots
	t.slots = make([]slot, size)
	t.used = 0
	t.hand = 0
	for _, s := range old {
		if s.stamp != 0 {
			t.insert(s)
		}
	}
}

// evict removes the entry with the lowest time among the next entries behind the hand. Looking at a few entries
// keeps the cost of an eviction constant; the entry removed is old but not always the oldest.
func (t *table) evict(sample int) {
	if t.used == 0 {
		return
	}
	mask := len(t.slots) - 1
	best, seen := -1, 0
	for steps := 0; seen < sample && steps < len(t.slots); steps++ {
		i := t.hand
		t.hand = (t.hand + 1) & mask
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
