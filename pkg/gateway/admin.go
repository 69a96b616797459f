package gateway

import (
	"cmp"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// ready reports whether the gateway can serve callers.
func (g *Gateway) ready() bool {
	if g.leaving.Load() || g.config.Load() == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.streams[EndpointStream].synced && g.triedToVerify(g.now())
}

// serveAdmin answers the readiness probe, the metrics page and explanations of decisions.
func (g *Gateway) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case g.platform.Wire.ReadyPath():
		if !g.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case "/metrics":
		ctx.SetContentType("text/plain; charset=utf-8")
		g.metrics.write(ctx)
	case explainPath:
		if !g.isMetricsListener(ctx) {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		g.serveExplain(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// defaultLimits apply where the configuration sets no others.
var defaultLimits = traffic.Limits{
	HeaderBytes:   settings.DefaultMaxHeaderBytes,
	BodyBytes:     settings.DefaultMaxBodyBytes,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// Limits implements ingress.Handler.
func (g *Gateway) Limits() traffic.Limits {
	c := g.config.Load()
	if c == nil {
		return defaultLimits
	}
	return traffic.Limits{
		HeaderBytes:   cmp.Or(c.Limits.HeaderBytes, defaultLimits.HeaderBytes),
		BodyBytes:     cmp.Or(c.Limits.BodyBytes, defaultLimits.BodyBytes),
		HeaderTimeout: cmp.Or(c.Limits.HeaderTimeout, defaultLimits.HeaderTimeout),
		IdleTimeout:   cmp.Or(c.Limits.IdleTimeout, defaultLimits.IdleTimeout),
	}
}

// ReportPanic implements ingress.Handler. The request path releases its locks by deferred unlocks, so the tables stay
// usable.
func (g *Gateway) ReportPanic(cause any, stack []byte) {
	g.metrics.count("request_panics_total")
	g.log.warn(partRequest).Any("cause", cause).Bytes("stack", stack).Msg("request ended by a panic")
}

// ReportMalformed implements ingress.Handler.
func (g *Gateway) ReportMalformed(status int, reason string) {
	g.metrics.count("malformed_requests_total")
	g.log.info(partRequest).Int("status", status).Str("reason", reason).Msg("malformed request refused")
}

// ReportStalledCaller implements ingress.Handler.
func (g *Gateway) ReportStalledCaller() {
	g.metrics.count("callers_stalled_total")
	g.log.info(partRequest).Msg("caller that reads nothing was cut")
}
