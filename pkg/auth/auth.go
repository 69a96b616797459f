// Package auth computes the digests of API keys and tracks the running requests of each credential, so that the
// withdrawal of a key also cancels requests that are already running.
package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
)

// Digest returns the lower-case hexadecimal SHA-256 of a key. Only digests are stored and compared. A digest does not
// reveal the key, so lookups need not run in constant time.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Registry holds the queued and running requests by credential, an opaque string that the caller of Add chooses. It is
// safe for concurrent use, starts no goroutines and calls no function while it holds its lock. The zero value is ready
// to use.
//
// A request must call Add first and then check that its key is in force. The configuration must publish a new state
// first and then call CancelWithdrawn. A request with a withdrawn key is then stopped in either order of the two.
type Registry struct {
	mu           sync.Mutex
	byCredential map[string]map[uint64]func()
	lastID       uint64
}

// Add registers a request. CancelWithdrawn calls cancel at most once, and only before remove is called or concurrently
// with it. The caller must call remove when the request ends; further calls have no effect.
func (r *Registry) Add(credential string, cancel func()) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	id := r.lastID
	if r.byCredential == nil {
		r.byCredential = map[string]map[uint64]func(){}
	}
	if r.byCredential[credential] == nil {
		r.byCredential[credential] = map[uint64]func(){}
	}
	r.byCredential[credential][id] = cancel
	return func() { r.remove(credential, id) }
}

func (r *Registry) remove(credential string, id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := r.byCredential[credential]
	delete(requests, id)
	if len(requests) == 0 {
		delete(r.byCredential, credential)
	}
}

// CancelWithdrawn cancels every request whose credential is not valid and returns the number of requests cancelled.
func (r *Registry) CancelWithdrawn(valid func(credential string) bool) int {
	cancelled := 0
	for _, credential := range r.credentials() {
		if valid(credential) {
			continue
		}
		requests := r.removeAll(credential)
		for _, cancel := range requests {
			cancel()
		}
		cancelled += len(requests)
	}
	return cancelled
}

// Running returns the number of registered requests of a credential.
func (r *Registry) Running(credential string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byCredential[credential])
}

func (r *Registry) credentials() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	credentials := make([]string, 0, len(r.byCredential))
	for credential := range r.byCredential {
		credentials = append(credentials, credential)
	}
	return credentials
}

// removeAll removes and returns the requests of a credential.
func (r *Registry) removeAll(credential string) map[uint64]func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := r.byCredential[credential]
	delete(r.byCredential, credential)
	return requests
}
