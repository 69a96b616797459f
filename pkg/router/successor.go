package router

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/route"
)

// crashSilence is the time without an answer after which an engine counts as crashed.
const crashSilence = 4 * time.Second

// successor is the attempt that would follow one on a stalled engine. It holds what the run may change meanwhile.
type successor struct {
	run *chatRun
	// endpoint is the stalled engine, and version the weight version of its answer.
	endpoint, version string
	excluded          []string
	hasAttempt        bool
}

// reserve reports whether the request may go on at another engine, and takes a retry from the budget. As after a crash, no
// retry is needed once the engine has not answered for long.
func (s *successor) reserve(now time.Time) bool {
	if !s.hasAttempt || s.run.unresumable.Load() || !s.hasEngine(now) {
		return false
	}
	return s.run.r.engineSilentFor(s.endpoint, now) > crashSilence || s.run.r.takeRetry()
}

// hasEngine reports whether another engine serves the request.
func (s *successor) hasEngine(now time.Time) bool {
	c := s.run
	view := c.r.placementView(c.model, c.route.Adapter, s.version, false, now)
	return slices.ContainsFunc(view.Endpoints, func(e route.Endpoint) bool {
		return e.Serves && !e.Draining && !slices.Contains(s.excluded, e.Name)
	})
}
