// Package rendezvous chooses names for keys so that all VMs choose alike without talking, and a name that goes away
// moves only its own keys.
package rendezvous

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Weight returns the weight of a name for a key. The highest weight wins.
func Weight(key uint64, name string) uint64 {
	var data [8]byte
	binary.LittleEndian.PutUint64(data[:], key)
	return xxh3.HashSeed(data[:], xxh3.HashString(name))
}

// Key returns the key of a text.
func Key(text string) uint64 {
	return xxh3.HashString(text)
}
