package gateway

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/drain"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// Guards against requests that are accepted late in a shutdown and cut off at the end of the grace period.
func TestLateRequestsAreRefusedWhileStopping(t *testing.T) {
	g := &Gateway{settings: settings.Gateway{GraceSeconds: 8}}
	refusalDelay := drain.NewPlan(g.settings.Grace()).RefuseRequests
	now := steady.Now()
	if g.refusesNewRequests(now) {
		t.Fatal("requests are refused before the shutdown")
	}
	g.leavingSince.Store(now.UnixNano())
	g.leaving.Store(true)
	if g.refusesNewRequests(now.Add(refusalDelay)) {
		t.Fatal("requests are refused while the balancer may still open new connections")
	}
	if !g.refusesNewRequests(now.Add(refusalDelay + time.Millisecond)) {
		t.Fatal("a request is accepted for which the grace period may be too short")
	}
}
