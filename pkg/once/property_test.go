package once

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
	"pgregory.net/rapid"
)

// Short times let windows end and the log drop records within one run. The window of plain keys exceeds the
// retention, so their entries survive only if they are carried over.
const (
	simRetention  = 60 * time.Second
	simWindow     = 150 * time.Second
	simStep       = 5 * time.Second
	simSendWithin = 8 * time.Second
)

// simulation runs several tables against one log with the actions of spec/intents.pml and a clock.
type simulation struct {
	t   *rapid.T
	now time.Time
	// log holds the records of the only stream by offset, appendedAt the time at which each was appended.
	log        [][]byte
	appendedAt []time.Time
	// oldestOffset is the oldest offset that the log still holds.
	oldestOffset int64
	inFlight     []Record
	vms          []*simVM
	attempts     []*attempt
	restarts     int
}

type simVM struct {
	name        string
	incarnation string
	table       *Table
}

// attempt is one request with what was sent and which outcomes were reported to its caller.
type attempt struct {
	vm          *simVM
	incarnation string
	req         Request
	at          time.Time
	selected    bool
	sent        bool
	notRun      bool
	ended       bool
	result      *Result
}

func (s *simulation) settings(vm *simVM) Settings {
	return Settings{
		VM: vm.name, Incarnation: vm.incarnation, Retention: simRetention, Window: simWindow,
		SendWithin: simSendWithin, Margin: 16 * time.Second,
	}
}

// startVM starts a VM with an empty table and a new incarnation.
func (s *simulation) startVM(vm *simVM) {
	s.restarts++
	vm.incarnation = fmt.Sprintf("%s-%d", vm.name, s.restarts)
	vm.table = NewTable(s.settings(vm))
}

// appendRecord adds a record to the log.
func (s *simulation) appendRecord(r *Record) {
	s.log = append(s.log, r.Encode())
	s.appendedAt = append(s.appendedAt, s.now)
}

// read applies at most n records.
func (s *simulation) read(vm *simVM, n int) {
	from := max(vm.table.NextOffset(simStream), s.oldestOffset)
	for offset := from; offset < int64(len(s.log)) && offset < from+int64(n); offset++ {
		if a := vm.table.Apply(simStream, offset, s.log[offset], s.now); a.Err != nil {
			s.t.Fatalf("offset %d: %v", offset, a.Err)
		}
	}
}

// advanceOneStep advances the clock by up to simStep.
func (s *simulation) advanceOneStep() {
	steps := []time.Duration{time.Millisecond, time.Second, 2 * time.Second, simStep}
	s.advance(rapid.SampledFrom(steps).Draw(s.t, "step"))
}

// advanceManySteps advances the clock by 20 s to 155 s, which is just beyond the window.
func (s *simulation) advanceManySteps() {
	for range rapid.SampledFrom([]int{4, 8, 16, 31}).Draw(s.t, "steps") {
		s.advance(simStep)
	}
}

// advance moves the clock. One VM reads the whole log and carries entries over; then the log drops expired records.
func (s *simulation) advance(step time.Duration) {
	s.now = s.now.Add(step)
	vm := s.drawVM()
	s.read(vm, len(s.log))
	for _, r := range vm.table.CarryOver(s.now) {
		s.appendRecord(&r)
	}
	for int(s.oldestOffset) < len(s.appendedAt) && s.now.Sub(s.appendedAt[s.oldestOffset]) > simRetention {
		s.oldestOffset++
	}
}

// drawVM draws one of the VMs.
func (s *simulation) drawVM() *simVM {
	return rapid.SampledFrom(s.vms).Draw(s.t, "vm")
}

// begin starts a request on some VM.
func (s *simulation) begin() {
	vm := s.drawVM()
	a := &attempt{vm: vm, incarnation: vm.incarnation, at: s.now}
	a.req = Request{Workspace: "w", Key: rapid.SampledFrom(simKeys).Draw(s.t, "key")}
	a.req.Digest = rapid.SampledFrom([]string{"d", "d", "d", "e"}).Draw(s.t, "digest")
	a.req.Nonce = fmt.Sprintf("n%d", len(s.attempts))
	s.attempts = append(s.attempts, a)
	d, records := vm.table.Begin(a.req, s.now)
	s.inFlight = append(s.inFlight, records...)
	s.execute(a, d)
}

// drawAttempt draws an attempt that has not ended and whose process still runs, or returns nil.
func (s *simulation) drawAttempt(selected bool) *attempt {
	var attempts []*attempt
	for _, a := range s.attempts {
		if a.incarnation == a.vm.incarnation && !a.ended && a.selected == selected {
			attempts = append(attempts, a)
		}
	}
	if len(attempts) == 0 {
		return nil
	}
	return rapid.SampledFrom(attempts).Draw(s.t, "attempt")
}

