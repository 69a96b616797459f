package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

var start = time.Unix(1000, 0)

var facts = ServiceProperties{
	Slots: 128, CacheTokens: 130_000, DataCentre: "x", Store: "store", StoreTokensPerMs: 277, LinkTokensPerMs: 1300,
	VersionLimit: 13 * time.Second,
}

func engine(i int, version int64) *fleet.Endpoint {
	return &fleet.Endpoint{
		ID: fmt.Sprint("e", i), StartTimeMs: 1, Address: fmt.Sprint("10.0.0.", i), DataCentre: "x", Ready: true,
		Versions: map[string]int64{"m": version},
	}
}

func engines(n int) []*fleet.Endpoint {
	var out []*fleet.Endpoint
	for i := range n {
		out = append(out, engine(i, 1))
	}
	return out
}

// prompt returns a request with 6,000 shared tokens, whose last shared part is the subject, and 1,000 tokens of its
// own.
func prompt(id, subject uint64) *Request {
	return &Request{
		ID: id, OnEngine: true, Model: "m", Prompt: 7000, Output: 20,
		Chain: []Part{{ID: 1, Tokens: 2000}, {ID: subject, Tokens: 4000}, {ID: 1 << 40, Tokens: 1000}},
		Salt:  func(version int64) string { return fmt.Sprint(version) },
	}
}

// storedEvents returns the events of a source that stores the shared parts of prompt.
func storedEvents(subject uint64) []CacheEvent {
	return []CacheEvent{{Salt: "1", Part: 1, Tokens: 2000}, {Salt: "1", Part: subject, Tokens: 4000}}
}

// Guards against measuring the age of an old version from the newest announcement, by which version 1 was still used 15
// s after version 2 had superseded it.
func TestLimitCountsFromFirstSuccessor(t *testing.T) {
	p := New()
	r := prompt(1, 2)
	r.Announced = []Announcement{{Version: 2, At: start}, {Version: 3, At: start.Add(6 * time.Second)}}
	both := []*fleet.Endpoint{engine(0, 1), engine(1, 2)}
	if c := p.Place(r, both[:1], facts, start.Add(12*time.Second)); c.Endpoint == nil {
		t.Fatal("old weights are refused before the limit")
	}
	if c := p.Place(r, both[:1], facts, start.Add(13*time.Second)); c.Endpoint != nil {
		t.Fatal("weights superseded 13 s ago are used")
	}
	if c := p.Place(r, both, facts, start.Add(13*time.Second)); c.Endpoint != both[1] || c.Version != 2 {
		t.Fatal("version 2, superseded only 7 s ago, is refused")
	}
}

// Guards against sending more requests to an engine that accepts them and never answers.
func TestUnresponsiveEngineIsAvoided(t *testing.T) {
	p := New()
	list := engines(2)
	r := prompt(1, 2)
	first := p.Place(r, list, facts, start)
	p.RecordSend(r, first, start)
	now := start.Add(3 * time.Second)
	for i := uint64(2); i < 30; i++ {
		r := prompt(i, i)
		c := p.Place(r, list, facts, now)
		if c.Endpoint == first.Endpoint {
			t.Fatal("a request was placed on the unresponsive engine")
		}
		p.RecordSend(r, c, now)
		p.RecordFirstToken(i, now)
		p.RecordOutcome(i, Answered, now)
	}
	p.RecordFirstToken(1, now)
	p.RecordOutcome(1, Answered, now)
	if !p.stateOf(first.Endpoint).lastAnswer.Equal(now) || p.stateOf(first.Endpoint).unresponsive(now) {
		t.Fatal("an engine that answers again counts as unresponsive")
	}
}

// Guards against several VMs having several engines compute the same new parts.
func TestNewPartsAreComputedAtOneHome(t *testing.T) {
	homes := map[string]bool{}
	for vm := range 5 {
		p := New()
		// Each VM has other work under way.
		p.SetPeerLoads("peer", map[string]Load{fmt.Sprint("e", vm): {Running: 2, PendingPrefill: 2000}})
		homes[p.Place(prompt(1, 77), engines(9), facts, start).Endpoint.ID] = true
	}
	if len(homes) != 1 {
		t.Fatalf("new parts of one subject are computed on %d engines, want 1", len(homes))
	}
}

