package router

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/route"
)

// placeWithin chooses an engine. An accused request waits a bounded time for an engine without another accused
// request, then shares one.
func (c *chatRun) placeWithin(suspect bool) (route.Placement, *refusal.Error) {
	if suspect && c.apartUntil.IsZero() {
		c.apartUntil = time.Now().Add(suspectWait)
	}
	for suspect && time.Now().Before(c.apartUntil) {
		placed, ref := c.place(true)
		if ref == nil {
			return placed, nil
		}
		select {
		case <-time.After(suspectPoll):
		case <-c.ctx.Done():
			return placed, endCause(c.ctx)
		}
	}
	return c.place(false)
}

// place chooses an engine. apart keeps the request from engines on which an accused request runs.
func (c *chatRun) place(apart bool) (route.Placement, *refusal.Error) {
	now := time.Now()
	view := c.r.view(c.model, c.route.Adapter, c.version, apart, now)
	request := c.placeRequest()
	placed := read(&c.r.placer, func(p *placement) route.Placement { return p.placer.Place(request, view, now) })
	if !placed.Found() {
		ref := refusal.New(statusUnavailable, refusal.CodeNoEndpoint, "no engine can serve model %s now", c.model.Name)
		return placed, ref.After(time.Second)
	}
	return placed, nil
}

func (c *chatRun) placeRequest() route.Request {
	return route.Request{
		ID:             c.number,
		Hashes:         c.hashes,
		PartialBlock:   float64(len(c.prompt)%c.model.BlockBytes) / float64(c.model.BlockBytes),
		MicrosPerBlock: c.model.PrefillMicrosPerBlock,
		Exclude:        c.excluded,
		HeldFor:        c.held,
	}
}

// waitBehind waits for the first token of the request that computes the shared prefix.
func (c *chatRun) waitBehind(placed route.Placement) {
	first := read(&c.r.placer, func(p *placement) chan struct{} {
		return p.first[placed.WaitForRequest]
	})
	began := time.Now()
	defer func() { c.held += max(time.Since(began), time.Millisecond) }()
	if first == nil {
		return
	}
	select {
	case <-first:
	case <-time.After(placed.Wait):
	case <-c.ctx.Done():
	}
}
