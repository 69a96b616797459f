package gateway

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// digestPause is the longest pause between two digests, and digestPauseLarge the same in a large system. Three of
	// them fit into holderSilence and share.SilenceAfter.
	digestPause      = 250 * time.Millisecond
	digestPauseLarge = 360 * time.Millisecond
	// digestMinPause is the least time between two digests, and digestMinPauseLarge the same in a large system.
	digestMinPause      = 25 * time.Millisecond
	digestMinPauseLarge = 120 * time.Millisecond
	// largeSystem is the number of peers from which digests go to another data centre once and are forwarded there.
	largeSystem = 24
	// dropAfter is the age at which digests to a silent address become rare.
	dropAfter = 30 * time.Second
	// rareDigests is the share of digests that a silent address still gets.
	rareDigests = 40
)

// sendDigests tells the peers what this VM knows, regularly and when something changed.
func (g *Gateway) sendDigests() {
	var sequence uint64
	for {
		least, most := g.digestPauses()
		if !g.sleep(least) {
			return
		}
		select {
		case <-g.ctx.Done():
			return
		case <-g.digestDue:
		case <-time.After(most - least):
		}
		sequence++
		g.sendDigest(sequence)
	}
}

// digestPauses returns the least and the longest time between two digests.
func (g *Gateway) digestPauses() (least, most time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.addresses) < largeSystem {
		return digestMinPause, digestPause
	}
	return digestMinPauseLarge, digestPauseLarge
}

func (g *Gateway) sendDigest(sequence uint64) {
	now := steady.Now()
	g.mu.Lock()
	g.expire(now)
	digest := g.digest(sequence, now)
	to := g.recipients(sequence, now)
	g.mu.Unlock()
	g.broadcast(digest, to)
}

// sendLeaving tells the peers that this process ends.
func (g *Gateway) sendLeaving() {
	now := steady.Now()
	g.mu.Lock()
	digest := g.digest(lastSequence, now)
	to := g.recipients(0, now)
	g.mu.Unlock()
	digest.Leaving = true
	g.broadcast(digest, to)
}

// recipients are the addresses for one digest.
type recipients struct {
	// direct get it for themselves, relays forward it within their data centres.
	direct, relays []netip.AddrPort
}

func (g *Gateway) broadcast(digest *gossip.Digest, to recipients) {
	g.sendTo(digest, to.direct)
	if len(to.relays) > 0 {
		digest.Forward = true
		g.sendTo(digest, to.relays)
	}
}

func (g *Gateway) sendTo(digest *gossip.Digest, addresses []netip.AddrPort) {
	datagram, err := gossip.Encode(digest)
	if err != nil || len(datagram) > gossip.MaxDigestBytes {
		g.log.warn(partPeer).Int("bytes", len(datagram)).Err(err).Msg("digest not sent")
		return
	}
	for _, address := range addresses {
		if err := g.socket.Send(address, datagram); err != nil {
			g.metrics.count("digest_send_errors_total")
		}
	}
	g.metrics.counters.Add("digest_bytes_total", int64(len(datagram)*len(addresses)))
}

// recipients returns the addresses for this digest. Addresses that were silent for long get few. In a large system one
// live VM of each other data centre, drawn anew each time, forwards it there. The caller holds the lock.
func (g *Gateway) recipients(sequence uint64, now time.Time) recipients {
	var out recipients
	far := map[string][]netip.AddrPort{}
	for vm, ip := range g.addresses {
		p := g.peers[vm]
		if p != nil && now.Sub(p.lastSeen) > dropAfter && sequence%rareDigests != 0 {
			continue
		}
		addr, err := netip.ParseAddr(ip)
		if err != nil {
			delete(g.addresses, vm)
			continue
		}
		address := netip.AddrPortFrom(addr, uint16(g.settings.PeerPort))
		if len(g.addresses) >= largeSystem && p != nil && p.live(now) && p.dataCentre != g.settings.DataCentre {
			far[p.dataCentre] = append(far[p.dataCentre], address)
			continue
		}
		out.direct = append(out.direct, address)
	}
	for _, addresses := range far {
		out.relays = append(out.relays, addresses[rand.N(len(addresses))])
	}
	return out
}

// forwardDigest sends a peer's digest to the other VMs of this data centre.
func (g *Gateway) forwardDigest(d *gossip.Digest, now time.Time) {
	g.mu.Lock()
	var to []netip.AddrPort
	for _, p := range g.peers {
		if p.vm == d.GetVm() || p.dataCentre != g.settings.DataCentre || now.Sub(p.lastSeen) > dropAfter {
			continue
		}
		if addr, err := netip.ParseAddr(p.address); err == nil {
			to = append(to, netip.AddrPortFrom(addr, uint16(g.settings.PeerPort)))
		}
	}
	g.mu.Unlock()
	d.Forward = false
	g.sendTo(d, to)
}
