package admit

import (
	"testing"
	"time"
)

// Guards against a growing queue that makes every answer late under twice the load that can be served, as after losing
// half of the endpoints. With shedding, what can be served is served on time.
func TestOverloadServesOnTimeWhatItCan(t *testing.T) {
	const (
		objective = 600 * time.Millisecond
		work      = 20 * time.Millisecond
		gap       = 10 * time.Millisecond
		requests  = 6000
	)
	run := func(shed bool) (onTime, late, refused int) {
		var free time.Duration
		for i := range requests {
			now := time.Duration(i) * gap
			wait := max(free-now, 0)
			expected := wait + work
			if shed && ExcessWait(PlannedSend{Expected: expected, Objective: objective, Running: int(wait / work)}) > 0 {
				refused++
				continue
			}
			free = max(free, now) + work
			if expected <= objective {
				onTime++
			} else {
				late++
			}
		}
		return onTime, late, refused
	}
	onTime, late, refused := run(true)
	// The endpoint serves half of the requests; nine tenths of those are to be on time.
	if least := requests / 2 * 9 / 10; onTime < least || late > 0 {
		t.Errorf("%d on time, %d late, %d refused; want at least %d on time and none late", onTime, late, refused, least)
	}
	if onTime, late, _ := run(false); onTime > late {
		t.Errorf("the load does not overload the endpoint: %d on time, %d late without shedding", onTime, late)
	}
}

// Guards against refusals while an endpoint has free capacity, for instance because it was slow a moment ago.
func TestNothingIsShedWhilePlacesAreFree(t *testing.T) {
	slow := PlannedSend{Expected: 5 * time.Second, Objective: 600 * time.Millisecond, Running: minRunningToShed - 1}
	if ExcessWait(slow) != 0 {
		t.Error("shed although few requests run")
	}
	if ExcessWait(PlannedSend{Expected: time.Minute, Running: 500}) != 0 {
		t.Error("shed although the route has no objective")
	}
	full := PlannedSend{Age: 100 * time.Millisecond, Expected: 700 * time.Millisecond, Objective: 600 * time.Millisecond, Running: 40}
	if got := ExcessWait(full); got != 260*time.Millisecond {
		t.Errorf("wait exceeds nine tenths of the objective by %v, want 260 ms", got)
	}
}

// Guards against shedding large requests before all others because their own prompts take long to compute.
func TestLargeRequestsWaitAsLongAsOthers(t *testing.T) {
	const reading = 400 * time.Millisecond
	small := PlannedSend{Expected: 520 * time.Millisecond, Objective: 600 * time.Millisecond, Running: 40}
	large := small
	large.Expected += reading
	large.Prefill = reading
	if ExcessWait(small) != 0 || ExcessWait(large) != 0 {
		t.Errorf("small shed by %v, large by %v", ExcessWait(small), ExcessWait(large))
	}
	small.Expected += 30 * time.Millisecond
	large.Expected += 30 * time.Millisecond
	if ExcessWait(small) != ExcessWait(large) || ExcessWait(small) == 0 {
		t.Errorf("small shed by %v, large by %v", ExcessWait(small), ExcessWait(large))
	}
}