// decide reads some records and decides an undecided attempt.
func (s *simulation) decide() {
	if a := s.drawAttempt(false); a != nil {
		s.read(a.vm, rapid.IntRange(0, 3).Draw(s.t, "records"))
		s.execute(a, a.vm.table.Decide(a.req.Nonce, s.now))
	}
}

// execute carries out a decision and checks that it is correct.
func (s *simulation) execute(a *attempt, d Decision) {
	switch d.Action {
	case Send:
		a.selected = true
		if s.now.Sub(a.at) > simSendWithin {
			s.t.Fatalf("%s is to be sent %v after it was accepted", a.req.Nonce, s.now.Sub(a.at))
		}
	case AskHolder:
		s.askHolder(a, d.Holder)
	case Answer:
		a.ended = true
		s.checkAnswer(a, d.Result)
	case Refuse:
		a.ended = true
		s.checkRefusal(a, d.Refusal)
	}
}

// askHolder passes the holder's status, or that the holder is unreachable, to the attempt's table.
func (s *simulation) askHolder(a *attempt, h Holder) {
	status := StatusUnreachable
	if rapid.IntRange(0, 3).Draw(s.t, "reachable") > 0 {
		i := slices.IndexFunc(s.vms, func(vm *simVM) bool { return vm.name == h.VM })
		status = s.vms[i].table.Status(h.Nonce, h.Incarnation)
	}
	a.vm.table.RecordHolderStatus(a.req.Nonce, h, status)
}

// checkAnswer fails unless the result was recorded for the same key and digest.
func (s *simulation) checkAnswer(a *attempt, r *Result) {
	for _, other := range s.attempts {
		if other.sent && other.result != nil && other.result.Status == r.Status {
			if other.req.Key != a.req.Key || other.req.Digest != a.req.Digest {
				s.t.Fatalf("%s got the result of %s", a.req.Nonce, other.req.Nonce)
			}
			return
		}
	}
	s.t.Fatalf("%s got a result that nobody recorded", a.req.Nonce)
}

// checkRefusal fails if a refusal claims "not run" although the request ran as far as this VM can know.
func (s *simulation) checkRefusal(a *attempt, e *refusal.Error) {
	if e.RunState != refusal.NotRun {
		return
	}
	if a.sent {
		s.t.Fatalf("%s was sent and refused as not run: %v", a.req.Nonce, e)
	}
	a.notRun = true
	if e.Code == refusal.CodeKeyExpired {
		s.t.Fatalf("%s: an old key may have run, but the refusal says not run: %v", a.req.Nonce, e)
	}
	if e.Code == refusal.CodeKeyReused {
		return
	}
	window := simWindow
	if a.req.Key == simUUIDv7Key {
		window = simRetention / 2
	}
	for _, other := range s.attempts {
		sentHere := other.sent && other.vm == a.vm && other.incarnation == a.incarnation
		if sentHere && other.req.Key == a.req.Key && other.req.Digest == a.req.Digest && s.now.Sub(other.at) <= window {
			s.t.Fatalf("%s refused as not run, %s of the same VM ran: %v", a.req.Nonce, other.req.Nonce, e)
		}
	}
}

// send sends a selected attempt, or abandons it, and fails if its key was sent before within the window.
func (s *simulation) send() {
	a := s.drawAttempt(true)
	if a == nil || a.sent {
		return
	}
	if !a.vm.table.MaySend(a.req.Nonce, s.now) || rapid.IntRange(0, 4).Draw(s.t, "unsent") == 0 {
		a.ended = true
		a.notRun = true
		s.inFlight = append(s.inFlight, a.vm.table.AbandonUnsent(a.req.Nonce, s.now)...)
		return
	}
	a.sent = true
	if a.notRun {
		s.t.Fatalf("%s sent after it was refused as not run", a.req.Nonce)
	}
	for _, other := range s.attempts {
		if other == a || !other.sent || other.req.Key != a.req.Key {
			continue
		}
		// A UUIDv7 key is refused once it is older than the window, so it is never sent twice.
		if a.req.Key == simUUIDv7Key || a.at.Sub(other.at) <= simWindow {
			s.t.Fatalf("%s and %s of key %s were both sent", other.req.Nonce, a.req.Nonce, a.req.Key)
		}
	}
}

// finish records the result of a sent attempt.
func (s *simulation) finish() {
	a := s.drawAttempt(true)
	if a == nil || !a.sent {
		return
	}
	a.ended = true
	a.result = &Result{Status: 1000 + slices.Index(s.attempts, a)}
	s.inFlight = append(s.inFlight, a.vm.table.Finish(a.req.Nonce, *a.result, s.now)...)
}

