package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// crashesBeforeLimit is the number of endpoints that a part may crash before requests with it must stop, and
	// lateSendsAllowed the number of such requests that may still be sent later than stopLimitSmall or stopLimitLarge after
	// the last of these crashes.
	crashesBeforeLimit = 5
	lateSendsAllowed   = 3
	stopLimitSmall     = 3 * time.Second
	stopLimitLarge     = 4 * time.Second
	// simEngineDowntime is the time after which a crashed engine is back.
	simEngineDowntime = 2 * time.Second
	// simCommonPart is the first part of all sound prompts.
	simCommonPart = 0xa1
	// simGuiltyPart is the first of the parts that crash engines.
	simGuiltyPart = 0xdead0000
)

// Guards against a guilty part that goes on crashing engines, and against sound requests that are refused for it, at any size
// of the system and while VMs restart, join, are cut off or lose digests.
func TestGuiltyPartsAreFoundAtEachSize(t *testing.T) {
	const (
		burning     = 10 * time.Second
		longPrompts = "prompts of hundreds of parts"
	)
	scenarios := map[string]struct {
		parts   int
		rate    float64
		disturb func(s *crashSimulation)
	}{
		"calm":                       {1, 8, func(s *crashSimulation) { s.advance(burning) }},
		"rare":                       {1, 0.7, func(s *crashSimulation) { s.advance(3 * burning) }},
		"burst":                      {1, 60, func(s *crashSimulation) { s.advance(burning) }},
		"three parts":                {3, 12, func(s *crashSimulation) { s.advance(burning) }},
		"every fifth digest is lost": {1, 8, func(s *crashSimulation) { s.lossPercent = 20; s.advance(burning) }},
		"VMs restart one after the other": {1, 8, func(s *crashSimulation) {
			for i := range 12 {
				s.restart(s.vms[i%len(s.vms)])
				s.advance(burning / 12)
			}
		}},
		"VMs join": {1, 8, func(s *crashSimulation) {
			for range 4 {
				s.startedAt[s.add()] = s.now
				s.advance(burning / 4)
			}
		}},
		longPrompts: {1, 8, func(s *crashSimulation) { s.oddParts = 300; s.advance(burning) }},
		"all VMs restart": {1, 8, func(s *crashSimulation) {
			s.advance(burning / 2)
			for _, vm := range s.vms {
				s.restart(vm)
			}
			s.advance(burning / 2)
		}},
	}
	for name, c := range scenarios {
		for _, count := range sizes(t) {
			if name == longPrompts && count == defaultLargeSize {
				// It takes most of the time of the package there; the sizes of large deployments are given by hand.
				continue
			}
			t.Run(fmt.Sprint(name, "/", count), func(t *testing.T) {
				t.Parallel()
				var total soundCount
				for n := range repetitions(count) {
					s := simulateCrashes(t, count, n)
					for i := range c.parts {
						s.guiltyParts = append(s.guiltyParts, simGuiltyPart+uint64(i))
					}
					s.guiltyRate = c.rate
					s.sound = soundCount{}
					c.disturb(s)
					s.requireStopped()
					total.add(s.sound)
					s.guiltyRate = 0
					s.requireNoneRefusedForGood()
				}
				total.requireServed(t)
			})
		}
	}
}

// Guards against rare parts that are refused for good because many engines crashed for another reason while they ran them.
func TestUnrelatedCrashesRefuseNoPartForGood(t *testing.T) {
	for _, count := range sizes(t) {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			var total soundCount
			for n := range repetitions(count) {
				s := simulateCrashes(t, count, n)
				s.sound = soundCount{}
				for range 4 {
					for i, e := range s.engines {
						if i%3 != 0 && !s.now.Before(e.startsAt) {
							s.crash(e, &simRequest{})
						}
					}
					s.advance(simEngineDowntime + 500*time.Millisecond)
				}
				total.add(s.sound)
				s.requireNoneRefusedForGood()
			}
			total.requireServed(t)
		})
	}
}

// firstProbeWait is a time after which the first probes of refused parts have been sent.
const firstProbeWait = 6 * time.Second

