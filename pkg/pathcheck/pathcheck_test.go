package pathcheck

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/reach"
)

// fakeNetwork answers probes by address and questions always alike.
type fakeNetwork struct {
	mu     sync.Mutex
	probes map[string]reach.Probe
	peers  []reach.Probe
	dials  atomic.Int32
	hold   chan struct{}
}

func (n *fakeNetwork) Connect(_ context.Context, address string) reach.Probe {
	n.dials.Add(1)
	if n.hold != nil {
		<-n.hold
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.probes[address]
}

func (n *fakeNetwork) AskPeers(context.Context, *fleet.Endpoint) []reach.Probe { return n.peers }

var (
	one = &fleet.Endpoint{ID: "e1", Address: "1", Service: "s"}
	two = &fleet.Endpoint{ID: "e2", Address: "2", Service: "s"}
)

// Guards against a connection for each of many attempts that broke in one moment.
func TestSimultaneousChecksAreOne(t *testing.T) {
	n := &fakeNetwork{probes: map[string]reach.Probe{"1": reach.Refused}, peers: []reach.Probe{reach.Connected}, hold: make(chan struct{})}
	table := reach.NewTable()
	results := make(chan Result, 10)
	c := New(n, table, time.Now, func(r Result) { results <- r })
	var checks sync.WaitGroup
	for range 20 {
		checks.Go(func() {
			if v := c.Check(t.Context(), one, reach.Unknown); v != reach.CutOff {
				t.Errorf("verdict %v", v)
			}
		})
	}
	for n.dials.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	close(n.hold)
	checks.Wait()
	if n.dials.Load() > 2 || len(results) > 2 || table.Cut()["s"] != 1 {
		t.Errorf("%d connections, %d results, cut off %v", n.dials.Load(), len(results), table.Cut())
	}
}

// Guards against a VM that is cut off itself and tells others that an endpoint has ended.
func TestRefusalCountsOnlyFromAVMThatReachesTheService(t *testing.T) {
	n := &fakeNetwork{probes: map[string]reach.Probe{"1": reach.Refused, "2": reach.Refused}}
	now := time.Unix(1000, 0)
	c := New(n, reach.NewTable(), func() time.Time { return now }, func(Result) {})
	if got := c.Answer(one, two); got != reach.Unknown {
		t.Errorf("cut off from both: %v", got)
	}
	now = now.Add(time.Second)
	n.probes["2"] = reach.Connected
	if got := c.Answer(one, two); got != reach.Refused {
		t.Errorf("reaches the other: %v", got)
	}
	dials := n.dials.Load()
	if c.Answer(one, two); n.dials.Load() != dials {
		t.Error("the same question costs another connection at once")
	}
}
