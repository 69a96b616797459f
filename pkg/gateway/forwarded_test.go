package gateway

import (
	"fmt"
	"testing"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/peerforward"
	"github.com/corneldeal/corneldeal/pkg/reach"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// Guards against a VM that is not asked to help any more since it does not reach one endpoint of a service, although it reaches
// others.
func TestVMThatReachesHalfOfAServiceStaysAHelper(t *testing.T) {
	g := newTestGateway(1)
	now := steady.Now()
	var endpoints []*fleet.Endpoint
	for i := range 6 {
		id := fmt.Sprint("e", i)
		g.endpoints.Apply(id, logpos.Position{Offset: int64(i + 1)}, &fleet.Endpoint{ID: id, Service: "s", Ready: true, StartTimeMs: 1}, now)
		endpoints = append(endpoints, g.endpoints.Get(id))
	}
	ask := func(e *fleet.Endpoint) reach.Reason {
		_, refused := g.forwardTarget(peerforward.Request{Endpoint: e.ID, StartTimeMs: 1})
		return refused.Reason
	}
	if got := ask(endpoints[0]); got != "" {
		t.Fatalf("an endpoint that is reached: %q", got)
	}
	g.paths.RecordCut(endpoints[0], reach.Refused, now)
	g.paths.RecordReached(endpoints[5], now)
	if got := ask(endpoints[0]); got != reach.PeerLacksEndpoint {
		t.Errorf("one of six endpoints is not reached: %q", got)
	}
	for _, e := range endpoints {
		g.paths.RecordCut(e, reach.Refused, now)
	}
	if got := ask(endpoints[0]); got != reach.PeerCutOff {
		t.Errorf("no endpoint is reached: %q", got)
	}
}
