package order

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

// simEngine is a simulated engine that executes orders.
type simEngine struct {
	name        string
	checks      bool
	replaces    bool
	incarnation int
	fence       int64
	loaded      []string
	loading     string
	readyAt     time.Time
	reading     Reading
	// maxFence is the highest fencing number of an order that took effect in any incarnation.
	maxFence int64
}

// sim drives one planner, several engines and an earlier issuer whose orders arrive late.
type sim struct {
	t       *rapid.T
	now     time.Time
	planner *Planner
	cfg     Config
	engines []*simEngine
	lease   IssuerLease
	routed  int
	crashed bool
	// late contains orders of the earlier issuer with the latest time at which they arrive.
	late []lateOrder
}

type lateOrder struct {
	order Order
	until time.Time
}

func version(n int) string {
	return fmt.Sprintf("v%d", n)
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: start}
	replaces := rapid.Bool().Draw(t, "replaces")
	s.planner = NewPlanner(Settings{LoadReplaces: replaces, UnloadAfter: 6 * time.Second})
	n := rapid.IntRange(2, 5).Draw(t, "engines")
	s.cfg.Models = []config.Model{{Name: "m", Version: version(1), MinReady: rapid.IntRange(1, 2).Draw(t, "min")}}
	for i := range n {
		e := &simEngine{name: fmt.Sprintf("e%d", i), checks: rapid.Bool().Draw(t, "checks"), replaces: replaces, fence: -1, maxFence: -1}
		e.loaded = []string{version(1)}
		s.engines = append(s.engines, e)
		s.cfg.Endpoints = append(s.cfg.Endpoints, config.Endpoint{
			Name: e.name, Kind: config.EndpointEngine, Models: []string{"m"}, ChecksFencing: e.checks,
		})
	}
	s.lease = IssuerLease{Held: true, Fence: 10, Since: s.now, Takeover: TakeoverLapsed}
	s.planner.SetLease(s.lease)
	s.read()
	return s
}

// read updates the readings of all engines.
func (s *sim) read() {
	for _, e := range s.engines {
		r := Reading{Endpoint: e.name, Incarnation: fmt.Sprint(e.incarnation), LastFence: e.fence, ReadAt: s.now}
		for _, v := range e.loaded {
			r.Loaded = append(r.Loaded, Loaded{Model: "m", Version: v})
		}
		e.reading = r
	}
}

func (s *sim) readings() Readings {
	var o Readings
	for _, e := range s.engines {
		o = append(o, e.reading)
	}
	return o
}

// apply delivers an order to an engine. It returns false if the engine refuses it as stale.
func (s *sim) apply(o Order) bool {
	i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.name == o.Endpoint })
	e := s.engines[i]
	if e.checks && o.Fence < e.fence {
		return false
	}
	if o.Fence < e.maxFence && !s.crashed {
		s.t.Fatalf("order %+v took effect after one with fencing number %d", o, e.maxFence)
	}
	e.fence = max(e.fence, o.Fence)
	e.maxFence = max(e.maxFence, o.Fence)
	held := slices.Contains(e.loaded, o.Version)
	switch {
	case o.Kind == KindUnload:
		e.loaded = slices.DeleteFunc(e.loaded, func(v string) bool { return v == o.Version })
	case !held && e.loading != o.Version:
		e.loading = o.Version
		e.readyAt = s.now.Add(2 * time.Second)
		if e.replaces {
			e.loaded = nil
		}
	}
	return true
}

// plan sends the planned orders. Some are lost, and so are some replies.
func (s *sim) plan() {
	before := s.ready()
	for _, o := range s.planner.Plan(s.cfg, s.readings(), s.now) {
		switch rapid.IntRange(0, 3).Draw(s.t, "reply") {
		case 0:
		case 1:
			s.apply(o)
		default:
			if s.apply(o) {
				s.planner.Reply(o, OutcomeAccepted, s.now)
			} else {
				s.planner.Reply(o, OutcomeStale, s.now)
			}
		}
	}
	s.check(before)
}

// ready returns the number of engines that hold the routed version.
func (s *sim) ready() int {
	n := 0
	for _, e := range s.engines {
		if slices.Contains(e.loaded, s.planner.ReadyVersion("m")) {
			n++
		}
	}
	return n
}

