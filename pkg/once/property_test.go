package once

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
	"pgregory.net/rapid"
)

// Short times, so that windows end and the log drops records within one run. The window of plain keys exceeds the
// retention, so their entries live on only if they are carried over.
const (
	simRetention = 60 * time.Second
	simWindow    = 150 * time.Second
	simStep      = 5 * time.Second
	simSend      = 8 * time.Second
)

// sim drives several tables against one log, with the actions of spec/intents.pml and with time.
type sim struct {
	t   *rapid.T
	now time.Time
	// log holds the records of the only stream by offset, landed the time at which each was taken.
	log    [][]byte
	landed []time.Time
	// first is the oldest offset that the log keeps.
	first    int64
	inFlight []Record
	vms      []*simVM
	attempts []*attempt
	restarts int
}

type simVM struct {
	name  string
	inc   string
	table *Table
}

// attempt is one request and what was done and claimed about it.
type attempt struct {
	vm       *simVM
	inc      string
	req      Request
	at       time.Time
	selected bool
	sent     bool
	notRun   bool
	ended    bool
	result   *Result
}

func (s *sim) settings(vm *simVM) Settings {
	return Settings{
		VM: vm.name, Incarnation: vm.inc, Retention: simRetention, Window: simWindow,
		SendWithin: simSend, Margin: 16 * time.Second,
	}
}

func (s *sim) start(vm *simVM) {
	s.restarts++
	vm.inc = fmt.Sprintf("%s-%d", vm.name, s.restarts)
	vm.table = NewTable(s.settings(vm))
}

func (s *sim) land(r *Record) {
	s.log = append(s.log, r.Encode())
	s.landed = append(s.landed, s.now)
}

// read applies at most n records.
func (s *sim) read(vm *simVM, n int) {
	from := max(vm.table.Next(simStream), s.first)
	for offset := from; offset < int64(len(s.log)) && offset < from+int64(n); offset++ {
		if a := vm.table.Apply(simStream, offset, s.log[offset], s.now); a.Err != nil {
			s.t.Fatalf("offset %d: %v", offset, a.Err)
		}
	}
}

// tick passes a little time.
func (s *sim) tick() {
	steps := []time.Duration{time.Millisecond, time.Second, 2 * time.Second, simStep}
	s.pass(rapid.SampledFrom(steps).Draw(s.t, "step"))
}

// pause passes a good part of the window.
func (s *sim) pause() {
	for range rapid.SampledFrom([]int{4, 8, 16, 31}).Draw(s.t, "steps") {
		s.pass(simStep)
	}
}

// pass advances the clock. Some VM is up to date and carries entries over; then the log drops expired records.
func (s *sim) pass(step time.Duration) {
	s.now = s.now.Add(step)
	vm := s.vm()
	s.read(vm, len(s.log))
	for _, r := range vm.table.Carry(s.now) {
		s.land(&r)
	}
	for int(s.first) < len(s.landed) && s.now.Sub(s.landed[s.first]) > simRetention {
		s.first++
	}
}

func (s *sim) vm() *simVM {
	return rapid.SampledFrom(s.vms).Draw(s.t, "vm")
}

func (s *sim) begin() {
	vm := s.vm()
	a := &attempt{vm: vm, inc: vm.inc, at: s.now}
	a.req = Request{Workspace: "w", Key: rapid.SampledFrom(simKeys).Draw(s.t, "key")}
	a.req.Digest = rapid.SampledFrom([]string{"d", "d", "d", "e"}).Draw(s.t, "digest")
	a.req.Nonce = fmt.Sprintf("n%d", len(s.attempts))
	s.attempts = append(s.attempts, a)
	d, records := vm.table.Begin(a.req, s.now)
	s.inFlight = append(s.inFlight, records...)
	s.follow(a, d)
}

