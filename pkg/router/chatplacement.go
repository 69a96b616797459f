package router

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/route"
)

// placeWithWait chooses an engine. An accused request waits a bounded time for an engine without another accused
// request, then shares one.
func (c *chatRun) placeWithWait(accused bool) (route.Placement, *refusal.Error) {
	if accused && c.exclusiveUntil.IsZero() {
		c.exclusiveUntil = time.Now().Add(exclusiveWait)
	}
	for accused && time.Now().Before(c.exclusiveUntil) {
		placed, ref := c.place(true)
		if ref == nil {
			return placed, nil
		}
		select {
		case <-time.After(exclusivePollInterval):
		case <-c.ctx.Done():
			return placed, cancelRefusal(c.ctx)
		}
	}
	return c.place(false)
}

// place chooses an engine. With exclusive set, it excludes engines on which an accused request runs.
func (c *chatRun) place(exclusive bool) (route.Placement, *refusal.Error) {
	now := time.Now()
	view := c.r.placementView(c.model, c.route.Adapter, c.version, exclusive, now)
	request := c.placementRequest()
	placed := locked(&c.r.placer, func(p *placementTable) route.Placement { return p.placer.Place(request, view, now) })
	if !placed.Found() {
		ref := refusal.New(statusUnavailable, refusal.CodeNoEndpoint, "no engine can serve model %s now", c.model.Name)
		return placed, ref.WithRetryAfter(time.Second)
	}
	return placed, nil
}

// placementRequest returns the request in the form that the placer takes.
func (c *chatRun) placementRequest() route.Request {
	return route.Request{
		ID:             c.requestNumber,
		Hashes:         c.hashes,
		PartialBlock:   float64(len(c.prompt)%c.model.BlockBytes) / float64(c.model.BlockBytes),
		MicrosPerBlock: c.model.PrefillMicrosPerBlock,
		Exclude:        c.excluded,
		HeldFor:        c.heldFor,
	}
}

// waitForPrefix waits for the first token of the request that computes the shared prefix.
func (c *chatRun) waitForPrefix(placed route.Placement) {
	firstToken := locked(&c.r.placer, func(p *placementTable) chan struct{} {
		return p.firstToken[placed.WaitForRequest]
	})
	waitStart := time.Now()
	defer func() { c.heldFor += max(time.Since(waitStart), time.Millisecond) }()
	if firstToken == nil {
		return
	}
	select {
	case <-firstToken:
	case <-time.After(placed.Wait):
	case <-c.ctx.Done():
	}
}
