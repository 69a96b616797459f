package gateway

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/place"
)

// simEngine is one engine over its restarts.
type simEngine struct {
	endpoint *fleet.Endpoint
	// startsAt is the end of the present downtime.
	startsAt time.Time
	running  []*simRequest
}

// simRequest is a request on its way.
type simRequest struct {
	vm      *simVM
	request *request
	target  *target
	sentAt  time.Time
	// endsAt is when the engine has answered, or crashes if guilty is not zero.
	endsAt time.Time
	guilty uint64
	// count counts the request if it is sound.
	count *soundCount
	// waitsUntil is the end of its wait for a turn.
	waitsUntil time.Time
}

// soundCount counts sound requests: all, those that are refused, and those that are broken off by crashes.
type soundCount struct {
	sent, refused, broken int
}

// add adds the counts of another run.
func (c *soundCount) add(other soundCount) {
	c.sent += other.sent
	c.refused += other.refused
	c.broken += other.broken
}

// requireServed fails if more than one in 50 sound requests was refused.
func (c *soundCount) requireServed(t *testing.T) {
	t.Helper()
	t.Logf("%d of %d sound requests were broken off, %d refused", c.broken, c.sent, c.refused)
	if c.refused > c.sent/50 {
		t.Errorf("%d of %d sound requests were refused", c.refused, c.sent)
	}
}

// repetitions returns how often a simulation is run. Small systems send too few requests in one run to tell the share that
// is refused.
func repetitions(vms int) int {
	if vms >= largeSystemVMs {
		return 1
	}
	return 5
}

// crashSimulation adds engines and requests to a simulation.
type crashSimulation struct {
	*simulation
	engines []*simEngine
	nextID  uint64
	// guiltyParts are the parts that crash engines, and rates of requests are per second over all VMs.
	guiltyParts           []uint64
	guiltyRate, soundRate float64
	// oddParts is the number of parts that no other request has, in each prompt.
	oddParts int
	// rareSubjects is the number of subjects that few sound requests have.
	rareSubjects int
	// crashes are the times of the crashes and sends those of the requests, by guilty part. Sends of VMs that started less
	// than simStabilityWindow before are left out, since no deployment counts them.
	crashes, sends map[uint64][]time.Time
	// startedAt are the times of the last starts of VMs that restarted or joined.
	startedAt map[*simVM]time.Time
	sound     soundCount
	// waiting are the requests that wait for a turn, in the order of their arrival.
	waiting []*simRequest
	// stored are the refusals and crashes that are kept in the platform's store.
	stored map[string][]byte
	// storeAway is set while the store answers nothing.
	storeAway bool
	// evidenceWrites counts the writes of crashes.
	evidenceWrites int
}

// simulateCrashes starts VMs and engines, which serve sound requests for a while.
func simulateCrashes(t *testing.T, vms, repetition int) *crashSimulation {
	t.Helper()
	s := newCrashSimulation(t, vms, repetition)
	s.advance(3 * time.Second)
	return s
}

// newCrashSimulation starts VMs and engines.
func newCrashSimulation(t *testing.T, vms, repetition int) *crashSimulation {
	t.Helper()
	s := &crashSimulation{
		simulation: simulateRepetition(t, vms, repetition), soundRate: max(24, float64(vms)*3), rareSubjects: 40 + 4*vms,
		crashes: map[uint64][]time.Time{}, sends: map[uint64][]time.Time{}, stored: map[string][]byte{}, startedAt: map[*simVM]time.Time{},
	}
	for _, vm := range s.vms {
		vm.gateway.evidence.Loaded()
	}
	for i := range max(9, vms*7/10) {
		s.engines = append(s.engines, &simEngine{endpoint: &fleet.Endpoint{ID: fmt.Sprint("e", i), StartTimeMs: 1}})
	}
	return s
}

// advance runs VMs, engines and callers for d.
func (s *crashSimulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.arrive(s.soundRate, func() { s.send(0) })
		for _, part := range s.guiltyParts {
			s.arrive(s.guiltyRate/float64(len(s.guiltyParts)), func() { s.send(part) })
		}
		s.stepWaiting()
		for _, e := range s.engines {
			s.stepEngine(e)
		}
		s.keepRefusals()
		s.run(simStep)
	}
}

// arrive calls send as often as requests arrive in one step at a rate.
func (s *crashSimulation) arrive(rate float64, send func()) {
	for expected := rate * simStep.Seconds(); expected > 0; expected-- {
		if s.rng.Float64() < expected {
			send()
		}
	}
}

