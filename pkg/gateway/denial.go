package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// triedToVerify reports whether this VM has known at some time that its configuration was the newest, or could not find out since
// the store failed. A VM that starts takes the configuration of a peer, which may be behind. The caller holds the lock.
func (g *Gateway) triedToVerify(now time.Time) bool {
	g.configVerified = g.configVerified || g.knowsNewestConfig(now)
	return g.configVerified || g.streams[OperatorStream].failing || g.storeRestored
}

// denial returns how a request is refused that the configuration in force does not allow. While a newer configuration may exist
// that allows it, the caller is told to come back: another VM, or this one by then, knows.
func (g *Gateway) denial(refused *refusal.Error) *refusal.Error {
	g.mu.Lock()
	knows := g.knowsNewestConfig(g.now())
	g.mu.Unlock()
	if knows {
		return refused
	}
	return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeConfigUncertain, "%s, but a newer configuration may exist",
		refused.Message).WithRetryAfter(noConfigRetryAfter)
}
