package load

import (
	"context"
	"sync"
	"time"
)

// Moment is something that happens once during a run.
type Moment struct {
	At time.Duration
	Do func()
}

// sender sends one arrival and returns what became of it. Times in the outcome are relative to start.
type sender interface {
	send(ctx context.Context, start time.Time, a *Arrival) Outcome
}

// Run sends every arrival at its time, whatever the answers to others take, and returns the outcomes in the
// order of the arrivals.
func Run(ctx context.Context, s sender, arrivals []Arrival, moments []Moment) []Outcome {
	start := time.Now()
	outcomes := make([]Outcome, len(arrivals))
	var wg sync.WaitGroup
	for _, m := range moments {
		wg.Go(func() {
			if sleepUntil(ctx, start.Add(m.At)) {
				m.Do()
			}
		})
	}
	for i := range arrivals {
		a := &arrivals[i]
		if !sleepUntil(ctx, start.Add(a.At)) {
			outcomes = outcomes[:i]
			break
		}
		wg.Go(func() { outcomes[i] = s.send(ctx, start, a) })
	}
	wg.Wait()
	return outcomes
}

// sleepUntil returns false when the context ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
