package failure

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/lab/logservice"
	"github.com/corneldeal/corneldeal/lab/vmlist"
	"github.com/corneldeal/corneldeal/pkg/config"
)

const (
	limitRate   = 1000
	limitBurst  = 3000
	tokensACall = 100
)

// admitted is one call that was admitted between two moments.
type admitted struct {
	sent, answered time.Time
}

// excess returns the largest number of tokens by which any window exceeds burst + rate × time. A call counts for a
// window only when it was sent and answered within it, so that the result is never too high.
func excess(calls []admitted) float64 {
	return excessOver(calls, limitRate, limitBurst)
}

func excessOver(calls []admitted, rate, burst float64) float64 {
	slices.SortFunc(calls, func(a, b admitted) int { return a.answered.Compare(b.answered) })
	worst := 0.0
	for _, first := range calls {
		tokens := 0.0
		for _, c := range calls {
			if c.sent.Before(first.sent) {
				continue
			}
			tokens += tokensACall
			window := c.answered.Sub(first.sent).Seconds()
			worst = max(worst, tokens-burst-rate*window)
		}
	}
	return worst
}

// hammer calls the service under workspace small through all VMs until stop is closed.
func (d *deployment) hammer(stop <-chan struct{}) []admitted {
	var mu sync.Mutex
	var calls []admitted
	many(4*len(d.VMs), func(i int) {
		v := d.VMs[i%len(d.VMs)]
		for {
			select {
			case <-stop:
				return
			default:
			}
			sent := time.Now()
			r := d.call(v, http.MethodGet, "/bookings/limit", "", "")
			if r.status == http.StatusOK {
				mu.Lock()
				calls = append(calls, admitted{sent, time.Now()})
				mu.Unlock()
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	return calls
}

// limited starts a deployment whose workspace small has a low limit.
func limited(t *testing.T, linked bool) *deployment {
	d := start(t, shape{vms: 3, services: 2, linked: linked})
	state := d.firstNote().Added
	d.publish(config.ReleaseNote{ID: "limit", Changed: config.Items{
		Workspaces: []config.Workspace{{Name: "small", TokensPerSecond: limitRate, BurstTokens: limitBurst}},
		Routes:     []config.Route{withCharge(state.Routes[1])},
	}})
	return d
}

func withCharge(r config.Route) config.Route {
	r.TokensPerCall = tokensACall
	return r
}

// under hammers the limit while the faults happen and fails when any window exceeds rate and burst.
func (d *deployment) under(faults func()) {
	d.t.Helper()
	stop := make(chan struct{})
	done := make(chan []admitted)
	go func() { done <- d.hammer(stop) }()
	// The tokens that the higher limit before left over are spent.
	time.Sleep(time.Second)
	faults()
	close(stop)
	calls := <-done
	if len(calls) < limitBurst/tokensACall/2 {
		d.t.Errorf("only %d calls were admitted", len(calls))
	}
	d.t.Logf("%d calls admitted, largest excess %.0f tokens", len(calls), excess(calls))
	if over := excess(calls); over > 0 {
		d.t.Errorf("%.0f tokens above rate and burst", over)
	}
}

// steps runs steps with a pause after each.
func steps(pause time.Duration, list ...func()) {
	for _, step := range list {
		step()
		time.Sleep(pause)
	}
}

// A killed VM's slots must not be spent twice by its successor.
func TestRateHoldsWhenVMsAreKilled(t *testing.T) {
	d := limited(t, false)
	d.under(func() {
		for _, v := range d.VMs {
			steps(time.Second, v.Kill, func() { d.check(d.Restart(v)) })
		}
	})
}

// A VM that was paused past its lease must not spend what it held before.
func TestRateHoldsWhenVMsArePaused(t *testing.T) {
	d := limited(t, false)
	d.under(func() {
		for _, v := range d.VMs[:2] {
			steps(4*time.Second, func() { d.check(v.Pause()) }, func() { d.check(v.Resume()) })
		}
	})
}

// The holders must go on through a long outage of the log, without exceeding the limit.
func TestRateHoldsInLogOutage(t *testing.T) {
	d := limited(t, false)
	d.under(func() {
		steps(5*time.Second,
			func() { d.log.SetFaults(logservice.Faults{Down: true}) },
			func() {
				if r := d.admittedNow(); r == 0 {
					t.Error("no call is admitted in the outage")
				}
			},
			func() { d.log.SetFaults(logservice.Faults{}) },
		)
	})
}

// admittedNow counts admitted calls of the other workspace, whose limit is far away.
func (d *deployment) admittedNow() int {
	n := 0
	for i := range 10 {
		resp, err := d.do(d.VMs[i%len(d.VMs)], http.MethodGet, "/bookings/1", keyLarge, "", "")
		if r := newResult(resp, err); r.status == http.StatusOK {
			n++
		}
	}
	return n
}

// With log and VM list both gone the holders vouch for each other and go on.
func TestRateHoldsInPlatformOutage(t *testing.T) {
	d := limited(t, false)
	d.under(func() {
		steps(5*time.Second,
			func() {
				d.log.SetFaults(logservice.Faults{Down: true})
				d.vms.SetFaults(vmlist.Faults{Down: true})
			},
			func() {
				if r := d.admittedNow(); r == 0 {
					t.Error("no call is admitted in the outage")
				}
			},
			func() {
				d.log.SetFaults(logservice.Faults{})
				d.vms.SetFaults(vmlist.Faults{})
			},
		)
	})
}

// A VM that is cut off and whose slots others take over must have stopped spending before they begin.
func TestRateHoldsWhenSlotsOfCutOffVMMove(t *testing.T) {
	d := limited(t, true)
	v := d.VMs[0]
	d.under(func() {
		d.cutPlatform(v, true)
		for _, l := range d.links {
			l.peer.Cut(true)
		}
		// The platform takes the VM off its list although it still runs.
		var rest []vmlist.VM
		for _, vm := range d.List() {
			if vm.Name != v.Name {
				rest = append(rest, vm)
			}
		}
		d.vms.Set(rest)
		for _, l := range d.links {
			l.peer.Cut(l == d.links[v.Name])
		}
		d.await("the other VMs hold all slots", func() bool {
			return len(d.status(d.VMs[1]).Slots)+len(d.status(d.VMs[2]).Slots) >= 16
		})
		time.Sleep(2 * time.Second)
		d.vms.Set(d.List())
		d.cutPlatform(v, false)
		d.links[v.Name].peer.Cut(false)
		time.Sleep(2 * time.Second)
	})
}

// All VMs restart at once and the log loses replies: nobody may mint for a slot that another holds.
func TestRateHoldsInHerdRestartWithLostReplies(t *testing.T) {
	d := limited(t, false)
	d.under(func() {
		d.log.SetFaults(logservice.Faults{LoseReply: true, Streams: "control"})
		for _, v := range d.VMs {
			v.Kill()
		}
		for _, v := range d.VMs {
			d.check(d.Restart(v))
		}
		time.Sleep(3 * time.Second)
		d.log.SetFaults(logservice.Faults{})
		time.Sleep(2 * time.Second)
	})
}

// A workspace with tokens left must not be refused because they lie on other VMs.
func TestOneVMSpendsTheTokensOfAll(t *testing.T) {
	d := limited(t, false)
	time.Sleep(4 * time.Second)
	// All calls are sent at once: one after the other, the VM's own share of the rate would be enough for them.
	var admittedCalls atomic.Int64
	many(limitBurst/tokensACall, func(int) {
		if d.call(d.VMs[0], http.MethodGet, "/bookings/limit", "", "").status == http.StatusOK {
			admittedCalls.Add(1)
		}
	})
	if admittedCalls := admittedCalls.Load(); admittedCalls < limitBurst/tokensACall*9/10 {
		t.Errorf("%d calls of a full burst of %d were admitted through one VM", admittedCalls, limitBurst/tokensACall)
	}
}

// A VM that is paused while its slots move must not spend its old stock when it resumes. The new holders have filled
// their buckets by then, so that any token of the old stock is above the burst.
func TestPausedVMDoesNotSpendMovedSlots(t *testing.T) {
	const (
		rate   = 1000
		burst  = 6000
		queued = 20
	)
	d := start(t, shape{vms: 3, services: 2})
	d.publish(config.ReleaseNote{ID: "limit", Changed: config.Items{
		Workspaces: []config.Workspace{{Name: "small", TokensPerSecond: rate, BurstTokens: burst}},
		Routes:     []config.Route{withCharge(d.firstNote().Added.Routes[1])},
	}})
	v := d.VMs[0]
	d.await("the VM holds slots", func() bool { return len(d.status(v).Slots) > 0 })
	fill := burst * time.Second / rate
	time.Sleep(fill)
	d.check(v.Pause())
	d.vms.Set(d.List()[1:])
	d.await("the other VMs hold all slots", func() bool {
		return len(d.status(d.VMs[1]).Slots)+len(d.status(d.VMs[2]).Slots) >= 16
	})
	time.Sleep(fill)
	var mu sync.Mutex
	var calls []admitted
	call := func(v *deploy.VM) {
		sent := time.Now()
		if d.call(v, http.MethodGet, "/bookings/limit", "", "").status == http.StatusOK {
			mu.Lock()
			calls = append(calls, admitted{sent, time.Now()})
			mu.Unlock()
		}
	}
	var spent sync.WaitGroup
	for range queued {
		spent.Go(func() { call(v) })
	}
	// The calls wait in the listener's queue until the VM runs again.
	time.Sleep(200 * time.Millisecond)
	d.check(v.Resume())
	for i := range burst / tokensACall * 3 / 2 {
		spent.Go(func() { call(d.VMs[1+i%2]) })
	}
	spent.Wait()
	if len(calls) < burst/tokensACall*9/10 {
		t.Errorf("only %d calls were admitted, so the buckets were not full", len(calls))
	}
	over := excessOver(calls, rate, burst)
	t.Logf("%d calls admitted, largest excess %.0f tokens", len(calls), over)
	if over > 0 {
		t.Errorf("%.0f tokens above rate and burst", over)
	}
}
