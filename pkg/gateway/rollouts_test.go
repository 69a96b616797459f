package gateway

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/digestage"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/rollout"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// orderRollout applies an order for the service "app" at an offset.
func orderRollout(g *Gateway, offset int64, target string, now time.Time) *serviceRollout {
	g.applyRolloutOrder(Record{Key: "rollout/app", Value: []byte(target), Position: logpos.Position{Offset: offset}},
		RolloutOrder{Service: "app", Target: target, Duration: 12 * time.Second}, now)
	return g.rollouts.byService["app"]
}

// addSoftware registers an endpoint of the service "app" for each version.
func addSoftware(g *Gateway, now time.Time, versions ...string) {
	for i, software := range versions {
		g.endpoints.Apply(software, logpos.Position{Offset: int64(i)},
			&fleet.Endpoint{ID: software, StartTimeMs: 1, Service: "app", Software: software, Ready: true}, now)
	}
}

// Guards against a version under suspicion that becomes one of the old ones, and gets their requests, since another order
// replaces its own.
func TestTargetOfAReplacedOrderGetsNoRequests(t *testing.T) {
	g, now := newTestGateway(0), steady.Now()
	g.settings.RollbackMs = 5000
	for i, target := range []string{"v2", "v3", "v1"} {
		addSoftware(g, now, []string{"v1", "v2", "v3"}[:min(2+i, 3)]...)
		ro := orderRollout(g, int64(10+i), target, now)
		r := &request{call: Call{ID: "r"}}
		for _, e := range g.candidatesByVersion(r, ro, g.endpoints.Usable("app"), now).endpoints {
			if e.Software != "v1" {
				t.Errorf("a request goes to %s under the order for %s", e.Software, target)
			}
		}
	}
	g.endpoints.Remove("v1", logpos.Position{Offset: 50}, now)
	ro := orderRollout(g, 13, "v4", now)
	if len(g.candidatesByVersion(&request{}, ro, g.endpoints.Usable("app"), now).endpoints) == 0 {
		t.Error("no endpoint is left although earlier targets are in service")
	}
}

// Guards against an instruction that permits requests to the target although it waited in the socket's buffer, and against the
// end of a roll-out by a report that did, or whose sender may use old endpoints before it hears of the end.
func TestRolloutDigestsOfUnknownAgeExtendNothing(t *testing.T) {
	g, start := newTestGateway(0), steady.Now()
	g.settings.RollbackMs = 5000
	g.started = start
	ro := orderRollout(g, 10, "v2", start)
	digest := func(sequence uint64, instructionAge time.Duration) *gossip.Batch {
		return &gossip.Batch{Digests: []*gossip.Digest{{
			Vm: "b", Boot: 1, Sequence: sequence, Address: "10.0.0.2", UptimeMs: 60_000 + int64(sequence)*1000,
			RolloutInstructions: []*gossip.RolloutInstruction{{
				Service: "app", Target: "v2", OrderOffset: 10, ClaimOffset: 1, Revision: int64(sequence),
				State: gossip.RolloutState_ROLLOUT_STATE_RUNNING, SharePerMille: rollout.SealedPerMille, AgeMs: instructionAge.Milliseconds(),
			}},
			RolloutEvidence: []*gossip.RolloutEvidence{{Service: "app", OrderOffset: 10, FollowedPerMille: rollout.SealedPerMille}},
		}}}
	}
	resumed := start.Add(digestage.MinStandstill)
	g.applyBatch(digest(1, 0), resumed)
	if share := ro.follower.SharePerMille(resumed); share != 0 {
		t.Errorf("share %d by a digest of unknown age", share)
	}
	if _, known := ro.reports["b"]; known || !g.lacksReports(ro, resumed) {
		t.Error("a digest of unknown age counts as a recent report")
	}
	later := resumed.Add(digestage.QueuedTime)
	g.activity.Record(g.started, resumed.Add(digestage.QueuedTime/2))
	g.applyBatch(digest(2, 100*time.Millisecond), later)
	if idle, sealed := g.oldUse(ro, later); !idle || !sealed || g.lacksReports(ro, later) {
		t.Errorf("idle %v, sealed %v with a report that is new", idle, sealed)
	}
	ro.reports["b"] = rolloutReport{boot: 1, at: later, followed: rollout.SealedPerMille, madeAt: later.Add(-2400 * time.Millisecond)}
	if _, sealed := g.oldUse(ro, later); sealed {
		t.Error("the old version is unused although the peer's instruction ends before it hears of the end")
	}
}
