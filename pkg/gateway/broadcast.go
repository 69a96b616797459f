package gateway

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

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
)

// sendDigests tells the peers what this VM knows, regularly and when something changed.
func (g *Gateway) sendDigests() {
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
		g.sendDigest()
	}
}

// digestPauses returns the least and the longest time between two digests.
func (g *Gateway) digestPauses() (least, most time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.large() {
		return digestMinPause, digestPause
	}
	return digestMinPauseLarge, digestPauseLarge
}

func (g *Gateway) sendDigest() {
	now := steady.Now()
	g.mu.Lock()
	g.expire(now)
	out := g.heartbeat(g.nextDigest(), now)
	ask := g.peerWithCrashes(now)
	verdicts := g.verdictsToSave(now)
	g.mu.Unlock()
	g.send(out)
	if ask != nil {
		go g.fetchFrom(ask.vm, ask.address)
	}
	if len(verdicts) > 0 {
		go g.writeVerdicts(verdicts)
	}
}

// nextDigest numbers the digests of this process. The caller holds the lock.
func (g *Gateway) nextDigest() uint64 {
	g.digests++
	return g.digests
}

// sendCollected sends what this VM collects as a hub.
func (g *Gateway) sendCollected() {
	for g.sleep(hubPause) {
		now := steady.Now()
		g.mu.Lock()
		out := g.flush(g.nextDigest, now)
		g.mu.Unlock()
		g.send(out)
	}
}

// sendLeaving tells the peers that this process ends.
func (g *Gateway) sendLeaving() {
	now := steady.Now()
	g.mu.Lock()
	digest := g.digest(lastSequence, now)
	digest.Leaving = true
	batch := &gossip.Batch{Digests: []*gossip.Digest{digest}}
	out := []outgoing{{batch: batch, to: g.allVMs(1, now)}}
	if g.large() {
		near := &gossip.Batch{Digests: batch.Digests}
		far := &gossip.Batch{Digests: batch.Digests, Spread: gossip.Spread_SPREAD_DATA_CENTRE}
		out = []outgoing{{batch: near, to: g.nearVMs(now)}, {batch: far, to: g.farHubs(now)}}
	}
	g.mu.Unlock()
	g.send(out)
}

// send sends datagrams. It is called without the lock.
func (g *Gateway) send(out []outgoing) {
	for _, o := range out {
		if len(o.to) == 0 {
			continue
		}
		datagram, err := gossip.Encode(o.batch)
		if half := len(o.batch.GetDigests()) / 2; len(datagram) > gossip.MaxBatchBytes && half > 0 {
			g.send(o.halves(half))
			continue
		}
		if err == nil && len(datagram) > gossip.MaxBatchBytes {
			datagram, err = g.encodeLong(o)
		}
		if err != nil {
			g.log.warn(partPeer).Err(err).Msg("digests not sent")
			continue
		}
		for _, address := range o.to {
			if err := g.socket.Send(address, datagram); err != nil {
				g.metrics.count("digest_send_errors_total")
			}
		}
		g.metrics.counters.Add("digest_bytes_total", int64(len(datagram)*len(o.to)))
	}
}

// errLongDigest means that a digest fits into no datagram, even without the parts that can be left out.
var errLongDigest = errors.New("gateway: digest is too long")

// encodeLong returns the datagram of one digest that is too long, in part.
func (g *Gateway) encodeLong(o outgoing) ([]byte, error) {
	g.metrics.count("digests_too_long_total")
	short := o.shortened()
	datagram, err := gossip.Encode(short)
	if err == nil && len(datagram) > gossip.MaxBatchBytes {
		err = errLongDigest
	}
	g.log.warn(partPeer).Int("bytes", proto.Size(o.batch)).Int("sent", len(datagram)).Err(err).
		Msg("digest is too long, sent in part")
	return datagram, err
}

// halves splits a batch.
func (o outgoing) halves(at int) []outgoing {
	digests, spread := o.batch.GetDigests(), o.batch.GetSpread()
	return []outgoing{
		{batch: &gossip.Batch{Digests: digests[:at], Spread: spread}, to: o.to},
		{batch: &gossip.Batch{Digests: digests[at:], Spread: spread}, to: o.to},
	}
}

// shortened returns a batch of one digest that is too long without the parts that receivers can do without or learn
// otherwise, least important first, so that its VM does not look silent.
func (o outgoing) shortened() *gossip.Batch {
	d := proto.CloneOf(o.batch.GetDigests()[0])
	short := &gossip.Batch{Digests: []*gossip.Digest{d}, Spread: o.batch.GetSpread()}
	for _, leaveOut := range []func(){
		func() { d.Placed = nil },
		func() { d.Neighbours = nil },
		func() { d.Versions = nil },
		func() { d.Loads = nil },
		func() { d.Accusations = nil },
		func() { d.Announcements = nil },
		func() { d.Departures = nil },
	} {
		if proto.Size(short) <= gossip.MaxBatchBytes {
			break
		}
		leaveOut()
	}
	return short
}