// Guards against fetching from a source that has not reported the parts.
func TestSourceComesFromEvents(t *testing.T) {
	p := New()
	list := engines(3)
	if c := p.Place(prompt(1, 2), list, facts, start); c.FetchFrom != "" || c.SaveTo != "store" {
		t.Fatalf("fetches from %q and saves to %q although no source holds the parts", c.FetchFrom, c.SaveTo)
	}
	p.ApplyCacheEvents("store", 1, false, storedEvents(2))
	c := p.Place(prompt(1, 2), list, facts, start)
	if c.FetchFrom != "store" || c.SaveTo != "" {
		t.Fatalf("fetches from %q and saves to %q although the store holds the parts", c.FetchFrom, c.SaveTo)
	}
	p.ApplyCacheEvents(SourceOf(list[1]), 1, false, storedEvents(2))
	if c := p.Place(prompt(1, 2), list, facts, start); c.Endpoint != list[1] || c.FetchFrom != "" {
		t.Fatalf("placed on %s, fetch from %q; want the engine that holds the parts", c.Endpoint.ID, c.FetchFrom)
	}
	p.SetPeerLoads("peer", map[string]Load{"e1": {Running: 60, PendingPrefill: 60_000}})
	if c := p.Place(prompt(1, 2), list, facts, start); c.Endpoint == list[1] || c.FetchFrom != SourceOf(list[1]) {
		t.Fatalf("placed on %s, fetch from %q; want another engine that fetches from it", c.Endpoint.ID, c.FetchFrom)
	}
}

// Guards against using events that came before a restart of the source, or under another salt.
func TestRestartOrOtherSaltDiscardsCacheEvents(t *testing.T) {
	p := New()
	list := engines(2)
	p.ApplyCacheEvents("store", 1, false, storedEvents(2))
	r := prompt(1, 2)
	r.Salt = func(int64) string { return "other" }
	if c := p.Place(r, list, facts, start); c.FetchFrom != "" {
		t.Fatal("parts of another salt were fetched")
	}
	p.ApplyCacheEvents("store", 2, false, nil)
	if c := p.Place(prompt(1, 2), list, facts, start); c.FetchFrom != "" {
		t.Fatal("parts that the store reported before its restart were fetched")
	}
}

// Guards against uneven placement over idle engines of equal speed.
func TestLoadSpreadsOverEngines(t *testing.T) {
	p := New()
	list := engines(4)
	counts := map[string]int{}
	for i := range uint64(40) {
		r := prompt(i+1, 2)
		r.Chain = nil
		c := p.Place(r, list, facts, start)
		p.RecordSend(r, c, start)
		counts[c.Endpoint.ID]++
	}
	for _, e := range list {
		if counts[e.ID] != 10 {
			t.Fatalf("spread %v, want 10 on each", counts)
		}
	}
}

// Guards against new work for an engine that drains while another is available, and against refusing work when it is
// the only engine.
func TestDrainingEngineGetsNoNewWork(t *testing.T) {
	p := New()
	list := engines(2)
	p.ApplyCacheEvents(SourceOf(list[0]), 1, false, storedEvents(2))
	p.SetLoading([]string{"e0"})
	if c := p.Place(prompt(1, 2), list, facts, start); c.Endpoint != list[1] {
		t.Fatal("an engine that drains gets new work")
	}
	if c := p.Place(prompt(1, 2), list[:1], facts, start); c.Endpoint != list[0] {
		t.Fatal("the only engine is not used")
	}
}

// Guards against choosing an endpoint that was just unreachable, however busy the other is, and against never trying it
// again.
func TestUnreachableEndpointIsTriedAgain(t *testing.T) {
	p := New()
	list := engines(2)
	r := &Request{ID: 1}
	c := Choice{Endpoint: list[0]}
	p.RecordSend(r, c, start)
	p.RecordOutcome(1, Unreachable, start)
	if got := p.Place(&Request{ID: 2}, list, facts, start); got.Endpoint != list[1] {
		t.Fatal("an endpoint that was just unreachable is chosen")
	}
	p.SetPeerLoads("peer", map[string]Load{"e1": {Running: 500}})
	if got := p.Place(&Request{ID: 2}, list, facts, start); got.Endpoint != list[1] {
		t.Fatal("an endpoint that was just unreachable is chosen because the other is busy")
	}
	if got := p.Place(&Request{ID: 2}, list[:1], facts, start); got.Endpoint == nil {
		t.Fatal("the only endpoint is refused")
	}
	later := start.Add(time.Minute)
	if got := p.Place(&Request{ID: 2}, list, facts, later); got.Endpoint != list[0] {
		t.Fatal("an endpoint is still excluded after a minute")
	}
}

