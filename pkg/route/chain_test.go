package route

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Text that moves from one field to another must change the encoding. Otherwise one caller could be answered from
// the cached blocks of a different prompt.
func TestPromptIsInjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune{0, 1, 'a'}), 0, 4, -1)
		message := rapid.Custom(func(t *rapid.T) Message {
			return Message{Role: text.Draw(t, "role"), Content: text.Draw(t, "content")}
		})
		list := rapid.SliceOfN(message, 0, 3)
		a, b := list.Draw(t, "a"), list.Draw(t, "b")
		if bytes.Equal(EncodePrompt(a), EncodePrompt(b)) && !slices.Equal(a, b) {
			t.Fatalf("%q and %q have the same bytes", a, b)
		}
	})
}

// Prompts that differ only in the last message must share the blocks before it.
func TestChainSharesNestedPrefixes(t *testing.T) {
	long := string(bytes.Repeat([]byte("rule "), 20))
	seed := HashSeed("w", "m", "", "1")
	a := BlockHashes(seed, EncodePrompt([]Message{{"system", long + "A"}, {"user", "x"}}), 16)
	b := BlockHashes(seed, EncodePrompt([]Message{{"system", long + "B, longer"}, {"user", "x"}}), 16)
	shared := len(long) / 16
	if !slices.Equal(a[:shared], b[:shared]) {
		t.Fatalf("the first %d blocks differ", shared)
	}
	if a[shared] == b[shared] {
		t.Fatal("blocks with different text have the same hash")
	}
}

// Equal text under another workspace, model, adapter or version must have no hash in common. Moving a character
// from one name to the next must change the seed.
func TestChainSeparatesSeeds(t *testing.T) {
	prompt := bytes.Repeat([]byte("p"), 64)
	seen := map[uint64]string{}
	names := [][4]string{
		{"w", "m", "a", "1"}, {"w2", "m", "a", "1"}, {"w", "m2", "a", "1"},
		{"w", "m", "a2", "1"}, {"w", "m", "a", "12"}, {"wm", "", "a", "1"}, {"w", "ma", "", "1"},
	}
	for _, n := range names {
		label := n[0] + "/" + n[1] + "/" + n[2] + "/" + n[3]
		for _, h := range BlockHashes(HashSeed(n[0], n[1], n[2], n[3]), prompt, 16) {
			if other, ok := seen[h]; ok {
				t.Fatalf("%s shares a hash with %s", label, other)
			}
			seen[h] = label
		}
	}
}

// An incomplete block must not be counted as cached, since engines keep only complete blocks.
func TestChainHasOnlyCompleteBlocks(t *testing.T) {
	for size, want := range map[int]int{0: 0, 15: 0, 16: 1, 31: 1, 32: 2} {
		if got := len(BlockHashes(1, make([]byte, size), 16)); got != want {
			t.Errorf("%d bytes: %d hashes, want %d", size, got, want)
		}
	}
	if BlockHashes(1, make([]byte, 16), 0) != nil {
		t.Error("block size 0 gave hashes")
	}
}
