// Package share enforces a token rate and burst per workspace over all VMs, without a shared store.
//
// Each VM holds one bucket per workspace that models the bucket of the whole system. It deducts what the VM itself
// admits at once, and what the peers admitted as soon as their reports arrive, so the sum exceeds the limit at most by
// what is admitted within one exchange. A peer that falls silent may go on admitting: its equal share of tokens and
// refill is reserved until it reports again or is forgotten, so the parts of a partitioned system together stay within
// the limit for ForgetAfter. The package does no I/O; callers pass the current time.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// joinLevelShare is the share of the burst with which a VM that joins a running system begins, until the first
	// report of a peer.
	joinLevelShare = 0.1
	// recentWindow is how long reports list a workspace after its last change. It covers several reports, so that some
	// may be lost.
	recentWindow = 1600 * time.Millisecond
	// fullReportInterval is the number of reports of which one lists all workspaces.
	fullReportInterval = 16
	// maxRetryAfter bounds the Retry-After of a refusal.
	maxRetryAfter = 30 * time.Second
)

// Limit is the rate and burst of a workspace over all VMs.
type Limit struct {
	Workspace string
	// Rate is in tokens per second, Burst in tokens. A rate of zero means no limit.
	Rate, Burst int64
}

// Usage is the usage of a workspace as reported by one VM.
type Usage struct {
	Workspace string
	// Admitted is the number of tokens admitted since the VM's process started, less refunds.
	Admitted int64
	// Level is the VM's estimate of the tokens left over all VMs.
	Level int64
}

// bucket is this VM's estimate of a workspace's token bucket over all VMs.
type bucket struct {
	rate, burst float64
	level       float64
	refilledAt  time.Time
	admitted    int64
	// changedAt is when this VM last admitted or refunded tokens.
	changedAt time.Time
	// ownRate is a moving average of what this VM admitted, in tokens per second, as of reportedAt. reported is the
	// value of admitted at that time.
	ownRate    float64
	reported   int64
	reportedAt time.Time
	// refusedAt is when a request was last refused for lack of tokens. For pacingPeriod after it, credit is the number
	// of tokens that this VM may admit, as of creditAt.
	refusedAt time.Time
	credit    float64
	creditAt  time.Time
	// uncorrected is set on a VM that joined a running system until the first report of a peer corrects the level.
	uncorrected bool
}

// Limiter holds the buckets of one VM. It is not safe for concurrent use.
type Limiter struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	// silentPeers is the number of peers whose share is reserved.
	silentPeers int
	// joining reports whether the system was running before this process started.
	joining bool
}

// New returns a limiter without limits. Set joining where the VM may join a running system, whose tokens may be spent.
func New(joining bool) *Limiter {
	return &Limiter{
		buckets: map[string]*bucket{},
		peers:   map[string]*peer{},
		joining: joining,
	}
}

// Configure sets the limits. Workspaces that are not listed lose their limit.
func (l *Limiter) Configure(limits []Limit, now time.Time) {
	next := make(map[string]*bucket, len(limits))
	for _, lim := range limits {
		if lim.Rate <= 0 {
			continue
		}
		b := l.buckets[lim.Workspace]
		if b == nil {
			b = l.newBucket(lim, now)
		}
		l.refill(b, now)
		// A raised burst is not available at once: the level grows at the new rate.
		b.rate = float64(lim.Rate)
		b.burst = float64(lim.Burst)
		b.level = math.Min(b.level, b.burst)
		next[lim.Workspace] = b
	}
	l.buckets = next
}

// newBucket returns a full bucket or, on a VM that joins a running system, one at joinLevelShare of the burst.
func (l *Limiter) newBucket(lim Limit, now time.Time) *bucket {
	b := &bucket{
		rate:        float64(lim.Rate),
		burst:       float64(lim.Burst),
		level:       float64(lim.Burst),
		refilledAt:  now,
		uncorrected: l.joining,
	}
	if l.joining {
		b.level *= joinLevelShare
	}
	return b
}