// Guards against an endpoint in trouble that keeps getting requests because it answers, though with nothing that is an answer.
func TestMalformedAnswersTakeAnEndpointOut(t *testing.T) {
	p := New()
	list := engines(2)
	for i := range ejectAfter {
		r := prompt(uint64(i+1), 2)
		c := p.Place(r, list[:1], facts, start)
		p.RecordSend(r, c, start)
		p.RecordOutcome(r.ID, Malformed, start)
		if out := p.stateOf(list[0]).ejectUntil.After(start); out != (i+1 == ejectAfter) {
			t.Errorf("out of use %v after %d malformed answers", out, i+1)
		}
	}
	if got := p.Place(prompt(100, 2), list, facts, start); got.Endpoint != list[1] {
		t.Error("the endpoint in trouble is chosen")
	}
}

// Guards against leaked loads: every load that was added is taken off, whatever the outcome.
func TestLoadsReturnToZero(t *testing.T) {
	p := New()
	list := engines(1)
	for i, outcome := range []Outcome{Answered, Failed, Broken, Unreachable, Full, Neutral, TimedOut, Malformed, ConnectionRefused} {
		r := prompt(uint64(i+1), 2)
		c := p.Place(r, list, facts, start)
		p.RecordSend(r, c, start)
		if outcome == Answered {
			p.RecordFirstToken(r.ID, start)
		}
		p.RecordOutcome(r.ID, outcome, start)
		p.RecordOutcome(r.ID, outcome, start)
	}
	if got := p.stateOf(list[0]).load; got != (Load{}) {
		t.Fatalf("load %+v remains after all attempts ended", got)
	}
	if len(p.OwnLoads()) != 0 || len(p.attempts) != 0 {
		t.Fatal("requests remain after all attempts ended")
	}
}

// Guards against VMs with different views of the load spreading a subject over engines, which costs a transfer and
// memory for another copy each time.
func TestSubjectStaysHomeUnderLightLoad(t *testing.T) {
	list := engines(4)
	place := func(busy int) string {
		p := New()
		p.ApplyCacheEvents("store", 1, false, storedEvents(2))
		loads := map[string]Load{}
		for i, e := range list {
			if i != busy {
				continue
			}
			loads[e.ID] = Load{Running: 4, PendingPrefill: 3000, Memory: 28_000}
		}
		p.SetPeerLoads("peer", loads)
		return p.Place(prompt(1, 2), list, facts, start).Endpoint.ID
	}
	home := place(-1)
	for busy := range list {
		if got := place(busy); got != home {
			t.Errorf("placed on %s instead of %s, with some work on e%d", got, home, busy)
		}
	}
}

// Guards against a home engine that gets all requests of its subjects, however busy it is.
func TestSubjectLeavesItsBusyHome(t *testing.T) {
	list := engines(4)
	p := New()
	p.ApplyCacheEvents("store", 1, false, storedEvents(2))
	home := p.Place(prompt(1, 2), list, facts, start).Endpoint.ID
	p.SetPeerLoads("peer", map[string]Load{home: {Running: 10, PendingPrefill: 40_000, Memory: 70_000}})
	if got := p.Place(prompt(1, 2), list, facts, start).Endpoint.ID; got == home {
		t.Error("placed on its home engine despite an expected wait of half a second")
	}
}

