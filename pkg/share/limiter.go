// Package share keeps every workspace to its token rate and burst over all VMs, without a store.
//
// Each VM holds one bucket per workspace that stands for the whole system. It deducts what the VM itself admits at
// once, and what the peers admitted as soon as they tell, so the sum exceeds the limit at most by what is admitted
// within one exchange. A peer that falls silent may go on admitting: its equal share of tokens and refill is set
// aside until it is seen again or counts as gone, so parts of a partitioned system together stay within the limit for
// ForgetAfter. The package holds no I/O; time is an argument.
package share

import (
	"math"
	"time"
)

const (
	// startShare is the part of the burst with which a restarted VM begins before the first report of a peer.
	startShare = 0.1
	// recentFor is the time for which a report names a workspace after the last decision on it, so that some reports may
	// be lost.
	recentFor = 1600 * time.Millisecond
	// allEvery is the number of reports of which one names all workspaces.
	allEvery = 16
	// maxWait bounds the Retry-After of a refusal.
	maxWait = 30 * time.Second
)

// Limit is the rate and burst of one workspace over all VMs.
type Limit struct {
	Workspace string
	// Rate is in tokens per second, Burst in tokens. A rate of zero means no limit.
	Rate, Burst int64
}

// Usage is what a VM reports of one workspace.
type Usage struct {
	Workspace string
	// Admitted is the number of tokens admitted since the VM started.
	Admitted int64
	// Level is the number of tokens that the VM believes to be left over all VMs.
	Level int64
}

type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
	admitted    int64
	// changedAt is when this VM last admitted or gave back tokens.
	changedAt time.Time
	// ownRate is what this VM admitted lately, in tokens per second, as of the report at reportedAt.
	ownRate    float64
	reported   int64
	reportedAt time.Time
	// refusedAt is when there were last too few tokens. While it is recent, credit is what this VM may admit.
	refusedAt time.Time
	credit    float64
	creditAt  time.Time
	// fresh is set until the first report of a peer corrects the level of a VM that started into a running system.
	fresh bool
}

// Limiter holds the buckets of one VM. It is safe for one goroutine.
type Limiter struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	// quiet is the number of peers whose share is set aside.
	quiet int
	// joining is set where the system was running before this process started.
	joining bool
}

// New returns a limiter. Joining tells that the VM starts into a system that may be running already, whose
// tokens may be spent.
func New(joining bool) *Limiter {
	return &Limiter{
		buckets: map[string]*bucket{},
		peers:   map[string]*peer{},
		joining: joining,
	}
}

// Configure sets the limits. Workspaces that are not listed lose theirs.
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
		// A raised burst is not given out at once: the level grows at the new rate.
		b.rate = float64(lim.Rate)
		b.burst = float64(lim.Burst)
		b.level = math.Min(b.level, b.burst)
		next[lim.Workspace] = b
	}
	l.buckets = next
}

func (l *Limiter) newBucket(lim Limit, now time.Time) *bucket {
	b := &bucket{
		rate:  float64(lim.Rate),
		burst: float64(lim.Burst),
		level: float64(lim.Burst),
		at:    now,
		fresh: l.joining,
	}
	if l.joining {
		b.level *= startShare
	}
	return b
}

// refill adds the tokens since the last call, less the share of silent peers.
func (l *Limiter) refill(b *bucket, now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	quiet, total := l.silent()
	refill := elapsed * b.rate
	share := float64(total-quiet) / float64(total)
	b.level = math.Min(b.level+refill*share, b.burst)
}

// Take deducts the cost of a request. When there is not enough, wait is the time until there will be.
// A cost above the burst needs a full bucket and leaves a debt.
func (l *Limiter) Take(workspace string, cost int64, now time.Time) (ok bool, wait time.Duration) {
	b := l.buckets[workspace]
	if b == nil {
		return true, 0
	}
	l.refill(b, now)
	need := math.Min(float64(cost), b.burst)
	unreported := l.unreported(workspace, now)
	enough := b.level-unreported >= need
	if !enough {
		b.refusedAt = now
	}
	paced := l.pace(workspace, b, now)
	if enough && (!paced || b.credit > 0) {
		b.level -= float64(cost)
		if paced {
			b.credit -= float64(cost)
		}
		b.admitted += cost
		b.changedAt = now
		return true, 0
	}
	if enough {
		return false, min(time.Duration(-b.credit/l.ownPace(workspace, b)*float64(time.Second))+paceSpan, maxWait)
	}
	quiet, total := l.silent()
	rate := b.rate * float64(total-quiet) / float64(total)
	wait = time.Duration((need + unreported - b.level) / rate * float64(time.Second))
	return false, min(wait, maxWait)
}

// Level returns the number of tokens that is believed to be left over all VMs, or zero where there is no limit.
func (l *Limiter) Level(workspace string, now time.Time) int64 {
	b := l.buckets[workspace]
	if b == nil {
		return 0
	}
	return int64(b.level - l.unreported(workspace, now))
}

// Return gives back the cost of a request that did not run.
func (l *Limiter) Return(workspace string, cost int64, now time.Time) {
	b := l.buckets[workspace]
	if b == nil {
		return
	}
	b.level = math.Min(b.level+float64(cost), b.burst)
	b.credit += float64(cost)
	b.admitted -= cost
	b.changedAt = now
}

// Usage returns what the peers need to know with the report of the given number, counted from 1: all workspaces with
// each allEvery-th report, else those on which this VM decided lately.
func (l *Limiter) Usage(number uint64, now time.Time) (usage []Usage, all bool) {
	all = number%allEvery == 1
	out := make([]Usage, 0, len(l.buckets))
	for name, b := range l.buckets {
		b.noteReport(now)
		if !all && now.Sub(b.changedAt) > recentFor {
			continue
		}
		l.refill(b, now)
		out = append(out, Usage{Workspace: name, Admitted: b.admitted, Level: int64(b.level)})
	}
	return out, all
}