// live draws an attempt whose process runs and whose caller waits.
func (s *sim) live(selected bool) *attempt {
	var live []*attempt
	for _, a := range s.attempts {
		if a.inc == a.vm.inc && !a.ended && a.selected == selected {
			live = append(live, a)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return rapid.SampledFrom(live).Draw(s.t, "attempt")
}

func (s *sim) decide() {
	if a := s.live(false); a != nil {
		s.read(a.vm, rapid.IntRange(0, 3).Draw(s.t, "records"))
		s.follow(a, a.vm.table.Decide(a.req.Nonce, s.now))
	}
}

// follow does what a decision says and checks that it is true.
func (s *sim) follow(a *attempt, d Decision) {
	switch d.Action {
	case Send:
		a.selected = true
		if s.now.Sub(a.at) > simSend {
			s.t.Fatalf("%s is handed out %v after it was accepted", a.req.Nonce, s.now.Sub(a.at))
		}
	case AskHolder:
		s.ask(a, d.Holder)
	case Answer:
		a.ended = true
		s.checkAnswer(a, d.Result)
	case Refuse:
		a.ended = true
		s.checkRefusal(a, d.Refusal)
	}
}

func (s *sim) ask(a *attempt, h Holder) {
	status := StatusUnreachable
	if rapid.IntRange(0, 3).Draw(s.t, "reachable") > 0 {
		i := slices.IndexFunc(s.vms, func(vm *simVM) bool { return vm.name == h.VM })
		status = s.vms[i].table.Status(h.Nonce, h.Incarnation)
	}
	a.vm.table.HolderReply(a.req.Nonce, h, status)
}

func (s *sim) checkAnswer(a *attempt, r *Result) {
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

func (s *sim) checkRefusal(a *attempt, e *refusal.Error) {
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
	if a.req.Key == simDatedKey {
		window = simRetention / 2
	}
	for _, other := range s.attempts {
		known := other.sent && other.vm == a.vm && other.inc == a.inc
		if known && other.req.Key == a.req.Key && other.req.Digest == a.req.Digest && s.now.Sub(other.at) <= window {
			s.t.Fatalf("%s refused as not run, %s of the same VM ran: %v", a.req.Nonce, other.req.Nonce, e)
		}
	}
}

func (s *sim) send() {
	a := s.live(true)
	if a == nil || a.sent {
		return
	}
	if !a.vm.table.MaySend(a.req.Nonce, s.now) || rapid.IntRange(0, 4).Draw(s.t, "unsent") == 0 {
		a.ended = true
		a.notRun = true
		s.inFlight = append(s.inFlight, a.vm.table.Unsent(a.req.Nonce, s.now)...)
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
		if a.req.Key == simDatedKey || a.at.Sub(other.at) <= simWindow {
			s.t.Fatalf("%s and %s of key %s were both sent", other.req.Nonce, a.req.Nonce, a.req.Key)
		}
	}
}

func (s *sim) finish() {
	a := s.live(true)
	if a == nil || !a.sent {
		return
	}
	a.ended = true
	a.result = &Result{Status: 1000 + slices.Index(s.attempts, a)}
	s.inFlight = append(s.inFlight, a.vm.table.Finish(a.req.Nonce, *a.result, s.now)...)
}

func (s *sim) abandon() {
	a := s.live(false)
	if a == nil {
		return
	}
	a.ended = true
	records, state := a.vm.table.Abandon(a.req.Nonce, s.now)
	s.inFlight = append(s.inFlight, records...)
	s.checkRefusal(a, errGivenUp().WithRunState(state))
}

// again decides an attempt that has ended, as a router with a stale wake-up does.
func (s *sim) again() {
	for _, a := range s.attempts {
		if !a.ended || a.inc != a.vm.inc {
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

// transit lands, copies or drops a record in flight.
func (s *sim) transit() {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "record")
	fate := rapid.IntRange(0, 9).Draw(s.t, "fate")
	if fate > 0 {
		s.land(&s.inFlight[i])
	}
	if fate < 8 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}

func (s *sim) repeat() {
	s.inFlight = append(s.inFlight, s.vm().table.Unconfirmed(s.now)...)
}

// settle lands everything and checks that nothing is left to repeat and that a new VM replays the same entries.
func (s *sim) settle() {
	for range 3 {
		s.now = s.now.Add(time.Second)
		for _, vm := range s.vms {
			for _, r := range vm.table.Unconfirmed(s.now) {
				s.land(&r)
			}
		}
		for _, vm := range s.vms {
			s.read(vm, len(s.log))
		}
	}
	fresh := &simVM{name: "fresh"}
	s.start(fresh)
	s.read(fresh, len(s.log))
	for _, vm := range s.vms {
		for nonce, r := range vm.table.unconfirmed {
			s.t.Fatalf("%s on %s is not confirmed: state %d", nonce, vm.name, r.state)
		}
		for id, e := range vm.table.entries {
			other := fresh.table.entries[id]
			if e.untilMs < millis(s.now) {
				continue
			}
			if !e.finished() {
				s.checkOpen(&e.intents[0])
				continue
			}
			if other == nil || !other.finished() || identity(other) != identity(e) {
				s.t.Fatalf("entry %+v of %s is replayed as %+v", e, vm.name, other)
			}
		}
	}
}

// checkOpen fails where an intent blocks its key although its holder gave it up and lives.
func (s *sim) checkOpen(in *intent) {
	for _, a := range s.attempts {
		if a.req.Nonce == in.nonce && a.inc == a.vm.inc && a.ended && !a.sent {
			s.t.Fatalf("%s was given up and still blocks its key", in.nonce)
		}
	}
}

// identity is what a carried entry keeps of a finished one.
func identity(e *entry) intent {
	in := e.intents[0]
	in.loggedMs = 0
	in.carryAfterMs = 0
	return in
}

// simDatedKey is a UUIDv7 of the time start.
const simDatedKey = "01a3185c-5000-7000-8000-000000000000"

var (
	simStream = StreamOf("w", simDatedKey)
	simKeys   = streamKeys(simDatedKey)
)

// streamKeys returns the given key and a plain one of the same stream.
func streamKeys(key string) []string {
	for i := 0; ; i++ {
		plain := fmt.Sprintf("plain-%d", i)
		if StreamOf("w", plain) == StreamOf("w", key) {
			return []string{key, plain}
		}
	}
}

// Guards against a second send of a key within its window, against false claims that a request did not run, against
// wrong or lost recorded results, and against voids that are never confirmed.
func TestAtMostOneSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{t: t, now: start}
		for _, name := range []string{"a", "b", "c"} {
			vm := &simVM{name: name}
			s.start(vm)
			s.vms = append(s.vms, vm)
		}
		actions := []func(){
			s.begin, s.begin, s.transit, s.transit, s.transit, s.decide, s.decide, s.decide, s.decide,
			s.send, s.send, s.finish, s.abandon, s.repeat, s.again, s.tick, s.tick, s.pause,
			func() { s.start(s.vm()) },
		}
		for range rapid.IntRange(100, 300).Draw(t, "actions") {
			rapid.SampledFrom(actions).Draw(t, "action")()
		}
		s.settle()
	})
}
