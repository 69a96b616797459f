package rendezvous

import (
	"fmt"
	"testing"
)

func winner(key uint64, names []string) string {
	best := names[0]
	for _, name := range names {
		if Weight(key, name) > Weight(key, best) {
			best = name
		}
	}
	return best
}

// Guards against keys piling up on few names, also where names and keys differ by one character, and against keys that
// move though their name stayed.
func TestKeysSpreadAndStay(t *testing.T) {
	var names []string
	for i := range 9 {
		names = append(names, fmt.Sprint("endpoint-", i))
	}
	counts := map[string]int{}
	for i := range 9000 {
		key := Key(fmt.Sprint("key-", i))
		first := winner(key, names)
		counts[first]++
		if first != names[0] && winner(key, names[1:]) != first {
			t.Fatal("a key moved though its name stayed")
		}
	}
	for _, name := range names {
		if counts[name] < 800 || counts[name] > 1200 {
			t.Errorf("%s has %d of 9000 keys", name, counts[name])
		}
	}
}