// Guards against the refusal of a part that rode along with others in crashes, while the part that caused them is known.
func TestCrashesUnderARefusedPartDoNotCountForOthers(t *testing.T) {
	g := newTestGateway(0)
	now := steady.Now()
	guilty, innocent := crashguard.PartFingerprint(0xdead), crashguard.PartFingerprint(0xb1)
	record := func(endpoint string, parts ...uint64) {
		for _, part := range parts {
			g.recordOwnCrash(crashguard.Crash{Fingerprint: part, Endpoint: endpoint}, now)
		}
	}
	record("a/1", guilty, innocent)
	record("b/1", guilty, innocent)
	record("c/1", innocent)
	if !g.crashes.IsRefused(innocent) {
		t.Fatal("a part with three crashes is not refused while no other explains them")
	}
	record("c/1", guilty)
	record("d/1", guilty)
	if !g.crashes.IsRefused(guilty) || g.crashes.IsRefused(innocent) {
		t.Errorf("guilty refused %v, innocent refused %v", g.crashes.IsRefused(guilty), g.crashes.IsRefused(innocent))
	}
}

// Guards against accusing the last part of a prompt, which belongs to one request, against a prompt of one part that accuses
// it, and against prompts of hundreds of parts or of one part many times, which would fill the tally.
func TestAccusedPartsOfOddPrompts(t *testing.T) {
	long := make([]place.Part, 500)
	for i := range long {
		long[i].ID = uint64(i + 1)
	}
	for _, c := range []struct {
		name  string
		chain []place.Part
		want  int
	}{
		{"no prompt", nil, 0},
		{"one part", []place.Part{{ID: 1}}, 0},
		{"two parts", []place.Part{{ID: 1}, {ID: 2}}, 1},
		{"one part many times", []place.Part{{ID: 1}, {ID: 1}, {ID: 1}, {ID: 2}}, 1},
		{"hundreds of parts", long, len(long) - 1},
		{"thousands of parts", slices.Repeat(long, 10), len(long)},
	} {
		got := partFingerprints(c.chain)
		if len(got) != c.want {
			t.Errorf("%s: %d parts accused, want %d", c.name, len(got), c.want)
		}
		for _, fingerprint := range got {
			if c.name != "thousands of parts" && len(c.chain) > 1 && fingerprint == crashguard.PartFingerprint(c.chain[len(c.chain)-1].ID) {
				t.Errorf("%s: the last part is accused", c.name)
			}
		}
	}
	g := newTestGateway(0)
	r := &request{fingerprints: append([]uint64{1, 2}, partFingerprints(long)...)}
	known := crashguard.PartFingerprint(77)
	g.recordOwnCrash(crashguard.Crash{Fingerprint: known, Endpoint: "a/1"}, steady.Now())
	accused := map[uint64]bool{}
	const turns = 4
	for range turns {
		got := g.accuser.Accused(r.fingerprints, false)
		if got[0] != 1 || got[1] != 2 || !slices.Contains(got, known) {
			t.Errorf("accused %x...; want the request, and the part that is accused already", got[:3])
		}
		if len(got) > 2*crashguard.MaxAccusedParts {
			t.Errorf("%d fingerprints accused at once", len(got))
		}
		for _, fingerprint := range got {
			accused[fingerprint] = true
		}
	}
	if len(accused) != len(r.fingerprints) {
		t.Errorf("%d of %d fingerprints accused after %d crashes", len(accused), len(r.fingerprints), turns)
	}
}

// Guards against first crashes on several VMs that all accuse the same parts of a long prompt, so that a guilty part is
// accused by none of them: with seed 43 it was not accused by the first 13 crashes.
func TestVMsAccuseDifferentPartsOfLongPrompts(t *testing.T) {
	long := make([]place.Part, 300)
	for i := range long {
		long[i].ID = uint64(i + 1)
	}
	r := &request{fingerprints: partFingerprints(long)}
	accused := map[uint64]bool{}
	for _, vm := range simulate(t, 30).vms {
		for _, fingerprint := range vm.gateway.accuser.Accused(r.fingerprints, false) {
			accused[fingerprint] = true
		}
	}
	if len(accused) != len(r.fingerprints) {
		t.Errorf("the first crashes on 30 VMs accuse %d of %d parts", len(accused), len(r.fingerprints))
	}
}