func (s *sim) check(before int) {
	var routed int
	if _, err := fmt.Sscanf(s.planner.ReadyVersion("m"), "v%d", &routed); err != nil {
		s.t.Fatalf("routed version %q: %v", s.planner.ReadyVersion("m"), err)
	}
	if s.planner.versions.routed["m"].provisional {
		// The choice is not final, since no version has enough endpoints.
		return
	}
	if routed < s.routed {
		s.t.Fatalf("routed version went back from %d to %d", s.routed, routed)
	}
	need := s.cfg.Models[0].MinReady
	if routed > s.routed && s.routed > 0 && s.ready() < need && !s.crashed {
		s.t.Fatalf("switched to %d on %d endpoints, %d needed", routed, s.ready(), need)
	}
	if routed == s.routed && before >= need && s.ready() < need && !s.crashed {
		s.t.Fatalf("orders left %d of %d endpoints ready, %d needed", s.ready(), before, need)
	}
	s.routed = routed
	loading := 0
	for _, e := range s.engines {
		if e.loading != "" {
			loading++
		}
	}
	if loading > 2 {
		s.t.Fatalf("%d loads at once", loading)
	}
}

func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, e := range s.engines {
		if e.loading != "" && !s.now.Before(e.readyAt) {
			e.loaded = append(e.loaded, e.loading)
			e.loading = ""
		}
	}
	s.late = slices.DeleteFunc(s.late, func(l lateOrder) bool { return s.now.After(l.until) })
}

func (s *sim) release() {
	s.cfg.Models[0].Version = version(s.routed + 1)
}

// crash restarts an engine without versions and fencing number. A late order may then take effect even on an engine
// that checks fencing numbers, until a later plan corrects it.
func (s *sim) crash() {
	e := rapid.SampledFrom(s.engines).Draw(s.t, "engine")
	e.incarnation++
	e.loaded, e.loading, e.fence = nil, "", -1
	s.crashed = true
}

// sendLate sends an order of the earlier issuer while its lease is valid. The order arrives within the order timeout.
func (s *sim) sendLate() {
	if s.now.Sub(start) >= 13*time.Second {
		return
	}
	o := Order{Endpoint: rapid.SampledFrom(s.engines).Draw(s.t, "engine").name, Fence: 5, Kind: KindUnload, Model: "m", Version: "v0"}
	s.late = append(s.late, lateOrder{order: o, until: s.now.Add(2 * time.Second)})
}

func (s *sim) arriveLate() {
	for _, l := range s.late {
		s.apply(l.order)
	}
	s.late = nil
}

// TestPlannerRules guards against orders that take effect after a newer issuer's, more than two loads at once, too few
// ready endpoints, routing back to older weights, and loads that never happen after lost replies and crashes.
func TestPlannerRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		actions := map[string]func(){
			"plan":    s.plan,
			"read":    s.read,
			"tick":    func() { s.advance(700 * time.Millisecond) },
			"release": s.release,
			"late":    s.sendLate,
			"arrive":  s.arriveLate,
			"long":    func() { s.advance(5 * time.Second); s.read() },
		}
		if rapid.Bool().Draw(t, "crashes") {
			actions["crash"] = s.crash
		}
		names := []string{"plan", "plan", "read", "read", "tick", "tick", "tick", "late", "arrive", "release", "long", "crash"}
		for range rapid.IntRange(20, 150).Draw(t, "actions") {
			if act := actions[rapid.SampledFrom(names).Draw(t, "action")]; act != nil {
				act()
			}
		}
		s.settle()
	})
}

// settle runs without faults for 150 s and fails unless every engine then holds the configured version and no other.
func (s *sim) settle() {
	s.arriveLate()
	for range 150 {
		s.advance(time.Second)
		s.read()
		for _, o := range s.planner.Plan(s.cfg, s.readings(), s.now) {
			s.apply(o)
			s.planner.Reply(o, OutcomeAccepted, s.now)
		}
	}
	want := s.cfg.Models[0].Version
	if slices.Contains(s.planner.Blocked(), "m") {
		s.checkBlocked()
		return
	}
	for _, e := range s.engines {
		if !slices.Equal(e.loaded, []string{want}) {
			s.t.Fatalf("%s holds %v, want %s", e.name, e.loaded, want)
		}
	}
	if got := s.planner.ReadyVersion("m"); got != want {
		s.t.Fatalf("routed to %s, want %s", got, want)
	}
}

// checkBlocked fails if a model stays at its version although the engines keep old versions or are numerous enough.
func (s *sim) checkBlocked() {
	model := &s.cfg.Models[0]
	if !s.engines[0].replaces || len(s.engines) >= 2*model.MinReady && !s.crashed {
		s.t.Fatalf("%d engines are blocked at %s", len(s.engines), s.planner.ReadyVersion("m"))
	}
	if s.ready() > model.MinReady {
		s.t.Fatalf("blocked with %d endpoints ready, only %d needed", s.ready(), model.MinReady)
	}
}