// keepRefusals writes the refusals and crashes that are due to the store, which answers unless it is away.
func (s *crashSimulation) keepRefusals() {
	if s.storeAway {
		return
	}
	for _, vm := range s.vms {
		if vm.down {
			continue
		}
		vm.gateway.streams[OperatorStream].answeredAt = s.now
		for _, change := range vm.gateway.refusals.Begin(vm.gateway.timeOfDay(), s.now) {
			s.stored[crashRefusalPrefix+formatFingerprint(change.Fingerprint)] = change.Value
			vm.gateway.recordRefusalWrite(change, nil)
		}
		vm.gateway.refusals.End()
		if w, due := vm.gateway.evidenceToWrite(s.now); due {
			s.evidenceWrites++
			s.stored[crashEvidencePrefix+vm.gateway.settings.VM] = w.Value
			for _, left := range w.Removals {
				s.evidenceWrites++
				delete(s.stored, crashEvidencePrefix+left)
			}
			vm.gateway.recordEvidenceWrite(w, true)
		}
	}
}

// send sends a request with a guilty part, or a sound one if it is zero, through one of the running VMs.
func (s *crashSimulation) send(guilty uint64) {
	vm := s.vms[s.rng.IntN(len(s.vms))]
	if vm.down {
		return
	}
	s.nextID++
	subject := uint64(0xb0000) + uint64(s.rng.IntN(12))
	if s.rng.IntN(4) == 0 {
		subject = 0xc0000 + uint64(s.rng.IntN(s.rareSubjects))
	}
	chain := []place.Part{{ID: simCommonPart}, {ID: subject}}
	if guilty != 0 {
		chain[1].ID = guilty
	}
	for i := range s.oddParts + 1 {
		chain = append(chain, place.Part{ID: s.nextID<<16 + uint64(i)})
	}
	s.arriveAt(vm, chain, guilty, &s.sound)
}

// arriveAt has a request arrive at a VM, a sound one if guilty is zero. It is counted unless it is guilty.
func (s *crashSimulation) arriveAt(vm *simVM, chain []place.Part, guilty uint64, count *soundCount) {
	r := &request{id: s.nextID, call: Call{Chain: chain}}
	r.fingerprints = append([]uint64{s.nextID}, partFingerprints(chain)...)
	x := &simRequest{vm: vm, request: r, guilty: guilty, count: count, waitsUntil: s.now.Add(maxTurnWait)}
	if guilty == 0 {
		count.sent++
	}
	if s.waits(x) {
		s.waiting = append(s.waiting, x)
		return
	}
	s.dispatch(x)
}

// waits reports whether a request waits for a turn. It asks for one if it is due.
func (s *crashSimulation) waits(x *simRequest) bool {
	g := x.vm.gateway
	at, needed := g.turnNeeded(x.request, s.now)
	if !needed || at.After(x.waitsUntil) || !s.now.Before(x.waitsUntil) {
		return false
	}
	if s.now.Before(at) || g.reserveAsk(x.request, s.now) > 0 {
		return true
	}
	granted, after := s.askForTurn(g, partsOf(x.request.fingerprints))
	x.request.hasTurn = granted
	if !granted {
		g.deferAsk(x.request, s.now.Add(after))
	}
	return !granted
}

// askForTurn asks the VMs that give out turns for one.
func (s *crashSimulation) askForTurn(g *Gateway, parts []uint64) (granted bool, after time.Duration) {
	for _, giver := range g.turnGivers(s.now) {
		for _, vm := range s.vms {
			if vm.gateway.settings.VM == giver.vm && !vm.down {
				return vm.gateway.giveTurn(parts, s.now)
			}
		}
	}
	return g.giveTurn(parts, s.now)
}

// stepWaiting sends or refuses the requests that wait no more.
func (s *crashSimulation) stepWaiting() {
	waiting := s.waiting
	s.waiting = nil
	for _, x := range waiting {
		if x.vm.down {
			continue
		}
		if !s.waits(x) {
			s.dispatch(x)
			continue
		}
		s.waiting = append(s.waiting, x)
	}
}

// dispatch sends a request to an engine, or refuses it.
func (s *crashSimulation) dispatch(x *simRequest) {
	vm, r := x.vm, x.request
	_, refuse := vm.gateway.crashSuspicion(r, s.now)
	if x.guilty == 0 && refuse {
		x.count.refused++
	}
	e := s.idlestEngine()
	if refuse || e == nil {
		return
	}
	x.sentAt, x.target = s.now, &target{choice: place.Choice{Endpoint: e.endpoint}}
	x.endsAt = s.now.Add(100*time.Millisecond + time.Duration(s.rng.IntN(1000))*time.Millisecond)
	if x.guilty != 0 {
		x.endsAt = s.now.Add(100*time.Millisecond + time.Duration(s.rng.IntN(200))*time.Millisecond)
		if s.now.Sub(s.startedAt[vm]) >= simStabilityWindow {
			s.sends[x.guilty] = append(s.sends[x.guilty], s.now)
		}
	}
	vm.gateway.startProbes(r, x.target)
	e.running = append(e.running, x)
}

