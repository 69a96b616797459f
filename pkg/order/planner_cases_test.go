package order

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// oneEngine returns a configuration with one engine for model m at version v2.
func oneEngine(checks bool) Config {
	return Config{
		Models: []config.Model{{Name: "m", Version: "v2"}},
		Endpoints: []config.Endpoint{
			{Name: "e", Kind: config.EndpointEngine, Models: []string{"m"}, ChecksFencing: checks},
		},
	}
}

func reading(at time.Time, incarnation string, versions ...string) Readings {
	r := Reading{Endpoint: "e", Incarnation: incarnation, LastFence: -1, ReadAt: at}
	for _, v := range versions {
		r.Loaded = append(r.Loaded, Loaded{Model: "m", Version: v})
	}
	return Readings{r}
}

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestWaitForEarlierIssuer guards against orders to an engine that does not check fencing numbers while an order of the
// earlier issuer may still arrive, and against orders decided from a state that was read before that.
func TestWaitForEarlierIssuer(t *testing.T) {
	steps := []struct {
		name         string
		checks       bool
		takeover     Takeover
		now, readAt  float64
		wantAnyOrder bool
	}{
		{"lapsed lease, order in transit", false, TakeoverLapsed, 15.4, 15.4, false},
		{"lapsed lease, state read too early", false, TakeoverLapsed, 17, 16.4, false},
		{"lapsed lease, state read back", false, TakeoverLapsed, 17, 16.5, true},
		{"released lease, loads in progress", false, TakeoverReleased, 5.9, 5.9, false},
		{"released lease, state read back", false, TakeoverReleased, 6, 6, true},
		{"engine checks", true, TakeoverLapsed, 6, 6, true},
		{"nobody before", false, TakeoverFirst, 0, 0, true},
	}
	for _, step := range steps {
		p := NewPlanner(Settings{})
		p.SetLease(IssuerLease{Held: true, Fence: 7, Since: start, Takeover: step.takeover})
		orders := p.Plan(oneEngine(step.checks), reading(after(step.readAt), "1", "v1"), after(step.now))
		if (len(orders) > 0) != step.wantAnyOrder {
			t.Errorf("%s: orders %+v", step.name, orders)
		}
	}
}

// TestRepeatedOrders guards against a load that never happens because its order or the reply was lost or the engine
// restarted, and against orders after an engine has received a newer issuer's fencing number.
func TestRepeatedOrders(t *testing.T) {
	p := NewPlanner(Settings{})
	p.SetLease(IssuerLease{Held: true, Fence: 7, Since: start, Takeover: TakeoverFirst})
	plan := func(seconds float64, incarnation string) []Order {
		return p.Plan(oneEngine(true), reading(after(seconds), incarnation, "v1"), after(seconds))
	}
	first := plan(0, "1")
	if len(first) != 1 || first[0].Kind != KindLoad || first[0].Version != "v2" || first[0].Fence != 7 {
		t.Fatalf("first orders %+v", first)
	}
	if early := plan(1.9, "1"); len(early) != 0 {
		t.Fatalf("repeated before the order timeout: %+v", early)
	}
	if again := plan(2, "1"); len(again) != 1 || again[0] != first[0] {
		t.Fatalf("repeated orders %+v", again)
	}
	p.Reply(first[0], OutcomeAccepted, after(2))
	if accepted := plan(10, "1"); len(accepted) != 0 {
		t.Fatalf("accepted order repeated: %+v", accepted)
	}
	if restarted := plan(11, "2"); len(restarted) != 1 || restarted[0] != first[0] {
		t.Fatalf("orders after a restart %+v", restarted)
	}
	p.Reply(first[0], OutcomeStale, after(11))
	if stale := plan(20, "2"); len(stale) != 0 || !p.Superseded() {
		t.Fatalf("orders after a refusal as stale %+v", stale)
	}
}

// TestUnloadWaits guards against unloading a version on which interrupted streams may still be resumed.
func TestUnloadWaits(t *testing.T) {
	p := NewPlanner(Settings{})
	p.SetLease(IssuerLease{Held: true, Fence: 7, Since: start, Takeover: TakeoverFirst})
	for seconds := 0.0; seconds <= 60; seconds++ {
		orders := p.Plan(oneEngine(true), reading(after(seconds), "1", "v1", "v2"), after(seconds))
		if (len(orders) == 1) != (seconds == 60) {
			t.Fatalf("orders after %v s: %+v", seconds, orders)
		}
	}
}
