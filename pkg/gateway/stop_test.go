package gateway

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/steady"
)

// Guards against requests that are taken late in a stop and cut by the end of the grace (hunt-9208-11).
func TestLateRequestsOfAStopAreRefused(t *testing.T) {
	g := &Gateway{}
	now := steady.Now()
	if g.stopsTaking(now) {
		t.Fatal("refuses though it is not stopping")
	}
	g.leavingSince.Store(now.UnixNano())
	g.leaving.Store(true)
	if g.stopsTaking(now.Add(refuseAfter)) {
		t.Fatal("refuses while the balancer may still send new connections")
	}
	if !g.stopsTaking(now.Add(refuseAfter + time.Millisecond)) {
		t.Fatal("takes a request that the grace may not suffice for")
	}
}
