package share

import (
	"fmt"
	"testing"
	"time"
)

const (
	// Digests of large systems are sent each sendPause and reach the other VMs up to hubDelay later.
	sendPause = 360 * time.Millisecond
	hubDelay  = 300 * time.Millisecond
	// reportLoss is the share of reports that are lost on the way to one VM, in percent.
	reportLoss = 5
)

// delayed is a report on its way.
type delayed struct {
	report Report
	from   *node
	at     time.Time
}

// exchangeLarge lets each VM report in its turn, with the delays of a large system.
func (w *simulation) exchangeLarge() {
	turns := int(sendPause / step)
	turn := int(w.now.Sub(start)/step) % turns
	for i, from := range w.nodes {
		if from.down || i%turns != turn {
			continue
		}
		from.reports++
		usage, all := from.limiter.Usage(from.reports, w.now)
		w.queue = append(w.queue, delayed{
			report: Report{VM: from.name, Boot: from.boot, Usage: usage, All: all}, from: from,
			at: w.now.Add(time.Duration(w.rng.Int64N(int64(hubDelay)))),
		})
	}
	var later []delayed
	for _, d := range w.queue {
		if d.at.After(w.now) {
			later = append(later, d)
			continue
		}
		for _, to := range w.nodes {
			if to != d.from && !to.down && to.group == d.from.group && w.rng.IntN(100) >= reportLoss {
				to.limiter.Report(d.report, w.now)
			}
		}
	}
	w.queue = later
}

// Guards against a workspace whose callers come at many times its rate from one moment to the next, over many VMs: each
// of them sees a full bucket until the others report.
func TestSuddenOverloadOfLargeSystemKeepsLimit(t *testing.T) {
	for _, count := range []int{30, 100} {
		for _, demand := range []int64{3, 5, 8} {
			t.Run(fmt.Sprintf("%d VMs, %d times the rate", count, demand), func(t *testing.T) {
				w := newSimulation(t, count)
				w.large = true
				w.run(3*time.Second, rate/int64(count)/2, 9_000)
				got := w.run(10*time.Second, demand*rate/int64(count), 9_000)
				w.checkWindows()
				if least := int64(rate * 10 * 7 / 10); got < least {
					t.Errorf("admitted %d tokens in 10 s, want at least %d", got, least)
				}
			})
		}
	}
}
