package failure

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/lab/service"
	"github.com/corneldeal/corneldeal/pkg/config"
)

// many runs f n times at once.
func many(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// A stream must not depend on a VM other than the one that accepted it.
func TestStreamIsWholeWhileAnotherVMIsKilled(t *testing.T) {
	d := start(t, shape{vms: 2, engines: 2})
	for i, v := range d.VMs {
		other := d.VMs[1-i]
		prompt := "stream through " + v.Name
		r := d.chatEach(v, keySmall, prompt, 60, func(n int) {
			if n == 5 {
				other.Kill()
			}
		})
		d.wantWhole(r, prompt, 60)
		d.check(d.Restart(other))
		d.await(other.Name+" is ready", func() bool { return d.chat(other, keySmall, "again", 2).end == "done" })
	}
}

// An engine crash must not lose, repeat or reorder tokens of any stream that ran there.
func TestStreamsResumeAfterEngineCrash(t *testing.T) {
	d := start(t, shape{vms: 2, engines: 3})
	var crash sync.Once
	results := make([]result, 12)
	prompts := make([]string, len(results))
	many(len(results), func(i int) {
		prompts[i] = strings.Repeat("catalogue ", 100) + string(rune('a'+i))
		results[i] = d.chatEach(d.VMs[i%2], keyLarge, prompts[i], 100, func(n int) {
			if n == 20 {
				crash.Do(func() { d.busiest().Crash() })
			}
		})
	})
	for i, r := range results {
		d.wantWhole(r, prompts[i], 100)
	}
}

// busiest returns the engine with the most running requests.
func (d *deployment) busiest() *engine.Engine {
	best := d.engines[0]
	for _, e := range d.engines {
		if e.ExactState().Running > best.ExactState().Running {
			best = e
		}
	}
	return best
}

// A frozen engine sends nothing and closes nothing; its streams must go on elsewhere.
func TestStreamsLeaveFrozenEngine(t *testing.T) {
	d := start(t, shape{vms: 1, engines: 2})
	var freeze sync.Once
	prompt := "freeze"
	r := d.chatEach(d.VMs[0], keySmall, prompt, 60, func(n int) {
		if n == 10 {
			freeze.Do(func() { d.busiest().SetFaults(engine.Faults{Freeze: true}) })
		}
	})
	d.wantWhole(r, prompt, 60)
}

// SIGTERM must let every accepted request end whole, and the process must exit with status 0.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	d := start(t, shape{vms: 2, engines: 2, drainDelayMs: 300})
	v := d.VMs[0]
	stopped := make(chan error, 1)
	results := d.streams(8, keyLarge, "shutdown", 200, []*deploy.VM{v}, func() { stopped <- v.Process().Stop() })
	d.check(<-stopped)
	for _, r := range results {
		d.wantWhole(r, "shutdown", 200)
	}
}

// A caller that leaves must not keep an engine busy.
func TestDisconnectCancelsEngineStream(t *testing.T) {
	d := start(t, shape{vms: 1, engines: 1})
	resp, err := d.do(d.VMs[0], http.MethodPost, "/v1/chat/completions", keySmall, "", chatBody("leave", 16000))
	d.check(err)
	buf := make([]byte, 10)
	if _, err := resp.Body.Read(buf); err != nil {
		t.Fatal(err)
	}
	d.await("the engine runs the request", func() bool { return d.engines[0].ExactState().Running == 1 })
	_ = resp.Body.Close()
	d.await("the engine has cancelled the request", func() bool { return d.engines[0].ExactState().Running == 0 })
}

// The answer to another attempt must never reach a caller.
func TestCrossedAnswerIsNotPassedOn(t *testing.T) {
	d := start(t, shape{vms: 1, services: 1})
	v := d.VMs[0]
	d.call(v, http.MethodPost, "/bookings/first", "", "first")
	d.services[0].SetFaults(service.Faults{Cross: true})
	for range 3 {
		r := d.call(v, http.MethodGet, "/bookings/second", "", "")
		if r.status == http.StatusOK {
			t.Fatalf("a crossed answer was passed on: %v", r)
		}
	}
}

// The caller's key must reach no endpoint, neither in a header nor in another part of the request.
func TestNoEndpointSeesKey(t *testing.T) {
	d := start(t, shape{vms: 1, engines: 1, services: 1})
	v := d.VMs[0]
	d.chat(v, keySmall, "hello", 3)
	d.call(v, http.MethodPost, "/bookings/new", newKey(), "x")
	for _, r := range []result{
		d.call(v, http.MethodGet, "/bookings/find?token="+keySmall, "", ""),
		d.call(v, http.MethodPost, "/bookings/new", "", "my key is "+keySmall),
		d.chat(v, keySmall, "my key is "+keySmall, 3),
	} {
		if r.status != http.StatusBadRequest || !r.notRun() {
			t.Errorf("text with the key was not refused: %v", r)
		}
	}
	seen := []map[string]map[string]int64{d.services[0].Stats().Headers, d.engines[0].Stats().Headers}
	for _, headers := range seen {
		if len(headers) == 0 {
			t.Fatal("the endpoint recorded no headers")
		}
		for name, values := range headers {
			for value := range values {
				if strings.EqualFold(name, "Authorization") || strings.Contains(value, keySmall) {
					t.Errorf("an endpoint saw the key in %s: %s", name, value)
				}
			}
		}
	}
}

