package gateway

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// Guards against a VM that denies a route or a key for good although its configuration may have been replaced.
func TestOutdatedVMDeniesNothingForGood(t *testing.T) {
	g := newTestGateway(1)
	now := steady.Now()
	denied := refusal.New(fasthttp.StatusNotFound, refusal.CodeNoRoute, "no route matches")
	st := g.streams[OperatorStream]
	for _, tt := range []struct {
		name string
		age  time.Duration
		want int
	}{
		{"verified lately", time.Second, fasthttp.StatusNotFound},
		{"verified too long ago", g.settings.ConfigurationLimit() + time.Second, fasthttp.StatusServiceUnavailable},
	} {
		st.freshness.Reset()
		st.freshness.Verified(now.Add(-tt.age))
		got := g.denial(denied)
		if got.Status != tt.want || (got.Status == fasthttp.StatusServiceUnavailable) != (got.RetryAfter > 0) {
			t.Errorf("%s: status %d, Retry-After %v", tt.name, got.Status, got.RetryAfter)
		}
	}
}

// Guards against a VM that starts, takes the configuration of a peer that is behind, and says that it is ready.
func TestStartedVMIsReadyOnceItHasTriedToVerify(t *testing.T) {
	g := newTestGateway(1)
	g.config.Store(routeTo(1, "s"))
	g.streams[EndpointStream].synced = true
	if g.ready() {
		t.Error("ready without any proof")
	}
	g.streams[OperatorStream].freshness.Verified(steady.Now().Add(-time.Minute))
	if g.ready() {
		t.Error("ready with a proof that is a minute old")
	}
	g.streams[OperatorStream].failing = true
	if !g.ready() {
		t.Error("not ready although the store fails, so that no proof can be had")
	}
	g.streams[OperatorStream].failing = false
	g.streams[OperatorStream].freshness.Verified(steady.Now())
	if !g.ready() {
		t.Error("not ready although verified")
	}
}
