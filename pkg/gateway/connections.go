package gateway

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/pkg/connlimit"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// connectionLimits holds this VM's shares of the connections that endpoints accept. It implements httpcall.Bounds. Its
// lock is taken after that of the gateway and those of the client.
type connectionLimits struct {
	pool *httpcall.Client

	mu    sync.Mutex
	table *connlimit.Table
}

// newConnectionLimits returns the shares of a VM whose process starts now.
func newConnectionLimits(vm string, pool *httpcall.Client) *connectionLimits {
	return &connectionLimits{pool: pool, table: connlimit.New(vm, steady.Now())}
}

// Bound implements httpcall.Bounds.
func (c *connectionLimits) Bound(address string) (connections int, bounded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Share(address, steady.Now())
}

// shareOf returns this VM's share of an endpoint's limit and keeps to it from now on.
func (c *connectionLimits) shareOf(e *fleet.Endpoint, limit int, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Track(connlimit.Endpoint{Incarnation: e.Incarnation(), Address: e.Address, Limit: limit})
	share, _ := c.table.Share(e.Address, now)
	return share
}

// judgeEnding decides whether an endpoint refused a connection for its limit.
func (c *connectionLimits) judgeEnding(x connlimit.Ending, now time.Time) connlimit.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.JudgeEnding(x, now)
}

// update applies the known VMs and drops the endpoints for which keep returns false. It reports whether the VMs that share
// the limits changed.
func (c *connectionLimits) update(m connlimit.Members, keep func(connlimit.Endpoint) bool, now time.Time) (connlimit.Usage, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.table.SetMembers(m)
	c.table.Retain(keep)
	return c.table.Usage(now), changed
}

// placementConnections implements place.Connections for a service with a limit.
type placementConnections struct {
	limits *connectionLimits
	limit  int
}

// To implements place.Connections. Requests that were placed may not have their connections yet, and connections are also
// used for reports, orders and cache events, so the larger of both numbers counts.
func (p placementConnections) To(e *fleet.Endpoint, running int, now time.Time) place.ConnectionState {
	open := p.limits.pool.Connections(e.Address)
	return place.ConnectionState{
		Room: max(open.InUse, running) < p.limits.shareOf(e, p.limit, now),
		Idle: open.Idle > 0,
	}
}

// connectionMembers returns the VMs that may hold connections: this one, those that sent a digest within forgetPeerAfter,
// since a VM that is cut off continues to send, and those that were registered but not heard yet. A VM that announced
// that it stops counts until its grace has passed. The caller holds the lock.
func (g *Gateway) connectionMembers(now time.Time) connlimit.Members {
	grace := time.Duration(g.settings.GraceSeconds * float64(time.Second))
	m := connlimit.Members{Names: []string{g.settings.VM}, Unknown: len(g.peers) == 0 && !g.registrationsRead}
	for name, p := range g.peers {
		if !p.leaving || now.Sub(p.lastSeen) < grace {
			m.Names = append(m.Names, name)
		}
	}
	for name, vm := range g.vms {
		if g.peers[name] == nil && now.Sub(vm.since) < forgetPeerAfter {
			m.Names = append(m.Names, name)
		}
	}
	slices.Sort(m.Names)
	return m
}

// updateConnectionShares recomputes this VM's shares of the connections that endpoints accept. The caller holds the lock.
func (g *Gateway) updateConnectionShares(now time.Time) {
	config := g.config.Load()
	keep := func(x connlimit.Endpoint) bool {
		e := g.endpoints.Get(x.ID)
		if e == nil || e.Address != x.Address || config == nil {
			return false
		}
		s := config.Services[e.Service]
		return s != nil && s.ConnectionLimit > 0
	}
	members := g.connectionMembers(now)
	usage, changed := g.connections.update(members, keep, now)
	if changed && usage.Endpoints > 0 {
		g.log.info(partPeer).Int("vms", len(members.Names)).Int("endpoints", usage.Endpoints).Int("limits", usage.Limits).
			Int("shares", usage.Shares).Msg("VMs that share connection limits changed")
	}
	g.metrics.set("connection_limited_endpoints", float64(usage.Endpoints))
	g.metrics.set("connection_limits", float64(usage.Limits))
	g.metrics.set("connection_shares", float64(usage.Shares))
}

// sweepConnections closes idle connections that are beyond this VM's shares or may not be reused, until the process ends.
func (g *Gateway) sweepConnections() {
	for g.sleep(httpcall.SweepInterval) {
		g.metrics.counters.Add("idle_connections_closed_total", int64(g.http.Sweep()))
	}
}

// recordConnection records whether an attempt used a new connection.
func (g *Gateway) recordConnection(t *target, stream *httpcall.Stream, err error) {
	var failed *httpcall.Error
	switch {
	case err == nil:
		t.reused = stream.Reused
	case httpcall.NeverWritten(err):
		return
	case errors.As(err, &failed):
		t.reused = failed.Reused
	}
	if t.reused {
		g.metrics.count("connections_reused_total")
		return
	}
	g.metrics.count("connections_opened_total")
}

// judgeEnding returns the result of an attempt that failed with err. If the endpoint refused the connection for its limit,
// the attempt counts as one at an endpoint without room. The request may have run all the same, unless the connection was
// reset before a byte of it was written.
func (g *Gateway) judgeEnding(r *request, t *target, res attemptResult, err error) attemptResult {
	var failed *httpcall.Error
	if res.outcome != place.Broken && res.outcome != place.Unreachable || t.service.ConnectionLimit == 0 {
		return res
	}
	if !errors.As(err, &failed) || !failed.Unanswered {
		return res
	}
	e := t.choice.Endpoint
	x := connlimit.Ending{
		Address: e.Address, Reused: failed.Reused, Accepted: g.http.Connections(e.Address).InUse, Slots: e.Slots,
		Took: steady.Since(t.sentAt),
	}
	if t.service.Engine != nil {
		x.Slots = t.service.Engine.Slots
	}
	now := steady.Now()
	g.mu.Lock()
	x.Running = g.placer.Running(e.ID)
	age := g.oldestDigest(now)
	g.mu.Unlock()
	v := g.connections.judgeEnding(x, now)
	if v.AtLimit {
		res.outcome = place.ConnectionRefused
		g.metrics.count("connection_resets_at_limit_total")
	}
	g.log.info(partEndpoint).Str("request", r.call.ID).Str("endpoint", e.ID).Int64("start", e.StartTimeMs).
		Bool("at_limit", v.AtLimit).Int("limit", v.Limit).Int("share", v.Share).Int("next_share", v.NextShare).
		Int("accepted", x.Accepted).Int("running", x.Running).Int("slots", x.Slots).Bool("reused", x.Reused).
		Dur("took_ms", x.Took).Dur("digests_age_ms", age).Err(err).Msg("endpoint reset a connection before an answer")
	return res
}

// oldestDigest returns the age of the oldest newest digest of the live peers, or zero without peers. The caller holds the
// lock.
func (g *Gateway) oldestDigest(now time.Time) time.Duration {
	var oldest time.Duration
	for _, p := range g.peers {
		if p.live(now) {
			oldest = max(oldest, now.Sub(p.lastSeen))
		}
	}
	return oldest
}
