package rendezvous

import (
	"fmt"
	"testing"
)

// winner returns the name with the highest weight for the key.
func winner(key uint64, names []string) string {
	best := names[0]
	for _, name := range names {
		if Weight(key, name) > Weight(key, best) {
			best = name
		}
	}
	return best
}

// Guards against an uneven spread of keys, which a weak hash yields for names and keys that differ by one character,
// and against keys that move although their name was not removed.
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
			t.Fatal("a key moved although its name was not removed")
		}
	}
	for _, name := range names {
		if counts[name] < 800 || counts[name] > 1200 {
			t.Errorf("%s has %d of 9000 keys, want 800 to 1200", name, counts[name])
		}
	}
}

// Guards against a key that too many or too few names take for theirs, and against a count of zero that selects one.
func TestFirstNamesAreAsManyAsCounted(t *testing.T) {
	var names []string
	for i := range 9 {
		names = append(names, fmt.Sprint("endpoint-", i))
	}
	for count := range len(names) + 2 {
		selected := 0
		for _, name := range names {
			if IsAmongFirst(Key("key"), name, names, count) {
				selected++
			}
		}
		if want := min(count, len(names)); selected != want {
			t.Errorf("%d names selected, want %d", selected, want)
		}
	}
}
