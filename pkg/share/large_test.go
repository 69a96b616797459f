package share

import (
	"fmt"
	"testing"
	"time"
)

const (
	// reportInterval is the interval at which VMs of a large system send reports. A report reaches the others up to
	// maxReportDelay later.
	reportInterval = 360 * time.Millisecond
	maxReportDelay = 300 * time.Millisecond
	// reportLoss is the share of reports that do not reach a given VM, in percent.
	reportLoss = 5
)

// delayed is a report in transit.
type delayed struct {
	report Report
	from   *node
	at     time.Time
}

// exchangeLarge delivers the reports that are due and lets the VMs whose turn it is send new ones.
func (w *simulation) exchangeLarge() {
	turns := int(reportInterval / step)
	turn := int(w.now.Sub(start)/step) % turns
	for i, from := range w.nodes {
		if from.down || i%turns != turn {
			continue
		}
		from.reports++
		usage, all := from.limiter.Usage(from.reports, w.now)
		w.queue = append(w.queue, delayed{
			report: Report{VM: from.name, Boot: from.boot, Usage: usage, All: all}, from: from,
			at: w.now.Add(time.Duration(w.rng.Int64N(int64(maxReportDelay)))),
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
				to.limiter.ApplyReport(d.report, w.now)
			}
		}
	}
	w.queue = later
}

// Guards against exceeding the limit when a workspace's load rises at once to many times its rate over many VMs, each
// of which has a full bucket until the others report.
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
