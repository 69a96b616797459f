package auth

import (
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against a digest that differs from the plain SHA-256 that other programs compute.
func TestDigest(t *testing.T) {
	const want = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"
	if got := Digest("key"); got != want {
		t.Errorf("digest %s, want %s", got, want)
	}
}

// Guards against requests that outlive their key, cancelled requests of other keys, and registry entries that are never
// removed.
func TestCancelWithdrawn(t *testing.T) {
	var r Registry
	cancelled := map[string]int{}
	add := func(credential string) func() {
		return r.Add(credential, func() { cancelled[credential]++ })
	}
	removeFinished := add("gone")
	add("gone")
	removeWithdrawn := add("gone")
	removeKept := add("kept")
	removeFinished()
	removeFinished()
	if n := r.CancelWithdrawn(func(credential string) bool { return credential == "kept" }); n != 2 {
		t.Errorf("%d requests cancelled, want 2", n)
	}
	if cancelled["gone"] != 2 || cancelled["kept"] != 0 {
		t.Errorf("cancelled %v", cancelled)
	}
	removeWithdrawn()
	if n := r.CancelWithdrawn(func(credential string) bool { return credential == "kept" }); n != 0 {
		t.Errorf("%d requests cancelled twice", n)
	}
	removeKept()
	if r.Running("kept") != 0 || len(r.byCredential) != 0 {
		t.Errorf("%d keys are still registered", len(r.byCredential))
	}
}

// Guards against a request that is missed because its key is withdrawn while it registers. Whichever comes first, the
// request must be cancelled or see the new state.
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

// Guards against a deadlock when a cancel function removes its own request.
func TestCancelMayRemove(t *testing.T) {
	var r Registry
	var remove func()
	remove = r.Add("key", func() { remove() })
	if n := r.CancelWithdrawn(func(string) bool { return false }); n != 1 {
		t.Errorf("%d requests cancelled, want 1", n)
	}
}
