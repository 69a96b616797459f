package gateway

import (
	"fmt"
	"testing"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/peerforward"
	"github.com/corneldeal/corneldeal/pkg/reach"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// routeTo returns a configuration with one route.
func routeTo(version int64, service string) *traffic.Config {
	return (&traffic.Config{
		Version:  version,
		Routes:   []traffic.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Targets: []traffic.Target{{Service: service, Weight: 1}}}},
		Services: map[string]*traffic.Service{service: {Name: service}},
	}).Build()
}

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

// Guards against a VM that sends a request of a peer, decided under an older configuration, to a service to which its own newer
// one does not lead any more.
func TestPeerWithNewerConfigurationSendsNothingOfTheOlder(t *testing.T) {
	g := newTestGateway(1)
	now := steady.Now()
	g.endpoints.Apply("e", logpos.Position{Offset: 1}, &fleet.Endpoint{ID: "e", Service: "old", Ready: true, StartTimeMs: 1}, now)
	r := peerforward.Request{
		Endpoint: "e", StartTimeMs: 1, ConfigVersion: 4, Head: []byte("POST /a/x?q HTTP/1.1\r\nHost: h.example\r\n\r\n"),
	}
	for _, tt := range []struct {
		name   string
		config *traffic.Config
		sender int64
		want   reach.Reason
	}{
		{"the same version", routeTo(4, "old"), 4, ""},
		{"a newer version with the same route", routeTo(5, "old"), 4, ""},
		{"a newer version that moved the route", routeTo(5, "new"), 4, reach.PeerForbids},
		{"an older version", routeTo(3, "new"), 4, ""},
		{"an older build that tells no version", routeTo(5, "new"), 0, ""},
	} {
		g.config.Store(tt.config)
		r.ConfigVersion = tt.sender
		if _, refused := g.forwardTarget(r); refused.Reason != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, refused.Reason, tt.want)
		}
	}
}
