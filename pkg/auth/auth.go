// Package auth turns keys into digests and keeps track of the running requests of each key, so that the
// withdrawal of a key reaches callers that are connected.
package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
)

// Digest returns the lower-case hexadecimal SHA-256 of a key. Only digests are stored and compared; a digest
// does not reveal the key, so lookups need no constant time.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Registry holds the queued and running requests by key digest. It is safe for concurrent use, starts no
// goroutines and calls no function while it holds its lock. The zero value is ready.
//
// A request first calls Add and then checks that its key is in force. The configuration publishes a new state
// first and then calls CancelWithdrawn. Either order of the two therefore stops a request with a withdrawn key.
type Registry struct {
	mu      sync.Mutex
	byKey   map[string]map[uint64]func()
	counter uint64
}

// Add registers a request. CancelWithdrawn calls cancel at most once, and only before remove was called or while
// remove runs at the same moment. The caller calls remove when the request ends; further calls do nothing.
func (r *Registry) Add(digest string, cancel func()) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	id := r.counter
	if r.byKey == nil {
		r.byKey = map[string]map[uint64]func(){}
	}
	if r.byKey[digest] == nil {
		r.byKey[digest] = map[uint64]func(){}
	}
	r.byKey[digest][id] = cancel
	return func() { r.remove(digest, id) }
}

func (r *Registry) remove(digest string, id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := r.byKey[digest]
	delete(requests, id)
	if len(requests) == 0 {
		delete(r.byKey, digest)
	}
}

// CancelWithdrawn cancels every request whose digest is not valid and returns their number.
func (r *Registry) CancelWithdrawn(valid func(digest string) bool) int {
	cancelled := 0
	for _, digest := range r.digests() {
		if valid(digest) {
			continue
		}
		requests := r.take(digest)
		for _, cancel := range requests {
			cancel()
		}
		cancelled += len(requests)
	}
	return cancelled
}

// Running returns the number of registered requests of a digest.
func (r *Registry) Running(digest string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byKey[digest])
}

func (r *Registry) digests() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	digests := make([]string, 0, len(r.byKey))
	for digest := range r.byKey {
		digests = append(digests, digest)
	}
	return digests
}

// take removes and returns the requests of a digest.
func (r *Registry) take(digest string) map[uint64]func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := r.byKey[digest]
	delete(r.byKey, digest)
	return requests
}