// idlestEngine returns one of the engines that run, with few requests, or nil.
func (s *crashSimulation) idlestEngine() *simEngine {
	var best *simEngine
	for range 6 {
		e := s.engines[s.rng.IntN(len(s.engines))]
		if s.now.Before(e.startsAt) {
			continue
		}
		if best == nil || len(e.running) < len(best.running) {
			best = e
		}
	}
	return best
}

// stepEngine answers the requests that are due on an engine, or ends it under a guilty one.
func (s *crashSimulation) stepEngine(e *simEngine) {
	left := e.running[:0:0]
	for _, x := range e.running {
		switch {
		case s.now.Before(x.endsAt):
			left = append(left, x)
		case x.guilty != 0:
			s.crash(e, x)
			return
		default:
			s.finish(x, place.Answered)
		}
	}
	e.running = left
}

// crash ends an engine under a request.
func (s *crashSimulation) crash(e *simEngine, cause *simRequest) {
	s.crashes[cause.guilty] = append(s.crashes[cause.guilty], s.now)
	s.endEngine(e)
}

// endEngine ends an engine with the requests that it runs.
func (s *crashSimulation) endEngine(e *simEngine) {
	for _, x := range e.running {
		if x.guilty == 0 {
			x.count.broken++
		}
		s.finish(x, place.Broken)
	}
	e.running = nil
	e.endpoint = &fleet.Endpoint{ID: e.endpoint.ID, StartTimeMs: e.endpoint.StartTimeMs + 1}
	e.startsAt = s.now.Add(simEngineDowntime)
}

// finish ends an attempt with an outcome.
func (s *crashSimulation) finish(x *simRequest, outcome place.Outcome) {
	if x.vm.down {
		return
	}
	x.vm.gateway.recordCrashEvidence(x.request, x.target, attemptResult{outcome: outcome}, x.sentAt, s.now)
}

// restart replaces a VM by a new process, which reads the refusals that are kept in the store.
func (s *crashSimulation) restart(vm *simVM) {
	s.startedAt[vm] = s.now
	old := vm.gateway
	vm.gateway = s.newGateway(old.settings, Platform{})
	for name, known := range sorted(old.vms) {
		vm.gateway.addVM(name, *known, s.now)
	}
	for key, value := range sorted(s.stored) {
		switch {
		case len(value) == 0:
		case strings.HasPrefix(key, crashEvidencePrefix):
			vm.gateway.restoreEvidence(Record{Key: key, Value: value})
		default:
			vm.gateway.restoreCrashRefusal(Record{Key: key, Value: value})
		}
	}
	vm.gateway.evidence.Loaded()
	for _, e := range s.engines {
		for _, x := range e.running {
			if x.vm == vm {
				// The requests of the old process end with it.
				x.vm = &simVM{down: true}
			}
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(x *simRequest) bool { return x.vm == vm })
}

// requireStopped fails unless each guilty part was sent rarely enough after its fifth crash.
func (s *crashSimulation) requireStopped() {
	s.t.Helper()
	limit := stopLimitSmall
	if len(s.vms) >= largeSystemVMs {
		limit = stopLimitLarge
	}
	all := 0
	for _, part := range s.guiltyParts {
		crashes := s.crashes[part]
		all += len(crashes)
		if len(crashes) == 0 {
			// It may have been refused for the crashes of another one.
			continue
		}
		if late := s.lateSends(part, limit); late > lateSendsAllowed {
			s.t.Errorf("part %x: %d of %d sends, with %d crashes, later than %v after its fifth crash, want at most %d",
				part, late, len(s.sends[part]), len(crashes), limit, lateSendsAllowed)
		}
	}
	if all < 2 {
		s.t.Errorf("%d crashes, want some", all)
	}
}

// lateSends returns the number of requests with a guilty part that were sent later than a time after its fifth crash.
func (s *crashSimulation) lateSends(part uint64, limit time.Duration) int {
	crashes := s.crashes[part]
	if len(crashes) < crashesBeforeLimit {
		return 0
	}
	bound, late := crashes[crashesBeforeLimit-1].Add(limit), 0
	for _, at := range s.sends[part] {
		if at.After(bound) {
			late++
		}
	}
	return late
}

// requireNoneRefusedForGood fails if a sound request is refused once all VMs may send probes of parts with four crashes,
// the most that parts which are not refused for good have.
func (s *crashSimulation) requireNoneRefusedForGood() {
	s.t.Helper()
	const (
		nextProbeWait = 20 * time.Second
		watched       = 8 * time.Second
	)
	step := probeStep
	if len(s.vms) >= largeSystemVMs {
		step = probeStepLarge
	}
	rate := s.soundRate
	s.soundRate = rate / 10
	s.advance(nextProbeWait + time.Duration(bits.Len(uint(len(s.vms))))*step)
	s.soundRate, s.sound.refused = rate, 0
	s.advance(watched)
	if s.sound.refused > 0 {
		s.t.Errorf("%d sound requests are refused long after the last crash", s.sound.refused)
	}
}
