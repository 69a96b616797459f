package gateway

import (
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// controlsOverload reports whether admit.Overload decides on a request: a new one for a model endpoint. Repeated attempts
// and streams that are taken up again go before new requests.
func (g *Gateway) controlsOverload(r *request, t *target) bool {
	return g.settings.Admission != settings.AdmissionBasic && t.service.Engine != nil &&
		r.attempts == 0 && r.call.LastEventID == ""
}

// overloadOf returns the admission state of a service. The caller holds the lock.
func (g *Gateway) overloadOf(service string) *admit.Overload {
	o := g.overloads[service]
	if o == nil {
		o = admit.NewOverload()
		g.overloads[service] = o
	}
	return o
}

// admissionSituation describes a new request to admit.Overload. The caller holds the lock.
func (g *Gateway) admissionSituation(r *request, t *target, left time.Duration, now time.Time) admit.Situation {
	return admit.Situation{
		Age: now.Sub(r.arrived), Left: left, Objective: r.route.Objective,
		Expected: t.choice.Expected, Prefill: t.choice.Prefill, Running: t.choice.Running, Slots: t.slots,
		Lateness: g.serviceLateness(t.service.Name, now), Urgency: urgency(r),
		Workspace: r.workspaceName(), Weight: workspaceWeight(r.workspace, g.config.Load()),
		Cost: int64(t.request.Prompt + t.request.Output), Subject: t.request.Subject(), Request: r.repeatKey(),
		Draw: g.random.Float64(),
	}
}

// overloadRefusal returns the refusal of a new request to an overloaded service, or nil. The caller holds the lock.
func (g *Gateway) overloadRefusal(r *request, t *target, left time.Duration, now time.Time) *refusal.Error {
	o := g.overloadOf(t.service.Name)
	v := o.Decide(g.admissionSituation(r, t, left, now), now)
	r.admission = &v
	g.metrics.count("admission_" + string(v.Reason) + "_total")
	g.metrics.set("admission_level_"+t.service.Name, v.Level)
	g.metrics.set("admission_lateness_"+t.service.Name, o.Lateness(now))
	if !v.Refused() {
		return nil
	}
	return overloadedRefusal(v)
}

// overloadedRefusal returns the refusal of a request by a verdict.
func overloadedRefusal(v admit.Verdict) *refusal.Error {
	return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeOverloaded, "the engines are overloaded").
		WithRetryAfter(v.RetryAfter)
}

// refusedAtOverload reports whether admit.Overload refused the request. It has spread Retry-After already.
func (r *request) refusedAtOverload() bool {
	return r.admission != nil && r.admission.Refused()
}

// serviceLateness returns the observed first tokens of a service against the predicted ones, over all VMs. It is 1 with
// fixed figures. The caller holds the lock.
func (g *Gateway) serviceLateness(service string, now time.Time) float64 {
	if m := g.placer.Model(); m != nil {
		return m.ServiceFactor(service, now)
	}
	return 1
}

// workspaceWeight returns the relative share of a workspace: its token rate, or the lowest rate of all if it has none.
func workspaceWeight(w *traffic.Workspace, c *traffic.Config) float64 {
	if w != nil && w.Rate > 0 {
		return float64(w.Rate)
	}
	lowest := int64(0)
	for i := range c.Workspaces {
		if rate := c.Workspaces[i].Rate; rate > 0 && (lowest == 0 || rate < lowest) {
			lowest = rate
		}
	}
	return float64(max(lowest, 1))
}

// observeFirstToken records how long an attempt at a model endpoint waited for its first token. Set censored for one that
// ended without. The caller holds the lock.
func (g *Gateway) observeFirstToken(r *request, t *target, now time.Time, censored bool) {
	if t.service.Engine == nil {
		return
	}
	g.overloadOf(t.service.Name).ObserveFirstToken(admit.FirstToken{
		Predicted: t.choice.Expected, Took: now.Sub(t.sentAt), Age: t.sentAt.Sub(r.arrived),
		Objective: r.route.Objective, Censored: censored,
	}, now)
}

// logAdmission adds the verdict at overload to the log line of a request or an attempt.
func logAdmission(line *log.Entry, v *admit.Verdict) {
	if line == nil || v == nil {
		return
	}
	line.Dur("predicted_ms", v.Predicted).Dur("objective_ms", v.Objective).Float64("level", v.Level).
		Dur("backlog_ms", v.Backlog).Str("verdict", string(v.Reason))
}

// repeatKey returns a number that is the same when a caller sends its request again, or zero.
func (r *request) repeatKey() uint64 {
	if len(r.fingerprints) == 0 {
		return 0
	}
	return r.fingerprints[0]
}
