package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/pathcheck"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/reach"
	"github.com/corneldeal/corneldeal/pkg/socketqueue"
)

const (
	// suspicionDelay is the time for which a request stays unacknowledged before the path to its endpoint is checked.
	suspicionDelay = 250 * time.Millisecond
	// verdictTimeout bounds the time for which an attempt whose connection broke waits to learn why.
	verdictTimeout = 600 * time.Millisecond
	// peersAskedForPath is the number of peers that are asked whether they reach an endpoint.
	peersAskedForPath = 3
	// forgetPathsInterval is the interval at which the paths to endpoints that are gone are forgotten.
	forgetPathsInterval = 5 * time.Second
)

// errPathLost means that this VM lost its path to an endpoint that others reach.
var errPathLost = errors.New("gateway: this VM is cut off from the endpoint")

// pathNetwork implements pathcheck.Network.
type pathNetwork struct {
	g *Gateway
}

// Connect implements pathcheck.Network.
func (n pathNetwork) Connect(ctx context.Context, address string) reach.Probe {
	return probeOf(n.g.http.Listens(ctx, address))
}

// probeOf returns what the result of a connection attempt shows.
func probeOf(err error) reach.Probe {
	switch {
	case err == nil:
		return reach.Connected
	case httpcall.IsClosedByServer(err):
		return reach.Refused
	}
	return reach.TimedOut
}

// AskPeers implements pathcheck.Network.
func (n pathNetwork) AskPeers(ctx context.Context, e *fleet.Endpoint) []reach.Probe {
	peers := n.g.randomPeers(peersAskedForPath)
	answers := make(chan reach.Probe, len(peers))
	for _, p := range peers {
		go func() {
			req := &gossip.ProbeRequest{Endpoint: e.ID, Born: e.StartTimeMs}
			resp, err := n.g.relayClients.Probe(ctx, n.g.peerAddress(p.Address), req)
			if err != nil {
				n.g.metrics.count("path_questions_failed_total")
			}
			answers <- reach.ParseProbe(resp.GetResult())
		}()
	}
	out := make([]reach.Probe, 0, len(peers))
	for range peers {
		out = append(out, <-answers)
	}
	return out
}

// helpers returns the live peers, each of which may answer questions and send requests for this VM. The caller holds the lock.
func (g *Gateway) helpers(now time.Time) []reach.Peer {
	out := make([]reach.Peer, 0, len(g.peers))
	for _, p := range sorted(g.peers) {
		if p.live(now) {
			out = append(out, reach.Peer{VM: p.vm, Address: p.address})
		}
	}
	return out
}

// randomPeers returns at most count live peers, chosen at random.
func (g *Gateway) randomPeers(count int) []reach.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	peers := g.helpers(g.now())
	g.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// concludePath counts the result of a check. Unless the endpoint accepts connections, it also logs and applies the result.
func (g *Gateway) concludePath(r pathcheck.Result) {
	e := r.Endpoint
	g.metrics.count("path_checks_" + r.Verdict.String() + "_total")
	if r.Verdict == reach.Open {
		return
	}
	peers := make([]string, 0, len(r.Peers))
	for _, p := range r.Peers {
		peers = append(peers, p.String())
	}
	g.log.info(partPath).Str("endpoint", e.ID).Str("service", e.Service).Str("own", r.Own.String()).Strs("peers", peers).
		Str("verdict", r.Verdict.String()).Msg("path checked")
	switch r.Verdict {
	case reach.CutOff:
		if r.Own == reach.TimedOut {
			// Where new connections time out, those that are already open hang too.
			g.metrics.counters.Add("idle_connections_closed_total", int64(g.http.CloseIdle(e.Address)))
		}
		g.reportCutServices()
	case reach.Ended:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.recordEnded(e, g.now())
	}
}

// reportCutServices updates the gauges of endpoints and services that this VM does not reach, and logs each service that it has
// just lost as a whole or reaches again.
func (g *Gateway) reportCutServices() {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	cut := g.paths.Cut()
	for service, count := range cut {
		total += count
		usable := len(g.endpoints.Usable(service))
		if !g.cutServices[service] && g.paths.CutOff(service, usable) {
			g.cutServices[service] = true
			g.log.warn(partPath).Str("service", service).Int("endpoints", count).Int("usable", usable).
				Msg("cut off from a service, its requests go through peers")
		}
	}
	for service := range g.cutServices {
		if !g.paths.CutOff(service, len(g.endpoints.Usable(service))) {
			delete(g.cutServices, service)
			g.log.warn(partPath).Str("service", service).Int("endpoints", cut[service]).Msg("service is reached again")
		}
	}
	g.metrics.set("endpoints_cut_off", float64(total))
	g.metrics.set("services_cut_off", float64(len(g.cutServices)))
}

// checkPath starts a check of the path to an endpoint from which nothing has arrived since the given time, unless reach.Table
// holds it back. own is the result of a connection that was just tried, or reach.Unknown.
func (g *Gateway) checkPath(e *fleet.Endpoint, own reach.Probe, since time.Time) {
	if g.paths.BeginCheck(e, since, g.now()) {
		go g.pathChecks.Check(g.ctx, e, own)
	}
}

