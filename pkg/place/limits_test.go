package place

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

// fakeLimits are rate limits of endpoints by id.
type fakeLimits struct {
	// next is the time until the next request may be sent.
	next map[string]time.Duration
	// due contains the endpoints that are due to be probed.
	due map[string]bool
}

// NextSend implements RateLimits.
func (l fakeLimits) NextSend(e *fleet.Endpoint, now time.Time) time.Time {
	return now.Add(l.next[e.ID])
}

// ProbeDue implements RateLimits.
func (l fakeLimits) ProbeDue(e *fleet.Endpoint, _ time.Time) bool {
	return l.due[e.ID]
}

// Guards against requests to an endpoint at its limit, and against a time to come back that is not the earliest one.
func TestEndpointAtItsLimitIsLeftOut(t *testing.T) {
	p := New()
	list := engines(3)
	f := facts
	f.Limits = fakeLimits{next: map[string]time.Duration{"e0": 2 * time.Second, "e1": time.Second}}
	if c := p.Place(prompt(1, 2), list, f, start); c.Endpoint != list[2] || c.AtLimit != 2 {
		t.Fatalf("placed on %v with %d at their limits", c.Endpoint, c.AtLimit)
	}
	c := p.Place(prompt(1, 2), list[:2], f, start)
	if c.Endpoint != nil || c.AtLimit != 2 || !c.WaitUntil.Equal(start.Add(time.Second)) {
		t.Fatalf("%+v", c)
	}
	p.RecordBackoff(list[1], 5*time.Second, start)
	if c := p.Place(prompt(1, 2), list[:2], f, start); !c.WaitUntil.Equal(start.Add(2 * time.Second)) {
		t.Fatalf("wait until %v although the other endpoint is free earlier", c.WaitUntil)
	}
}

// Guards against a limit whose end is never noticed because other endpoints are a little faster, and against a probe that
// makes a request much slower.
func TestEndpointIsProbedForTheEndOfItsLimit(t *testing.T) {
	p := New()
	list := engines(2)
	f := facts
	f.Limits = fakeLimits{due: map[string]bool{"e1": true}}
	if c := p.Place(prompt(1, 2), list, f, start); c.Endpoint != list[1] {
		t.Fatalf("placed on %v", c.Endpoint)
	}
	p.SetPeerLoads("peer", map[string]Load{"e1": {Running: 10, PendingPrefill: 60_000}})
	if c := p.Place(prompt(1, 2), list, f, start); c.Endpoint != list[0] {
		t.Fatalf("placed on the slow endpoint, expected %v", c.Expected)
	}
}
