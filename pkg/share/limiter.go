// Package share keeps every workspace to its token rate and burst over all VMs, without a store.
//
// Each VM holds one bucket per workspace that stands for the whole system. It deducts what the VM itself admits at
// once, and what the peers admitted as soon as they tell, so the sum exceeds the limit at most by what is admitted
// within one exchange. A peer that falls silent may go on admitting: its equal share of tokens and refill is set
// aside until it is seen again, so parts of a partitioned system together stay within the limit. The package holds
// no I/O; time is an argument.
package share

import (
	"math"
	"time"
)

const (
	// SilenceAfter is the age of a peer's last report at which its share is set aside. It spans several lost datagrams.
	SilenceAfter = 1200 * time.Millisecond
	// ForgetAfter is the age at which a peer no longer counts. Its share is free again.
	ForgetAfter = 20 * time.Second
	// startShare is the part of the burst with which a restarted VM begins before the first report of a peer.
	startShare = 0.1
	// rateShare is the weight of the newest exchange in a peer's rate.
	rateShare = 0.5
	// recentFor is the time for which a report names a workspace after the last decision on it, so that some reports may
	// be lost.
	recentFor = 1600 * time.Millisecond
	// allEvery is the number of reports of which one names all workspaces.
	allEvery = 16
	// paceFor is the time for which a VM paces what it admits of a workspace after a refusal. Without it, all VMs admit at
	// once each time that there are tokens again, before they hear of each other.
	paceFor = time.Second
	// paceSpan is the time whose tokens a VM may admit at once while it paces.
	paceSpan = 250 * time.Millisecond
	// ownRateShare is the weight of the newest exchange in a VM's own rate.
	ownRateShare = 0.2
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

type peer struct {
	boot     uint64
	lastSeen time.Time
	admitted map[string]int64
	// rate is what the peer admitted lately, in tokens per second by workspace.
	rate map[string]float64
	// aside is the number of tokens set aside for the silent peer, by workspace. Nil while the peer reports.
	aside map[string]float64
	// partial is set until the first report on all workspaces of a process that ran before this VM knew it.
	partial bool
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

// silent returns the number of silent peers and the number of VMs that count.
func (l *Limiter) silent() (quiet, total int) {
	return l.quiet, len(l.peers) + 1
}

// forget drops a peer.
func (l *Limiter) forget(vm string) {
	if p := l.peers[vm]; p != nil && p.aside != nil {
		l.quiet--
	}
	delete(l.peers, vm)
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

// pace refills the credit of a workspace that was over its rate lately. It reports whether the credit counts.
func (l *Limiter) pace(workspace string, b *bucket, now time.Time) bool {
	if b.refusedAt.IsZero() || now.Sub(b.refusedAt) > paceFor {
		b.credit, b.creditAt = 0, now
		return false
	}
	pace := l.ownPace(workspace, b)
	b.credit = math.Min(b.credit+pace*now.Sub(b.creditAt).Seconds(), pace*paceSpan.Seconds())
	b.creditAt = now
	return true
}

// ownPace returns this VM's part of the rate of a workspace that is over it, in tokens per second: as much as it
// admitted lately of all that was admitted, and at least an equal part.
func (l *Limiter) ownPace(workspace string, b *bucket) float64 {
	sum := b.ownRate
	for _, p := range l.peers {
		sum += p.rate[workspace]
	}
	part := 1 / float64(len(l.peers)+1)
	if sum > 0 {
		part = math.Max(part, b.ownRate/sum)
	}
	return b.rate * part
}

// Level returns the number of tokens that is believed to be left over all VMs, or zero where there is no limit.
func (l *Limiter) Level(workspace string, now time.Time) int64 {
	b := l.buckets[workspace]
	if b == nil {
		return 0
	}
	return int64(b.level - l.unreported(workspace, now))
}

// unreported returns what the peers should have admitted since their last reports, at the rate of those.
func (l *Limiter) unreported(workspace string, now time.Time) float64 {
	sum := 0.0
	for _, p := range l.peers {
		if p.aside == nil {
			sum += p.rate[workspace] * math.Max(now.Sub(p.lastSeen).Seconds(), 0)
		}
	}
	return sum
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

// noteReport updates the rate of this VM.
func (b *bucket) noteReport(now time.Time) {
	if elapsed := now.Sub(b.reportedAt).Seconds(); elapsed > 0 {
		lately := math.Max(float64(b.admitted-b.reported)/elapsed, 0)
		b.ownRate += (lately - b.ownRate) * ownRateShare
	}
	b.reported, b.reportedAt = b.admitted, now
}

// Report is what a peer tells of its usage.
type Report struct {
	VM string
	// Boot identifies the peer's process.
	Boot  uint64
	Usage []Usage
	// All tells that Usage lists every workspace, so that one that is missing was not used by this process.
	All bool
}

// Report applies what a peer has admitted. Workspaces that are not listed are unchanged.
func (l *Limiter) Report(r Report, now time.Time) {
	p := l.peerOf(r, now)
	elapsed := now.Sub(p.lastSeen).Seconds()
	p.lastSeen = now
	l.giveBack(p, now)
	listed := make(map[string]bool, len(r.Usage))
	for _, u := range r.Usage {
		listed[u.Workspace] = true
		last, known := p.admitted[u.Workspace]
		p.admitted[u.Workspace] = u.Admitted
		if !known && p.partial {
			// What the process admitted before this VM knew it is no debt of the present level.
			last = u.Admitted
		}
		if elapsed > 0 {
			lately := math.Max(float64(u.Admitted-last)/elapsed, 0)
			p.rate[u.Workspace] += (lately - p.rate[u.Workspace]) * rateShare
		}
		l.debit(u, u.Admitted-last, now)
	}
	if elapsed > 0 {
		p.slowDown(listed)
	}
	p.partial = p.partial && !r.All
}

// peerOf returns the state of the peer that reports.
func (l *Limiter) peerOf(r Report, now time.Time) *peer {
	p := l.peers[r.VM]
	if p == nil {
		p = &peer{boot: r.Boot, admitted: map[string]int64{}, rate: map[string]float64{}, lastSeen: now, partial: true}
		l.peers[r.VM] = p
	}
	if p.boot != r.Boot {
		// A new process counts from zero.
		p.boot = r.Boot
		p.partial = false
		clear(p.admitted)
		clear(p.rate)
	}
	return p
}

// slowDown lowers the rates of the workspaces on which a peer did not decide since its last report.
func (p *peer) slowDown(listed map[string]bool) {
	for name, rate := range p.rate {
		if listed[name] {
			continue
		}
		if rate < 1 {
			delete(p.rate, name)
			continue
		}
		p.rate[name] = rate * (1 - rateShare)
	}
}

// giveBack returns what was set aside for a peer that reports again.
func (l *Limiter) giveBack(p *peer, now time.Time) {
	if p.aside == nil {
		return
	}
	for name, part := range p.aside {
		if b := l.buckets[name]; b != nil {
			l.refill(b, now)
			b.level = math.Min(b.level+part, b.burst)
		}
	}
	p.aside = nil
	l.quiet--
}

// debit takes what a peer admitted since its last report.
func (l *Limiter) debit(u Usage, admitted int64, now time.Time) {
	b := l.buckets[u.Workspace]
	if b == nil {
		return
	}
	l.refill(b, now)
	if b.fresh {
		b.fresh = false
		b.level = math.Min(float64(u.Level), b.burst)
		return
	}
	b.level = math.Min(b.level-float64(admitted), b.burst)
}

// Tick finds peers that fell silent or are gone.
func (l *Limiter) Tick(now time.Time) {
	for vm, p := range l.peers {
		age := now.Sub(p.lastSeen)
		if age > ForgetAfter {
			l.forget(vm)
			continue
		}
		if age > SilenceAfter && p.aside == nil {
			l.setAside(p, now)
		}
	}
}

// Left tells that a peer announced its end. Its share is free at once.
func (l *Limiter) Left(vm string) {
	l.forget(vm)
}

func (l *Limiter) setAside(p *peer, now time.Time) {
	_, total := l.silent()
	l.quiet++
	p.aside = make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(b, now)
		unreported := p.rate[name] * now.Sub(p.lastSeen).Seconds()
		part := unreported + math.Max(b.level-unreported, 0)/float64(total)
		b.level -= part
		p.aside[name] = part
	}
}