// refill adds the tokens for the time since the last call, less the share of silent peers.
func (l *Limiter) refill(b *bucket, now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	silent, total := l.countSilent()
	refill := elapsed * b.rate
	share := float64(total-silent) / float64(total)
	b.level = math.Min(b.level+refill*share, b.burst)
}

// resumeOverdraft is the debt that streams which go on may leave, as a fraction of the burst.
const resumeOverdraft = 0.1

// Take deducts the cost of a request and reports whether there were enough tokens. If not, it deducts nothing, and wait
// is the time until there should be enough. A cost above the burst needs a full bucket and leaves a debt.
func (l *Limiter) Take(workspace string, cost int64, now time.Time) (ok bool, wait time.Duration) {
	b := l.buckets[workspace]
	if b == nil {
		return true, 0
	}
	return l.take(workspace, b, cost, math.Min(float64(cost), b.burst), false, now)
}

// TakeToResume is Take for a stream that goes on, which was admitted before. It takes precedence over new requests: it may
// leave a debt of resumeOverdraft, which they have to wait for.
func (l *Limiter) TakeToResume(workspace string, cost int64, now time.Time) (ok bool, wait time.Duration) {
	b := l.buckets[workspace]
	if b == nil {
		return true, 0
	}
	return l.take(workspace, b, cost, math.Min(float64(cost), b.burst)-resumeOverdraft*b.burst, true, now)
}

// take deducts the cost of a request if the stock is at least need. The pace of new requests does not hold back a stream
// that goes on.
func (l *Limiter) take(
	workspace string, b *bucket, cost int64, need float64, resumes bool, now time.Time,
) (ok bool, wait time.Duration) {
	l.refill(b, now)
	unreported := l.unreported(workspace, now)
	enough := b.level-unreported >= need
	if !enough {
		b.refusedAt = now
	}
	paced := l.refillCredit(workspace, b, now)
	if enough && (!paced || b.credit > 0 || resumes) {
		b.level -= float64(cost)
		if paced {
			b.credit -= float64(cost)
		}
		b.admitted += cost
		b.changedAt = now
		return true, 0
	}
	if enough {
		return false, min(time.Duration(-b.credit/l.pacedRate(workspace, b)*float64(time.Second))+pacingBurst, maxRetryAfter)
	}
	silent, total := l.countSilent()
	rate := b.rate * float64(total-silent) / float64(total)
	wait = time.Duration((need + unreported - b.level) / rate * float64(time.Second))
	return false, min(wait, maxRetryAfter)
}

// Level returns the estimated number of tokens left over all VMs, or zero where there is no limit.
func (l *Limiter) Level(workspace string, now time.Time) int64 {
	b := l.buckets[workspace]
	if b == nil {
		return 0
	}
	return int64(b.level - l.unreported(workspace, now))
}

// Refund gives back the cost of a request that did not run.
func (l *Limiter) Refund(workspace string, cost int64, now time.Time) {
	b := l.buckets[workspace]
	if b == nil {
		return
	}
	b.level = math.Min(b.level+float64(cost), b.burst)
	b.credit += float64(cost)
	b.admitted -= cost
	b.changedAt = now
}

// Usage returns the usage to report to the peers. The reports are numbered from 1. One in fullReportInterval, starting
// with the first, lists all workspaces, which is reported by all; the others list those that changed within
// recentWindow. They are ordered by name.
func (l *Limiter) Usage(number uint64, now time.Time) (usage []Usage, all bool) {
	all = number%fullReportInterval == 1
	out := make([]Usage, 0, len(l.buckets))
	for name, b := range l.buckets {
		b.updateOwnRate(now)
		if !all && now.Sub(b.changedAt) > recentWindow {
			continue
		}
		l.refill(b, now)
		out = append(out, Usage{Workspace: name, Admitted: b.admitted, Level: int64(b.level)})
	}
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out, all
}
