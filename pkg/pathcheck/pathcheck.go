// Package pathcheck finds out why connections to an endpoint fail: it connects itself and, if that fails, asks other VMs.
package pathcheck

import (
	"context"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/reach"
)

const (
	// connectTimeout bounds an own probe.
	connectTimeout = 250 * time.Millisecond
	// askTimeout bounds the questions to peers, which connect with the same limit as this VM.
	askTimeout = 400 * time.Millisecond
	// answerValidity is the time for which the answer to a peer's question is given again without another connection.
	answerValidity = 200 * time.Millisecond
)

// Network connects to endpoints and asks peers. Its methods are called concurrently.
type Network interface {
	// Connect opens a connection to address, without sending anything.
	Connect(ctx context.Context, address string) reach.Probe
	// AskPeers returns what some live peers find. It is empty only if there are no live peers; a peer that does not answer counts
	// as reach.Unknown.
	AskPeers(ctx context.Context, e *fleet.Endpoint) []reach.Probe
}

// Result is the result of a check.
type Result struct {
	Endpoint *fleet.Endpoint
	Own      reach.Probe
	Peers    []reach.Probe
	Verdict  reach.Verdict
}

// running is a check in progress. done is closed once result is set.
type running struct {
	done   chan struct{}
	result Result
}

// answer is what a peer was told.
type answer struct {
	probe reach.Probe
	at    time.Time
}

// Checker checks paths. It is safe for concurrent use.
type Checker struct {
	network Network
	table   *reach.Table
	// conclude is called with the result of each check.
	conclude func(Result)
	now      func() time.Time

	mu      sync.Mutex
	checks  map[fleet.Incarnation]*running
	answers map[fleet.Incarnation]answer
}

// New returns a checker that records what it finds in a table and then calls conclude.
func New(n Network, t *reach.Table, now func() time.Time, conclude func(Result)) *Checker {
	return &Checker{
		network: n, table: t, conclude: conclude, now: now, checks: map[fleet.Incarnation]*running{},
		answers: map[fleet.Incarnation]answer{},
	}
}

// Check checks the path to an endpoint and returns the verdict, or reach.Unclear if ctx ends first; the check then goes on. own
// is the result of a connection that was just tried, or reach.Unknown. Simultaneous checks of one endpoint are one.
func (c *Checker) Check(ctx context.Context, e *fleet.Endpoint, own reach.Probe) reach.Verdict {
	r := c.begin(e, own)
	select {
	case <-r.done:
		return r.result.Verdict
	case <-ctx.Done():
		return reach.Unclear
	}
}

// begin starts a check, or joins the one in progress.
func (c *Checker) begin(e *fleet.Endpoint, own reach.Probe) *running {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.checks[e.Incarnation()]; r != nil {
		return r
	}
	r := &running{done: make(chan struct{})}
	c.checks[e.Incarnation()] = r
	go func() {
		r.result = c.run(e, own)
		c.mu.Lock()
		delete(c.checks, e.Incarnation())
		c.mu.Unlock()
		close(r.done)
	}()
	return r
}

// run checks a path.
func (c *Checker) run(e *fleet.Endpoint, own reach.Probe) Result {
	r := Result{Endpoint: e, Own: own}
	if own == reach.Unknown {
		r.Own = c.connect(e)
	}
	if r.Own != reach.Connected {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		r.Peers = c.network.AskPeers(ctx, e)
	}
	r.Verdict = reach.Judge(r.Own, r.Peers)
	switch r.Verdict {
	case reach.Open:
		c.table.RecordReached(e, c.now())
	case reach.CutOff:
		c.table.RecordCut(e, r.Own, c.now())
	case reach.Ended:
		c.table.RecordEnded(e)
	}
	c.conclude(r)
	return r
}

// connect probes an endpoint.
func (c *Checker) connect(e *fleet.Endpoint) reach.Probe {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	return c.network.Connect(ctx, e.Address)
}

// Reprobe connects again to an endpoint that counts as cut off, and reports whether it was reached.
func (c *Checker) Reprobe(e *fleet.Endpoint) bool {
	return c.connect(e) == reach.Connected && c.table.RecordReached(e, c.now())
}

// Answer connects to an endpoint for a peer. A refusal counts only if control, another endpoint of the service, accepts a
// connection before the endpoint refuses another one, see reach.Judge. control may be nil.
func (c *Checker) Answer(e, control *fleet.Endpoint) reach.Probe {
	c.mu.Lock()
	known, fresh := c.answers[e.Incarnation()]
	c.mu.Unlock()
	if fresh && c.now().Sub(known.at) < answerValidity {
		return known.probe
	}
	if !c.table.BeginAnswer(c.now()) {
		return reach.Unknown
	}
	probe := c.connect(e)
	if probe == reach.Refused {
		probe = c.confirmRefusal(e, control)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, a := range c.answers {
		if c.now().Sub(a.at) >= answerValidity {
			delete(c.answers, id)
		}
	}
	c.answers[e.Incarnation()] = answer{probe: probe, at: c.now()}
	return probe
}

// confirmRefusal returns what a refused connection to an endpoint is worth as evidence.
func (c *Checker) confirmRefusal(e, control *fleet.Endpoint) reach.Probe {
	if control == nil || c.connect(control) != reach.Connected {
		return reach.Unknown
	}
	return c.connect(e)
}
