package failure

import (
	"net/http"
	"testing"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/lab/logservice"
	"github.com/corneldeal/corneldeal/lab/service"
)

func (d *deployment) book(v *deploy.VM, key string) result {
	return d.call(v, http.MethodPost, "/bookings/new", key, `{"machine":3}`)
}

// wantRuns fails unless the services ran the booking that often.
func (d *deployment) wantRuns(key string, want int64) {
	d.t.Helper()
	if got := d.runs(key); got != want {
		d.t.Errorf("booking %s ran %d times, want %d", key, got, want)
	}
}

// One key sent to several VMs at the same moment must run once, and every caller must get its answer.
func TestBookingRunsOnceWhenSentToAllVMs(t *testing.T) {
	d := start(t, shape{vms: 3, services: 2})
	for range 5 {
		key := newKey()
		results := make([]result, 6)
		many(len(results), func(i int) { results[i] = d.book(d.VMs[i%3], key) })
		for _, r := range results {
			if r.status != http.StatusOK || r.body != results[0].body {
				t.Errorf("not the recorded answer: %v", r)
			}
		}
		d.wantRuns(key, 1)
	}
}

// The log's replies are lost after the append took effect; the booking must still run exactly once.
func TestBookingRunsOnceWithLostReplies(t *testing.T) {
	d := start(t, shape{vms: 2, services: 1})
	d.log.SetFaults(logservice.Faults{LoseReply: true, Streams: "intent"})
	key := newKey()
	first := d.book(d.VMs[0], key)
	// The intent is read back, so the lost reply does not matter to the caller.
	if first.status != http.StatusOK {
		t.Errorf("the booking was not answered: %v", first)
	}
	d.log.SetFaults(logservice.Faults{})
	d.await("the booking is answered", func() bool { return d.book(d.VMs[1], key).status == http.StatusOK })
	d.wantRuns(key, 1)
}

// An intent that lands after its caller was told "not run" must not run later, and a repeat must run once.
func TestLateIntentNeverRuns(t *testing.T) {
	d := start(t, shape{vms: 2, services: 1})
	d.log.SetFaults(logservice.Faults{LateMs: 1500, Streams: "intent"})
	key := newKey()
	r := d.bookWithin(d.VMs[0], key, "700")
	if !r.notRun() {
		t.Fatalf("want a refusal as not run: %v", r)
	}
	d.wantRuns(key, 0)
	d.await("the late intent has landed", func() bool { return d.landed() >= 2 })
	d.log.SetFaults(logservice.Faults{})
	d.await("the repeat is answered", func() bool { return d.book(d.VMs[1], key).status == http.StatusOK })
	d.wantRuns(key, 1)
}

// landed counts the records on all intent streams.
func (d *deployment) landed() int {
	n := 0
	for stream, count := range d.log.Stats().Ends {
		if len(stream) > 6 && stream[:6] == "intent" {
			n += int(count)
		}
	}
	return n
}