// Guards against an innocent part that stays refused because nothing with it is sent any more, and against a guilty one that
// is tried again and again.
func TestRefusedPartIsProbed(t *testing.T) {
	g := newTestGateway(0)
	now := steady.Now()
	part := crashguard.PartFingerprint(0xb1)
	for _, endpoint := range []string{"a/1", "b/1", "c/1"} {
		g.recordOwnCrash(crashguard.Crash{Fingerprint: part, Endpoint: endpoint}, now)
	}
	newRequest := func(id uint64) *request {
		return &request{id: id, fingerprints: []uint64{id, part}, call: Call{Chain: []place.Part{{ID: 0xb1}, {ID: id}}}}
	}
	sent := func(r *request) bool {
		after, refuse := g.crashSuspicion(r, now)
		if refuse && after <= 0 {
			t.Error("refused without a time to come back")
		}
		return !refuse
	}
	probe := &target{choice: place.Choice{Endpoint: &fleet.Endpoint{ID: "d", StartTimeMs: 1}}}
	if sent(newRequest(1)) {
		t.Fatal("sent right after the third crash")
	}
	now = now.Add(firstProbeWait)
	first := newRequest(2)
	if !sent(first) {
		t.Fatal("no probe is sent")
	}
	g.startProbes(first, probe)
	if sent(newRequest(3)) {
		t.Fatal("a second probe is sent beside the first")
	}
	g.recordCrashEvidence(first, probe, attemptResult{outcome: place.Broken}, now, now)
	if sent(newRequest(4)) {
		t.Fatal("sent right after the crash of a probe")
	}
	now = now.Add(time.Minute)
	second := newRequest(5)
	if !sent(second) {
		t.Fatal("no second probe is sent")
	}
	probe.choice.Endpoint = &fleet.Endpoint{ID: "e", StartTimeMs: 1}
	g.startProbes(second, probe)
	g.recordCrashEvidence(second, probe, attemptResult{outcome: place.Broken}, now, now)
	now = now.Add(time.Minute)
	if sent(newRequest(6)) {
		t.Fatal("a part that crashed five endpoints is tried again")
	}
	g.clearCrashes(part, now)
	if !sent(newRequest(7)) {
		t.Fatal("a part that ran clean is still refused")
	}
}

// Guards against a system that serves nobody because a guilty part is in its traffic from the first request after a start:
// nothing was answered before it, so every part that sound and guilty requests share is accused, and since all requests are
// refused, none is cleared.
func TestGuiltyPartFromTheStartLeavesSoundRequestsServed(t *testing.T) {
	const (
		found    = 8 * time.Second
		observed = 8 * time.Second
		// rate is over twice that of sound requests, so that few are answered before the first crashes.
		rate = 60
	)
	for _, count := range []int{1, 7} {
		for name, disturb := range map[string]func(s *crashSimulation){
			"calm": func(*crashSimulation) {},
			"all VMs restart": func(s *crashSimulation) {
				for _, vm := range s.vms {
					s.restart(vm)
				}
			},
			"a VM joins": func(s *crashSimulation) { s.startedAt[s.add()] = s.now },
		} {
			t.Run(fmt.Sprint(name, "/", count), func(t *testing.T) {
				t.Parallel()
				var total soundCount
				for n := range repetitions(count) {
					s := newCrashSimulation(t, count, n)
					s.guiltyParts, s.guiltyRate = []uint64{simGuiltyPart}, rate
					s.advance(found / 2)
					disturb(s)
					s.advance(found / 2)
					s.sound = soundCount{}
					s.advance(observed)
					s.requireStopped()
					total.add(s.sound)
				}
				t.Logf("%d of %d sound requests were refused from %v to %v", total.refused, total.sent, found, found+observed)
				if total.refused > total.sent/2 {
					t.Errorf("%d of %d sound requests were refused", total.refused, total.sent)
				}
			})
		}
	}
}

// Guards against several engines that end in the same moment while they write answers, and whose streams share a part: the
// part is neither accused by them nor, since its answers had begun, by others that had not.
func TestBegunAnswersExcuseTheirParts(t *testing.T) {
	g := newTestGateway(0)
	now := steady.Now()
	part := crashguard.PartFingerprint(0xc0ffee)
	begun := &request{fingerprints: []uint64{1, part}}
	if got := g.accused(begun, &target{events: soundAnswerEvents}); slices.Contains(got, part) || !slices.Contains(got, 1) {
		t.Errorf("an engine that ends after it began an answer accuses %x, want the request only", got)
	}
	if got := g.accused(begun, &target{events: soundAnswerEvents - 1}); !slices.Contains(got, part) {
		t.Errorf("an engine that ends as it begins an answer accuses %x, want the part too", got)
	}
	g.clearPartsOf(begun, now)
	for i := range 5 {
		g.recordOwnCrash(crashguard.Crash{Fingerprint: part, Endpoint: fmt.Sprint("e", i)}, now.Add(cleanPartValidity))
	}
	if g.crashes.IsRefused(part) {
		t.Error("a part is refused although an answer with it has just begun")
	}
	for i := range 5 {
		g.recordOwnCrash(crashguard.Crash{Fingerprint: part, Endpoint: fmt.Sprint("f", i)}, now.Add(2*cleanPartValidity))
	}
	if !g.crashes.IsRefused(part) {
		t.Error("a part that crashes engines later is not refused")
	}
}