// abandon abandons an undecided attempt.
func (s *simulation) abandon() {
	a := s.drawAttempt(false)
	if a == nil {
		return
	}
	a.ended = true
	records, state := a.vm.table.Abandon(a.req.Nonce, s.now)
	s.inFlight = append(s.inFlight, records...)
	s.checkRefusal(a, errAbandoned().WithRunState(state))
}

// decideEnded decides every attempt that has ended, as a router with a stale wake-up does.
func (s *simulation) decideEnded() {
	for _, a := range s.attempts {
		if !a.ended || a.incarnation != a.vm.incarnation {
			continue
		}
		d := a.vm.table.Decide(a.req.Nonce, s.now)
		if d.Action == Send {
			s.t.Fatalf("%s is to be sent after it ended", a.req.Nonce)
		}
		if a.sent && d.Action == Refuse && d.Refusal.RunState == refusal.NotRun {
			s.t.Fatalf("%s was sent and refused as not run: %v", a.req.Nonce, d.Refusal)
		}
	}
}

// deliverInFlight appends, duplicates or drops a record in flight.
func (s *simulation) deliverInFlight() {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "record")
	fate := rapid.IntRange(0, 9).Draw(s.t, "fate")
	if fate > 0 {
		s.appendRecord(&s.inFlight[i])
	}
	if fate < 8 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}

// reappendUnconfirmed puts the unconfirmed records of some VM in flight again.
func (s *simulation) reappendUnconfirmed() {
	s.inFlight = append(s.inFlight, s.drawVM().table.Unconfirmed(s.now)...)
}

// checkConvergence appends all unconfirmed records and checks that none is left unconfirmed and that a new VM replays
// the same entries.
func (s *simulation) checkConvergence() {
	for range 3 {
		s.now = s.now.Add(time.Second)
		for _, vm := range s.vms {
			for _, r := range vm.table.Unconfirmed(s.now) {
				s.appendRecord(&r)
			}
		}
		for _, vm := range s.vms {
			s.read(vm, len(s.log))
		}
	}
	fresh := &simVM{name: "fresh"}
	s.startVM(fresh)
	s.read(fresh, len(s.log))
	for _, vm := range s.vms {
		for nonce, r := range vm.table.unconfirmed {
			s.t.Fatalf("%s on %s is not confirmed: state %d", nonce, vm.name, r.state)
		}
		for id, e := range vm.table.entries {
			other := fresh.table.entries[id]
			if e.windowEndMs < millis(s.now) {
				continue
			}
			if !e.finished() {
				s.checkOpen(&e.intents[0])
				continue
			}
			if other == nil || !other.finished() || carriedFields(other) != carriedFields(e) {
				s.t.Fatalf("entry %+v of %s is replayed as %+v", e, vm.name, other)
			}
		}
	}
}

// checkOpen fails if an intent blocks its key although its running holder has abandoned it.
func (s *simulation) checkOpen(in *intent) {
	for _, a := range s.attempts {
		if a.req.Nonce == in.nonce && a.incarnation == a.vm.incarnation && a.ended && !a.sent {
			s.t.Fatalf("%s was abandoned and still blocks its key", in.nonce)
		}
	}
}

// carriedFields returns the intent of a finished entry without the fields that carrying over changes.
func carriedFields(e *entry) intent {
	in := e.intents[0]
	in.loggedMs = 0
	in.nextCarryMs = 0
	return in
}

// simUUIDv7Key is a UUIDv7 with the time of start.
const simUUIDv7Key = "01a3185c-5000-7000-8000-000000000000"

var (
	simStream = StreamOf("w", simUUIDv7Key)
	simKeys   = streamKeys(simUUIDv7Key)
)

// streamKeys returns the given key and a plain key of the same stream.
func streamKeys(key string) []string {
	for i := 0; ; i++ {
		plain := fmt.Sprintf("plain-%d", i)
		if StreamOf("w", plain) == StreamOf("w", key) {
			return []string{key, plain}
		}
	}
}

// Guards against a second send of a key within its window, false claims that a request did not run, wrong or lost
// results, and voids that are never confirmed.
func TestAtMostOneSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: start}
		for _, name := range []string{"a", "b", "c"} {
			vm := &simVM{name: name}
			s.startVM(vm)
			s.vms = append(s.vms, vm)
		}
		actions := []func(){
			s.begin, s.begin, s.deliverInFlight, s.deliverInFlight, s.deliverInFlight, s.decide, s.decide, s.decide, s.decide,
			s.send, s.send, s.finish, s.abandon, s.reappendUnconfirmed, s.decideEnded,
			s.advanceOneStep, s.advanceOneStep, s.advanceManySteps,
			func() { s.startVM(s.drawVM()) },
		}
		for range rapid.IntRange(100, 300).Draw(t, "actions") {
			rapid.SampledFrom(actions).Draw(t, "action")()
		}
		s.checkConvergence()
	})
}
