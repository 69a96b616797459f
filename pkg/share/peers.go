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
	// rateShare is the weight of the newest exchange in a peer's rate.
	rateShare = 0.5
)

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
