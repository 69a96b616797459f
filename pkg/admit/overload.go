package admit

import (
	"maps"
	"time"
)

const (
	// predictionError is the factor within which nine in ten predicted first tokens are true. Below the objective divided
	// by it, an objective counts as safe.
	predictionError = 1.5
	// riskPeriod is the time for which a late first token shows that others are at risk.
	riskPeriod = 2 * time.Second
	// maxPrefillShare limits the part of the objective that a request's own prompt counts for. The wait alone decides on
	// larger prompts, since these would otherwise be refused before all others.
	maxPrefillShare = 0.3
	// minWaitShare is the share of the strictest objective of requests at least as urgent up to which a wait is too short for
	// a refusal by level, unless the slots are taken.
	minWaitShare = 0.55
	// waitGain is the part by which a predicted first token of twice the safe time reduces the admitted share at once. The
	// level alone follows too slowly for a burst; a larger gain oscillates, as peers' loads arrive up to 0.7 s late.
	waitGain = 0.5
	// leastFactor and mostFactor bound that reduction, and its opposite where the wait is short.
	leastFactor, mostFactor = 0.1, 1.5
	// leastRetryAfter is the shortest Retry-After, and maxRetryShare the share of the caller's remaining time up to which
	// callers honour it.
	leastRetryAfter = 50 * time.Millisecond
	maxRetryShare   = 1.0 / 3
)

// Situation describes a new request and what is known of the service that it is about to be sent to.
type Situation struct {
	// Age is the time since the request arrived, and Left the time until its caller gives up.
	Age, Left time.Duration
	// Expected is the predicted time to the first token at the chosen endpoint, and Prefill the part of it that the
	// request's own prompt takes.
	Expected, Prefill time.Duration
	// Objective is the latency within which the first token counts as on time. Zero means none.
	Objective time.Duration
	// Running is the number of requests running on the endpoint, and Slots the number that it runs at the same time.
	Running, Slots int
	// Lateness is the observed first token divided by the predicted one over all VMs. Zero and 1 mean as predicted.
	Lateness float64
	// Urgency is the rank of the request's kind, 0 first.
	Urgency int
	// Workspace pays for the request, and Weight is its relative share.
	Workspace string
	Weight    float64
	// Cost is the expected work, in tokens.
	Cost int64
	// Subject is the ID of the shared prompt parts, or zero, and Request identifies the request when its caller sends it
	// again.
	Subject, Request uint64
	// Draw is a uniform random number in [0, 1). It spreads Retry-After.
	Draw float64
}

// Reason tells why a request was admitted or refused.
type Reason string

// Reasons of verdicts.
const (
	// InTime admits a request whose objective can be met.
	InTime Reason = "in_time"
	// WithinLevel admits a request that is at risk of being late, by its rank.
	WithinLevel Reason = "within_level"
	// TooLate refuses a request that would miss its objective.
	TooLate Reason = "too_late"
	// AboveLevel refuses a request that is at risk of being late, by its rank.
	AboveLevel Reason = "above_level"
)

// Verdict is the decision on a request with its inputs.
type Verdict struct {
	Reason Reason
	// Predicted is the time from the arrival to the first token, corrected by the observed lateness.
	Predicted time.Duration
	// Objective is that of the request.
	Objective time.Duration
	// Level is the share of work that the service refuses to keep its objectives, from 0 to 1.
	Level float64
	// Backlog is the time in which the work ahead of the request is done.
	Backlog time.Duration
	// RetryAfter is set for refused requests.
	RetryAfter time.Duration
}

// Refused reports whether the request has to be refused.
func (v Verdict) Refused() bool {
	return v.Reason == TooLate || v.Reason == AboveLevel
}

// Overload decides on the new requests of one service while it gets more work than it can do. The zero value is not
// usable; see NewOverload. It is not safe for concurrent use.
type Overload struct {
	lateness latenessAverage
	level    level
	demand   demand
	returned returned
	// riskAt is when a first token last took longer than the safe time.
	riskAt time.Time
}

// NewOverload returns the state of a service that is not overloaded.
func NewOverload() *Overload {
	return &Overload{demand: newDemand(), returned: newReturned()}
}

// Clone returns an independent copy, on which Decide shows a verdict without a change of this state.
func (o *Overload) Clone() *Overload {
	c := *o
	c.demand.classes = maps.Clone(o.demand.classes)
	c.demand.objectives = maps.Clone(o.demand.objectives)
	c.demand.workspaces = maps.Clone(o.demand.workspaces)
	c.returned.current, c.returned.previous = maps.Clone(o.returned.current), maps.Clone(o.returned.previous)
	return &c
}

// Lateness returns the observed first token divided by the predicted one on this VM, 1 without observations.
func (o *Overload) Lateness(now time.Time) float64 {
	return o.lateness.factor(now)
}