// Guards against VMs of a large system computing and saving again parts that a peer has sent, since each VM watches the
// events of few engines.
func TestPartsSentByPeersCountAsHeld(t *testing.T) {
	list := engines(4)
	sender, other := New(), New()
	r := prompt(1, 2)
	first := sender.Place(r, list, facts, start)
	if first.SaveTo != "store" {
		t.Fatal("parts that no source holds are not saved to the store")
	}
	sender.RecordSend(r, first, start)
	for _, placed := range sender.TakeSentParts() {
		other.RecordPeerSentParts(placed, start)
	}
	if again := sender.TakeSentParts(); len(again) != 0 {
		t.Errorf("sent parts are returned twice: %v", again)
	}

	at := start.Add(100 * time.Millisecond)
	c := other.Place(prompt(2, 2), list, facts, at)
	if c.Endpoint != first.Endpoint || c.UncachedTokens != 1000 || c.SaveTo != "" {
		t.Errorf("placed on %s with %d uncached tokens, saves to %q; want the engine that got the parts, 1000 and none", c.Endpoint.ID, c.UncachedTokens, c.SaveTo)
	}
	elsewhere := []*fleet.Endpoint{}
	for _, e := range list {
		if e != first.Endpoint {
			elsewhere = append(elsewhere, e)
		}
	}
	if c := other.Place(prompt(3, 2), elsewhere, facts, at); c.FetchFrom != "" {
		t.Errorf("fetches from %s parts that are still being computed", c.FetchFrom)
	}
	if c := other.Place(prompt(3, 2), elsewhere, facts, start.Add(time.Second)); c.FetchFrom != "store" || c.UncachedTokens != 1000 {
		t.Errorf("fetches from %q, %d uncached tokens; want the store and 1000", c.FetchFrom, c.UncachedTokens)
	}
	if c := other.Place(prompt(3, 2), list, facts, start.Add(20*time.Second)); c.FetchFrom != "" || c.SaveTo != "store" {
		t.Errorf("counts sends of 20 s ago as held: fetches from %q", c.FetchFrom)
	}
}

// Guards against parts of a subject in constant demand never becoming fetchable because they are sent again and again.
func TestPartsOfBusySubjectsCanBeFetched(t *testing.T) {
	list := engines(2)
	sender, other := New(), New()
	alone := facts
	alone.Store = ""
	for i := range 10 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		r := prompt(uint64(i), 2)
		sender.RecordSend(r, sender.Place(r, list[:1], alone, now), now)
		for _, placed := range sender.TakeSentParts() {
			other.RecordPeerSentParts(placed, now)
		}
	}
	retry := prompt(20, 2)
	retry.Exclude = []string{list[0].ID}
	if c := other.Place(retry, list, alone, start.Add(2*time.Second)); c.FetchFrom != SourceOf(list[0]) {
		t.Errorf("fetches from %q", c.FetchFrom)
	}
}

// Guards against confusing parts of different weight versions or isolated workspaces in the sends that peers report.
func TestPartsSentByPeersKeepSalts(t *testing.T) {
	list := engines(1)
	sender, other := New(), New()
	r := prompt(1, 2)
	sender.RecordSend(r, sender.Place(r, list, facts, start), start)
	for _, placed := range sender.TakeSentParts() {
		other.RecordPeerSentParts(placed, start)
	}
	walled := prompt(2, 2)
	walled.Salt = func(version int64) string { return fmt.Sprint(version, " isolated") }
	if c := other.Place(walled, list, facts, start); c.UncachedTokens != 7000 {
		t.Errorf("%d of 7000 tokens uncached under another salt, want all", c.UncachedTokens)
	}
}

// Guards against parts counting as held by a cache store long after newer parts evicted them, so that they are neither
// fetched from where they are nor saved again.
func TestFullCacheStoreEvictsParts(t *testing.T) {
	f := facts
	f.Store, f.StoreTokens = "store", 200_000
	saves := func(subjects uint64) *Placer {
		p := New()
		// One subject each 10 ms, of 5,000 shared tokens.
		for i := range subjects {
			at := start.Add(time.Duration(i) * 10 * time.Millisecond)
			p.cache.recordPart(f.Store, partKey(i), 5_000, at)
		}
		return p
	}
	if kept := saves(1).cache.storeTTL(f, start); kept != maxStoreTTL {
		t.Errorf("an empty store keeps a part for %v", kept)
	}
	now := start.Add(3 * time.Second)
	if kept := saves(300).cache.storeTTL(f, now); kept > 3*time.Second || kept < minStoreTTL {
		t.Errorf("a store of 200,000 tokens with an inflow of 500,000 per second keeps a part for %v", kept)
	}
	f.StoreTokens = 0
	if kept := saves(300).cache.storeTTL(f, now); kept != maxStoreTTL {
		t.Errorf("a store of unknown size keeps a part for %v", kept)
	}
}
