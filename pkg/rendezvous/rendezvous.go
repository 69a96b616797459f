// Package rendezvous implements rendezvous hashing. All VMs assign a key to the same name without communicating, and
// removing a name moves only the keys that were assigned to it.
package rendezvous

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Weight returns the weight of a name for a key. A key is assigned to the name with the highest weight.
func Weight(key uint64, name string) uint64 {
	var data [8]byte
	binary.LittleEndian.PutUint64(data[:], key)
	return xxh3.HashSeed(data[:], xxh3.HashString(name))
}

// Key returns the key for a text.
func Key(text string) uint64 {
	return xxh3.HashString(text)
}

// IsAmongFirst reports whether fewer than count of the other names have a higher weight for the key than name.
func IsAmongFirst(key uint64, name string, others []string, count int) bool {
	own := Weight(key, name)
	for _, other := range others {
		if count <= 0 {
			return false
		}
		if other != name && Weight(key, other) > own {
			count--
		}
	}
	return count > 0
}

// Rank returns how many of the other names have a higher weight for the key than name.
func Rank(key uint64, name string, others []string) int {
	own := Weight(key, name)
	rank := 0
	for _, other := range others {
		if other != name && Weight(key, other) > own {
			rank++
		}
	}
	return rank
}
