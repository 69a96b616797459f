package auth

import (
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against digests that other programs compute differently.
func TestDigest(t *testing.T) {
	const want = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"
	if got := Digest("key"); got != want {
		t.Errorf("digest %s, want %s", got, want)
	}
}

// Guards against requests that outlive their key, requests of other keys that are cancelled, and entries that stay.
func TestCancelWithdrawn(t *testing.T) {
	var r Registry
	cancelled := map[string]int{}
	add := func(digest string) func() {
		return r.Add(digest, func() { cancelled[digest]++ })
	}
	finished := add("gone")
	add("gone")
	remove := add("gone")
	kept := add("kept")
	finished()
	finished()
	if n := r.CancelWithdrawn(func(digest string) bool { return digest == "kept" }); n != 2 {
		t.Errorf("%d requests cancelled, want 2", n)
	}
	if cancelled["gone"] != 2 || cancelled["kept"] != 0 {
		t.Errorf("cancelled %v", cancelled)
	}
	remove()
	if n := r.CancelWithdrawn(func(digest string) bool { return digest == "kept" }); n != 0 {
		t.Errorf("%d requests cancelled twice", n)
	}
	kept()
	if r.Running("kept") != 0 || len(r.byKey) != 0 {
		t.Errorf("%d keys are still registered", len(r.byKey))
	}
}

// Guards against a request that slips through while its key is withdrawn: whichever of the two comes first, the
// request is cancelled or sees the new state.
func TestWithdrawalRacesWithAdd(t *testing.T) {
	for range 200 {
		var r Registry
		var withdrawn, stopped atomic.Bool
		var group sync.WaitGroup
		group.Go(func() {
			r.Add("key", func() { stopped.Store(true) })
			if withdrawn.Load() {
				stopped.Store(true)
			}
		})
		group.Go(func() {
			withdrawn.Store(true)
			r.CancelWithdrawn(func(string) bool { return false })
		})
		group.Wait()
		if !stopped.Load() {
			t.Fatal("a request with a withdrawn key goes on")
		}
	}
}

// Guards against a deadlock when a cancel function ends the request at once.
func TestCancelMayRemove(t *testing.T) {
	var r Registry
	var remove func()
	remove = r.Add("key", func() { remove() })
	if n := r.CancelWithdrawn(func(string) bool { return false }); n != 1 {
		t.Errorf("%d requests cancelled, want 1", n)
	}
}
