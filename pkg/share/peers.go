package share

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// SilenceAfter is the age of a peer's last report at which its share is reserved. It covers several lost datagrams.
	SilenceAfter = 1200 * time.Millisecond
	// ForgetAfter is the age of a peer's last report at which the peer is dropped and its share released.
	ForgetAfter = 20 * time.Second
	// peerRateWeight is the weight of the newest report interval in a peer's rates.
	peerRateWeight = 0.5
)

// peer is the state of another VM as known from its reports.
type peer struct {
	boot     uint64
	lastSeen time.Time
	admitted map[string]int64
	// rate is a moving average of what the peer admitted, in tokens per second, by workspace.
	rate map[string]float64
	// reserved is the number of tokens reserved for the peer while it is silent, by workspace. Nil while the peer
	// reports.
	reserved map[string]float64
	// awaitingFullReport is set until the first report that lists all workspaces, for a peer whose process may have run
	// before this VM received reports from it.
	awaitingFullReport bool
}

// countSilent returns the number of silent peers and the number of VMs that share the rate, which includes this one.
func (l *Limiter) countSilent() (silentPeers, total int) {
	return l.silentPeers, len(l.peers) + 1
}

// dropPeer removes a peer without touching the buckets.
func (l *Limiter) dropPeer(vm string) {
	if p := l.peers[vm]; p != nil && p.reserved != nil {
		l.silentPeers--
	}
	delete(l.peers, vm)
}

// unreported estimates the tokens that the reporting peers admitted since their last reports, from their rates.
func (l *Limiter) unreported(workspace string, now time.Time) float64 {
	sum := 0.0
	for _, p := range l.peers {
		if p.reserved == nil {
			sum += p.rate[workspace] * math.Max(now.Sub(p.lastSeen).Seconds(), 0)
		}
	}
	return sum
}

// Report is the usage that a peer reports.
type Report struct {
	VM string
	// Boot identifies the peer's process.
	Boot  uint64
	Usage []Usage
	// All reports whether Usage lists every workspace, so that this process of the peer did not use a workspace that is
	// missing.
	All bool
}

// ApplyReport deducts what a peer admitted since its last report and updates its rates. The counts of workspaces that
// are not listed stay unchanged.
func (l *Limiter) ApplyReport(r Report, now time.Time) {
	p := l.peerFor(r, now)
	elapsed := now.Sub(p.lastSeen).Seconds()
	p.lastSeen = now
	l.releaseReserve(p, now)
	listed := make(map[string]bool, len(r.Usage))
	for _, u := range r.Usage {
		listed[u.Workspace] = true
		last, known := p.admitted[u.Workspace]
		p.admitted[u.Workspace] = u.Admitted
		if !known && p.awaitingFullReport {
			// What the process admitted before this VM received its reports is not charged to the present level.
			last = u.Admitted
		}
		if elapsed > 0 {
			lately := math.Max(float64(u.Admitted-last)/elapsed, 0)
			p.rate[u.Workspace] += (lately - p.rate[u.Workspace]) * peerRateWeight
		}
		l.debit(u, u.Admitted-last, now)
	}
	if elapsed > 0 {
		p.decayRates(listed)
	}
	p.awaitingFullReport = p.awaitingFullReport && !r.All
}

// peerFor returns the state of the peer that sent a report and creates it if needed. A new process of the peer resets
// its counts.
func (l *Limiter) peerFor(r Report, now time.Time) *peer {
	p := l.peers[r.VM]
	if p == nil {
		p = &peer{boot: r.Boot, admitted: map[string]int64{}, rate: map[string]float64{}, lastSeen: now, awaitingFullReport: true}
		l.peers[r.VM] = p
	}
	if p.boot != r.Boot {
		// The counts of a new process start from zero.
		p.boot = r.Boot
		p.awaitingFullReport = false
		clear(p.admitted)
		clear(p.rate)
	}
	return p
}

// decayRates lowers the rates of the workspaces that a peer's report does not list.
func (p *peer) decayRates(listed map[string]bool) {
	for name, rate := range p.rate {
		if listed[name] {
			continue
		}
		if rate < 1 {
			delete(p.rate, name)
			continue
		}
		p.rate[name] = rate * (1 - peerRateWeight)
	}
}

// releaseReserve returns the reserved tokens of a peer that reports again to the buckets.
func (l *Limiter) releaseReserve(p *peer, now time.Time) {
	if p.reserved == nil {
		return
	}
	for name, part := range p.reserved {
		if b := l.buckets[name]; b != nil {
			l.refill(b, now)
			b.level = math.Min(b.level+part, b.burst)
		}
	}
	p.reserved = nil
	l.silentPeers--
}

// debit deducts what a peer admitted from the bucket of a workspace. The first report on a bucket that is uncorrected
// sets its level instead.
func (l *Limiter) debit(u Usage, admitted int64, now time.Time) {
	b := l.buckets[u.Workspace]
	if b == nil {
		return
	}
	l.refill(b, now)
	if b.uncorrected {
		b.uncorrected = false
		b.level = math.Min(float64(u.Level), b.burst)
		return
	}
	b.level = math.Min(b.level-float64(admitted), b.burst)
}

// UpdateSilence reserves the shares of peers that fell silent and drops those that are silent for longer than
// ForgetAfter.
func (l *Limiter) UpdateSilence(now time.Time) {
	// The order decides what is left for the next one to reserve.
	for _, vm := range slices.Sorted(maps.Keys(l.peers)) {
		p := l.peers[vm]
		age := now.Sub(p.lastSeen)
		if age > ForgetAfter {
			l.dropPeer(vm)
			continue
		}
		if age > SilenceAfter && p.reserved == nil {
			l.reserve(p, now)
		}
	}
}

// PeerLeft drops a peer that announced its shutdown. Its share is released at once.
func (l *Limiter) PeerLeft(vm string) {
	l.dropPeer(vm)
}

// reserve deducts what a silent peer may have admitted since its last report and its equal share of the remaining
// tokens.
func (l *Limiter) reserve(p *peer, now time.Time) {
	_, total := l.countSilent()
	l.silentPeers++
	p.reserved = make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(b, now)
		unreported := p.rate[name] * now.Sub(p.lastSeen).Seconds()
		part := unreported + math.Max(b.level-unreported, 0)/float64(total)
		b.level -= part
		p.reserved[name] = part
	}
}