func (d *deployment) bookWithin(v *deploy.VM, key, deadlineMs string) result {
	req, err := http.NewRequestWithContext(d.ctx, http.MethodPost, "http://"+v.Caller+"/bookings/new", http.NoBody)
	d.check(err)
	req.Header.Set("Authorization", "Bearer "+keySmall)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Corneldeal-Deadline-Ms", deadlineMs)
	resp, err := http.DefaultClient.Do(req)
	r := newResult(resp, err)
	if err != nil {
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	return r.read(resp)
}

// A service that crashes after the effect leaves the outcome unknown; neither the router nor a repeat may run it again.
func TestUnknownOutcomeIsNeverRunAgain(t *testing.T) {
	d := start(t, shape{vms: 3, services: 2})
	for _, s := range d.services {
		s.SetFaults(service.Faults{CrashAfter: true})
	}
	key := newKey()
	first := d.book(d.VMs[0], key)
	if first.runState != "unknown" {
		t.Errorf("first: want run state unknown: %v", first)
	}
	for _, s := range d.services {
		s.SetFaults(service.Faults{})
	}
	for _, v := range d.VMs {
		if r := d.book(v, key); r.runState != "unknown" || r.code != "outcome_unknown" {
			t.Errorf("repeat: want outcome unknown: %v", r)
		}
	}
	d.wantRuns(key, 1)
}

// A VM that dies between send and result leaves an unknown outcome that no other VM may run again.
func TestBookingOfKilledVMIsNeverRunAgain(t *testing.T) {
	d := start(t, shape{vms: 3, services: 1})
	d.services[0].SetFaults(service.Faults{ReplyDelayMs: 60_000})
	key := newKey()
	done := make(chan result, 1)
	go func() { done <- d.book(d.VMs[0], key) }()
	d.await("the service ran the booking", func() bool { return d.runs(key) == 1 })
	d.VMs[0].Kill()
	<-done
	d.services[0].SetFaults(service.Faults{})
	d.await("the outcome is reported as unknown", func() bool { return d.book(d.VMs[1], key).code == "outcome_unknown" })
	d.check(d.Restart(d.VMs[0]))
	d.await("the restarted VM reports the outcome as unknown", func() bool { return d.book(d.VMs[0], key).code == "outcome_unknown" })
	d.wantRuns(key, 1)
}

// A VM that is paused between its intent and its send must not send once another VM has answered for the key.
func TestPausedVMDoesNotSendAgain(t *testing.T) {
	d := start(t, shape{vms: 3, services: 1})
	for range 3 {
		key := newKey()
		done := make(chan result, 1)
		go func() { done <- d.book(d.VMs[0], key) }()
		d.check(d.VMs[0].Pause())
		repeat := d.book(d.VMs[1], key)
		d.check(d.VMs[0].Resume())
		first := <-done
		if n := d.runs(key); n > 1 {
			t.Errorf("the booking ran %d times; first %v, repeat %v", n, first, repeat)
		}
		if first.notRun() && repeat.notRun() && d.runs(key) > 0 {
			t.Errorf("both callers were told not run, but it ran: %v, %v", first, repeat)
		}
	}
}

// While the log is down a booking with a key is refused at once as not run; lookups and calls without a key go on.
func TestBookingsWhileLogIsDown(t *testing.T) {
	d := start(t, shape{vms: 2, services: 1})
	v := d.VMs[0]
	d.log.SetFaults(logservice.Faults{Down: true})
	key := newKey()
	d.await("bookings are refused", func() bool { return d.book(v, newKey()).code == "log_unavailable" })
	r := d.book(v, key)
	if r.code != "log_unavailable" || !r.notRun() || r.retry == "" {
		t.Errorf("want a refusal as not run with a time to come back: %v", r)
	}
	for i := range 20 {
		if r := d.call(v, http.MethodGet, "/bookings/7", "", ""); r.status != http.StatusOK {
			t.Fatalf("lookup %d failed while the log is down: %v", i, r)
		}
	}
	if r := d.call(v, http.MethodPost, "/bookings/new", "", "no key"); r.status != http.StatusOK {
		t.Errorf("a call without a key failed while the log is down: %v", r)
	}
	d.wantRuns(key, 0)
	d.log.SetFaults(logservice.Faults{})
	d.await("bookings work again", func() bool { return d.book(v, key).status == http.StatusOK })
	d.wantRuns(key, 1)
}

// Without a key a call that may have run must not be sent to a second endpoint.
func TestCallWithoutKeyIsSentOnce(t *testing.T) {
	d := start(t, shape{vms: 1, services: 3})
	for _, s := range d.services {
		s.SetFaults(service.Faults{CrashAfter: true})
	}
	r := d.call(d.VMs[0], http.MethodPost, "/bookings/new", "", "once")
	if r.runState != "unknown" {
		t.Errorf("want run state unknown: %v", r)
	}
	total := int64(0)
	for _, s := range d.services {
		for _, n := range s.Stats().Runs {
			total += n
		}
	}
	// The lookups of the harness count once per VM.
	if total > 2 {
		t.Errorf("the call ran %d times", total-1)
	}
}

// A key used for another request must be refused, not answered with the first request's answer. This holds while the
// first request runs and after its result was recorded.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	d := start(t, shape{vms: 2, services: 1})
	misuse := func(when, key string) {
		t.Helper()
		r := d.call(d.VMs[1], http.MethodPost, "/bookings/new", key, `{"machine":4}`)
		if r.code != "idempotency_key_reused" || !r.notRun() {
			t.Errorf("%s: want a refusal: %v", when, r)
		}
		d.wantRuns(key, 1)
	}
	running := newKey()
	d.services[0].SetFaults(service.Faults{ReplyDelayMs: 4000})
	done := make(chan result, 1)
	go func() { done <- d.book(d.VMs[0], running) }()
	d.await("the service ran the booking", func() bool { return d.runs(running) == 1 })
	misuse("while the booking runs", running)
	d.services[0].SetFaults(service.Faults{})
	if r := <-done; r.status != http.StatusOK {
		t.Fatalf("booking failed: %v", r)
	}
	d.await("the other VM holds the result", func() bool { return d.book(d.VMs[1], running).status == http.StatusOK })
	misuse("after the booking", running)
}