// watchPath checks the path to an endpoint if, after suspicionDelay, its host has not acknowledged all bytes of the request that
// were written to the connection. The function that it returns ends the watch.
func (g *Gateway) watchPath(t *target, c net.Conn) (stop func() bool) {
	return time.AfterFunc(suspicionDelay, func() {
		if socketqueue.Unacknowledged(c) > 0 {
			g.checkPath(t.choice.Endpoint, reach.Unknown, g.now().Add(-suspicionDelay))
		}
	}).Stop
}

// recordArrival records that something arrived from an endpoint on a connection of this VM. reused is set unless the connection
// was opened for this request.
func (g *Gateway) recordArrival(e *fleet.Endpoint, reused bool) {
	if reused {
		g.paths.RecordReceived(e, g.now())
		return
	}
	g.paths.RecordReached(e, g.now())
}

// judgePath finds out whether an attempt failed because this VM lost its path to the endpoint, and returns the result. Such a
// failure shows nothing about the endpoint, so its outcome becomes neutral.
func (g *Gateway) judgePath(r *request, t *target, res attemptResult) attemptResult {
	e := t.choice.Endpoint
	switch {
	case t.throughPeer.Load():
		res.pathLost = failedOnPath(res)
		if res.outcome == place.Broken && !errors.Is(res.err, errLostAtPeer) {
			g.forwarders.RecordRefusal(t.peer, e.Service, reach.PeerUnreachable, g.now())
		}
	case g.routeTo(t) != reach.Direct:
		res.pathLost = failedOnPath(res)
	case res.outcome == place.Unreachable:
		g.checkPath(e, probeOf(res.err), t.sentAt)
	case mayHaveEnded(res) && (res.outcome == place.Broken || r.isResumable()):
		ctx, cancel := context.WithTimeout(r.exchange.Context(), verdictTimeout)
		defer cancel()
		verdict := g.pathChecks.Check(ctx, e, reach.Unknown)
		lost := verdict == reach.CutOff || verdict == reach.Unclear && g.hasLivePeers()
		res.pathLost = lost && res.outcome == place.Broken
	}
	if res.pathLost {
		res.outcome = place.Neutral
		res.err = errors.Join(errPathLost, res.err)
		g.metrics.count("attempts_path_lost_total")
	}
	return res
}

// failedOnPath reports whether an attempt failed as it does where the path to the endpoint is lost.
func failedOnPath(res attemptResult) bool {
	switch res.outcome {
	case place.Broken, place.TimedOut, place.Unreachable:
		return true
	}
	return false
}

// hasLivePeers reports whether another VM is live.
func (g *Gateway) hasLivePeers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, p := range g.peers {
		if p.live(now) {
			return true
		}
	}
	return false
}

// routeTo returns how a request gets to the endpoint of an attempt now.
func (g *Gateway) routeTo(t *target) reach.Route {
	return g.paths.RouteTo(t.choice.Endpoint, t.usable)
}

// maintainPaths probes endpoints that are cut off, and forgets those that are gone, until the process ends.
func (g *Gateway) maintainPaths() {
	forgotten := g.now()
	for g.sleep(pathProbeInterval) {
		now := g.now()
		if len(g.paths.Cut()) > 0 {
			g.probePaths(now)
		}
		if now.Sub(forgotten) >= forgetPathsInterval {
			forgotten = now
			g.forgetPaths()
		}
	}
}

// pathProbeInterval is the interval at which endpoints that are cut off are looked at.
const pathProbeInterval = 200 * time.Millisecond

// probePaths probes the endpoints that are due.
func (g *Gateway) probePaths(now time.Time) {
	g.mu.Lock()
	var cut []*fleet.Endpoint
	for service := range g.paths.Cut() {
		cut = append(cut, g.endpoints.Usable(service)...)
	}
	g.mu.Unlock()
	for _, e := range g.paths.DueProbes(cut, now) {
		go g.probePath(e)
	}
}

// probePath connects to an endpoint to find out whether this VM reaches it again.
func (g *Gateway) probePath(e *fleet.Endpoint) {
	g.metrics.count("path_probes_total")
	began := g.now()
	probe := g.pathChecks.Reprobe(e)
	if probe != reach.Connected {
		// It may have ended since it was cut off, which only a check with peers shows.
		g.checkPath(e, probe, began)
		return
	}
	g.log.info(partPath).Str("endpoint", e.ID).Str("service", e.Service).Msg("endpoint is reached")
	g.reportCutServices()
}

// forgetPaths forgets the paths to endpoints that are gone.
func (g *Gateway) forgetPaths() {
	g.mu.Lock()
	g.paths.Retain(func(id fleet.Incarnation) bool {
		e := g.endpoints.Get(id.ID)
		return e != nil && e.Incarnation() == id
	})
	g.mu.Unlock()
	g.reportCutServices()
}
