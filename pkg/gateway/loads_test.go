package gateway

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// Guards against short loads that are waited for as if they were long: the holder of the order lease then brings too few
// engines to new weights before it is lost.
func TestShortLoadsFollowEachOther(t *testing.T) {
	g := New(settings.Gateway{VM: "a", Address: "10.0.0.1", DataCentre: "z", LogLevel: "error"},
		func(*httpcall.Client) Platform { return Platform{} })
	g.config.Store((&traffic.Config{Services: map[string]*traffic.Service{
		"llm": {Name: "llm", Engine: &traffic.Engine{Models: []string{"m"}}},
	}}).Build())
	now := steady.Now()
	ids := []string{"e0", "e1", "e2", "e3"}
	for i, id := range ids {
		g.endpoints.Apply(id, int64(i), &fleet.Endpoint{ID: id, Born: 1, Service: "llm", Ready: true}, now)
	}
	g.noteAnnouncement("m", place.Announcement{Version: 2, At: now})
	const load = 600 * time.Millisecond
	for _, id := range ids[:2] {
		g.loads[id] = &loadState{model: "m", phase: issuer.Loading, since: now, target: 2, nextAsk: now}
	}
	if calls := g.dueCalls(now.Add(load)); len(calls) != 2 {
		t.Fatalf("%d of 2 engines are asked %v after their orders", len(calls), load)
	}
	for _, id := range ids[:2] {
		g.placer.Version(g.endpoints.Get(id), "m", 2)
	}
	now = now.Add(load)
	g.dropFinishedLoads(now)
	for _, id := range ids[2:] {
		g.loads[id] = &loadState{model: "m", phase: issuer.Loading, since: now, target: 2, nextAsk: now}
	}
	if n := g.loadsUnderWay(g.enginesOf("m"), now.Add(load+time.Millisecond)); n != 0 {
		t.Errorf("%d loads count as under way after the usual time", n)
	}
}

// Guards against long loads that are followed by others before they end, which makes all of them slower.
func TestLongLoadsAreLearned(t *testing.T) {
	var l loadTimes
	if l.time() != unknownLoad {
		t.Errorf("an unknown load is taken to last %v", l.time())
	}
	l.note(1900 * time.Millisecond)
	l.note(loadLimit)
	if got := l.time(); got != 1900*time.Millisecond {
		t.Errorf("loads of 1.9 s are taken to last %v", got)
	}
	if l.firstReport() >= l.time() {
		t.Error("the end is first asked for after the usual time")
	}
}