// Level returns the share of work that is refused while first tokens are at risk.
func (o *Overload) Level() float64 {
	return o.level.share
}

// FirstToken describes the wait of one attempt for its first token.
type FirstToken struct {
	// Predicted is the time that was predicted when the request was sent.
	Predicted time.Duration
	// Took is the time from sending to the first token, or to the end of an attempt without one.
	Took time.Duration
	// Age is the time that the request had spent before it was sent.
	Age time.Duration
	// Objective is that of the request, or zero.
	Objective time.Duration
	// Censored is set for an attempt that ended without a first token.
	Censored bool
}

// ObserveFirstToken records how long an attempt waited for its first token. An attempt that ended without one counts if
// it waited longer than was predicted.
func (o *Overload) ObserveFirstToken(f FirstToken, now time.Time) {
	if f.Censored && f.Took <= f.Predicted {
		return
	}
	o.lateness.observe(f, now)
	if f.Objective <= 0 {
		return
	}
	if f.Age+f.Took > safeTime(f.Objective) {
		o.riskAt = now
	}
	o.level.observeToken(f.Age+f.Took > f.Objective, now)
}

// atRisk reports whether requests may be refused: the level is above zero, or first tokens lately came late or nearly so.
// A prediction alone starts no refusals, as it may be too high, unless the slots are taken as well.
func (o *Overload) atRisk(s Situation, f forecast, now time.Time) bool {
	if o.level.share > 0 || s.Lateness >= predictionError {
		return true
	}
	if !o.riskAt.IsZero() && now.Sub(o.riskAt) < riskPeriod {
		return true
	}
	return s.Running >= s.Slots && f.judged > s.Objective
}

// safeTime returns the predicted time to the first token below which the objective is met in all likelihood.
func safeTime(objective time.Duration) time.Duration {
	return scale(objective, 1/predictionError)
}

// forecast is what a verdict is based on.
type forecast struct {
	// backlog is the corrected wait for the work ahead.
	backlog time.Duration
	// predicted is the time from the arrival to the first token, and judged the same with a bounded own prompt.
	predicted, judged time.Duration
	// pressure is the time, relative to the safe one, to the first token of requests that arrive until the work of all
	// VMs is reported.
	pressure float64
}

// Decide returns the verdict on a new request. Its work counts as demand in any case.
func (o *Overload) Decide(s Situation, now time.Time) Verdict {
	back := o.returned.take(s.Request, now)
	class := class{urgency: s.Urgency, returned: back}
	o.demand.add(class, s, now)
	f := o.forecast(s, now)
	v := Verdict{Predicted: f.predicted, Objective: s.Objective, Backlog: f.backlog, Reason: InTime}
	if s.Objective <= 0 || !o.atRisk(s, f, now) {
		v.Level = o.level.share
		return v
	}
	o.level.observePressure(f.pressure, now)
	v.Level = o.level.share
	v.Reason = o.reason(s, class, f, now)
	if v.Refused() {
		v.RetryAfter = retryTime(f.backlog, s)
		o.returned.add(s.Request, now)
	}
	return v
}

// forecast corrects the prediction by what first tokens lately took.
func (o *Overload) forecast(s Situation, now time.Time) forecast {
	factor := max(s.Lateness, o.lateness.factor(now), 1)
	wait := scale(max(s.Expected-s.Prefill, 0), factor)
	own := min(s.Prefill, scale(s.Objective, maxPrefillShare))
	f := forecast{backlog: wait, predicted: s.Age + wait + s.Prefill, judged: s.Age + wait + own}
	if s.Objective > 0 {
		f.pressure = float64(f.judged) / float64(safeTime(o.demand.protected(s)))
	}
	return f
}

// reason decides on a request with an objective.
func (o *Overload) reason(s Situation, c class, f forecast, now time.Time) Reason {
	hasSlot := s.Running < s.Slots
	if hasSlot && f.backlog < scale(o.demand.strictest(s), minWaitShare) {
		return InTime
	}
	refused := 1 - (1-o.level.share)*min(max(1-waitGain*(f.pressure-1), leastFactor), mostFactor)
	if refused <= 0 {
		return InTime
	}
	if f.judged > s.Objective {
		return TooLate
	}
	if o.demand.refuses(c, s, refused, now) {
		return AboveLevel
	}
	return WithinLevel
}

// retryTime returns the time after which the backlog is worked off, spread over as long again.
func retryTime(backlog time.Duration, s Situation) time.Duration {
	after := max(scale(backlog, 1+s.Draw), scale(leastRetryAfter, 1+s.Draw))
	return max(min(after, scale(s.Left, maxRetryShare)), leastRetryAfter)
}

// scale multiplies a duration.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