// A request that crashes engines must take down at most two of them, however often its caller sends it, and the
// requests beside it must end whole.
func TestCrashingRequestLosesAtMostTwoEngines(t *testing.T) {
	const poison = "poison-7c1f"
	d := start(t, shape{vms: 3, engines: 4})
	for _, e := range d.engines {
		e.SetFaults(engine.Faults{Poison: poison, DownMs: 300})
	}
	stop := make(chan struct{})
	var beside sync.WaitGroup
	for i := range 4 {
		beside.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				d.wantWhole(d.chat(d.VMs[n%3], keyLarge, "beside", 30+i), "beside", 30+i)
			}
		})
	}
	last := result{}
	for i := range 9 {
		last = d.chat(d.VMs[i%3], keySmall, poison, 5)
	}
	close(stop)
	beside.Wait()
	if last.code != "crashes_endpoints" {
		t.Errorf("the request is not refused: %v", last)
	}
	crashes := int64(0)
	for _, e := range d.engines {
		crashes += e.Stats().Crashes
	}
	if crashes > 2 {
		t.Errorf("%d engines were lost, want at most 2", crashes)
	}
}

// A leaving endpoint must get no new work once the note is in force, and its running stream must end whole.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	d := start(t, shape{vms: 2, engines: 2})
	leaving := config.Endpoint{}
	r := d.chatEach(d.VMs[0], keySmall, "leaving", 150, func(n int) {
		if n != 3 {
			return
		}
		i := 0
		if d.busiest() == d.engines[1] {
			i = 1
		}
		for _, e := range d.firstNote().Added.Endpoints {
			if e.Address == d.engines[i].Addr() {
				leaving = e
			}
		}
		leaving.Leaving = true
		d.publish(config.ReleaseNote{ID: "leave", Changed: config.Items{Endpoints: []config.Endpoint{leaving}}})
	})
	d.wantWhole(r, "leaving", 150)
	before := d.engineAt(leaving.Address).Stats().Accepted
	for i := range 20 {
		d.wantWhole(d.chat(d.VMs[i%2], keySmall, "leaving", 3), "leaving", 3)
	}
	if after := d.engineAt(leaving.Address).Stats().Accepted; after != before {
		t.Errorf("the leaving endpoint got %d new requests", after-before)
	}
}

func (d *deployment) engineAt(address string) *engine.Engine {
	for _, e := range d.engines {
		if e.Addr() == address {
			return e
		}
	}
	d.t.Fatalf("no engine at %s", address)
	return nil
}

// A request that cannot meet its deadline must be answered at once, not held until the deadline.
func TestHopelessRequestIsAnsweredAtOnce(t *testing.T) {
	d := start(t, shape{vms: 1, engines: 1})
	d.engines[0].SetFaults(engine.Faults{Down: true})
	d.await("the engine counts as down", func() bool {
		began := time.Now()
		r := d.chat(d.VMs[0], keySmall, "hopeless", 5)
		// The default deadline is 30 s.
		return r.code == "no_endpoint" && r.notRun() && r.retry != "" && time.Since(began) < 15*time.Second
	})
}

// A VM that was paused for a while must not take its engines for dead and break its streams when it goes on.
func TestStreamSurvivesPauseOfItsVM(t *testing.T) {
	d := start(t, shape{vms: 2, engines: 2})
	v := d.VMs[0]
	r := d.chatEach(v, keySmall, "pause", 200, func(n int) {
		if n == 10 {
			d.check(v.Pause())
			time.Sleep(3 * time.Second)
			d.check(v.Resume())
		}
	})
	d.wantWhole(r, "pause", 200)
}

// A refusal must not say "not run" when an earlier attempt of the same request reached an endpoint.
func TestRefusalAfterAttemptIsNotCalledNotRun(t *testing.T) {
	const poison = "poison-41aa"
	d := start(t, shape{vms: 1, engines: 1, services: 1})
	d.engines[0].SetFaults(engine.Faults{Poison: poison, DownMs: 60_000})
	if r := d.chat(d.VMs[0], keySmall, poison, 5); r.status == http.StatusOK || r.notRun() {
		t.Errorf("chat that crashed the only engine: %v", r)
	}
	d.services[0].SetFaults(service.Faults{CrashAfter: true})
	if r := d.call(d.VMs[0], http.MethodGet, "/bookings/1", "", ""); r.status == http.StatusOK || r.notRun() {
		t.Errorf("lookup that ran without an answer: %v", r)
	}
}

// An engine that stands still for a moment goes on, so its streams must not be given up together while no other engine is there.
func TestStreamsOutwaitTheOnlyEngine(t *testing.T) {
	d := start(t, shape{vms: 1, engines: 1})
	var freeze sync.Once
	prompt := "stand still"
	many(8, func(int) {
		r := d.chatEach(d.VMs[0], keyLarge, prompt, 60, func(n int) {
			if n == 10 {
				freeze.Do(func() {
					d.engines[0].SetFaults(engine.Faults{Freeze: true})
					time.AfterFunc(2500*time.Millisecond, func() { d.engines[0].SetFaults(engine.Faults{}) })
				})
			}
		})
		d.wantWhole(r, prompt, 60)
	})
}

// Streams must not be cut since an engine that stood still for a moment held more of them than may be sent again.
func TestStreamsBeyondTheRetryBudgetOutwaitTheirEngine(t *testing.T) {
	d := start(t, shape{vms: 1, engines: 2})
	var freeze sync.Once
	prompt := "stand still"
	many(24, func(int) {
		r := d.chatEach(d.VMs[0], keyLarge, prompt, 60, func(n int) {
			if n == 10 {
				freeze.Do(func() {
					e := d.busiest()
					e.SetFaults(engine.Faults{Freeze: true})
					time.AfterFunc(2500*time.Millisecond, func() { e.SetFaults(engine.Faults{}) })
				})
			}
		})
		d.wantWhole(r, prompt, 60)
	})
}
