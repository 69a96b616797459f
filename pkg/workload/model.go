// Package workload estimates what requests cost: the time to the first token, the time of the output, and how both depend on
// the work that an endpoint still has to do.
//
// The estimates come from observations of all VMs. Each VM keeps exponentially decayed sums of its own observations and
// sends them to the others; the sums are additive, so the pooled estimate is a regression over the observations of all
// VMs, with shrinkage to fixed priors. The package does no I/O; callers pass the current time. Times are in milliseconds
// and sizes in tokens.
package workload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Priors, which apply until observations correct them.
const (
	// PriorPrefillTokensPerMs is the speed of prompt computation, in tokens per millisecond.
	PriorPrefillTokensPerMs = 70.0
	// PriorIdleFirstTokenMs is the time to the first token of an empty prompt on an idle engine.
	PriorIdleFirstTokenMs = 75.0
	// PriorPlainMs is the time of a call to an idle plain service.
	PriorPlainMs = 60.0
	// PriorRunningMs is the delay that each running request adds to the first token of another.
	PriorRunningMs = 0.6
	// PriorOutputTokenMs is the time to generate one output token while no prompt waits.
	PriorOutputTokenMs = 10.0
	// PriorMemoryWaitMs is the delay where the requests of an engine need more than UsableMemoryShare of its memory, since
	// one of them is preempted. The missing share of the memory, times MemoryWaitGrowth, adds to it in proportion.
	PriorMemoryWaitMs = 150.0
	UsableMemoryShare = 0.9
	MemoryWaitGrowth  = 4.0
)

const (
	// RateHalfLife is the half-life of the sums from which rates are estimated.
	RateHalfLife = 10 * time.Second
	// LatenessHalfLife is the half-life of the lateness of a service.
	LatenessHalfLife = 2 * time.Second
	// FactorHalfLife is the half-life of the factor of an endpoint.
	FactorHalfLife = 4 * time.Second
	// MaxAge is the age from which observations and reports no longer count.
	MaxAge = 30 * time.Second
	// maxDeviation bounds a single observation relative to its prediction.
	maxDeviation = 4.0
	// refreshInterval is the time for which the rates computed from the sums are reused.
	refreshInterval = 100 * time.Millisecond
	// latenessPriorWeight and factorPriorWeight are the numbers of observations as late as predicted that are added to
	// those of a service and of an endpoint.
	latenessPriorWeight = 8.0
	factorPriorWeight   = 3.0
	// minFactor and maxFactor bound the factor of an endpoint.
	minFactor, maxFactor = 0.8, 20.0
)

// Query describes a request at an endpoint whose cost is to be predicted.
type Query struct {
	// Service is the name of the service, Model that of the model. Model is empty for plain services.
	Service, Model string
	// Route is the name of the route. The time of plain calls is learned for each route.
	Route string
	// OnEngine reports whether the endpoint is a model engine rather than a plain service.
	OnEngine bool
	// Whole reports whether the answer of an engine arrives as a whole. Its rates are learned apart from those of streams,
	// since its first byte follows the last token.
	Whole bool
	// Endpoint is the ID of the endpoint and Born its start, in Unix milliseconds. An empty ID stands for an endpoint as
	// fast as its service.
	Endpoint string
	Born     int64
	// Uncached is the number of prompt tokens of the request that the endpoint has to compute, and Queued that of the
	// prompts before it.
	Uncached, Queued float64
	// Running is the number of other requests at the endpoint, and Slots how many it runs at the same time.
	Running, Slots int
	// Output is the expected number of output tokens.
	Output int
	// Memory is the number of tokens that the requests at the endpoint occupy, MemoryNeeded what the request adds, and
	// MemoryLimit the capacity, or zero if unknown.
	Memory, MemoryNeeded, MemoryLimit int
	// FetchMs is the time of a transfer of cached parts before the prompt is computed.
	FetchMs float64
	// LocalFactor multiplies the prediction by what the caller knows of the endpoint. Zero stands for 1.
	LocalFactor float64
}

// localFactor returns LocalFactor, or 1 if it is not set.
func (q *Query) localFactor() float64 {
	if q.LocalFactor <= 0 {
		return 1
	}
	return q.LocalFactor
}

// Cost is the predicted cost of a request.
type Cost struct {
	// FirstTokenMs is the time to the first token. It includes PrefillMs and QueueMs.
	FirstTokenMs float64
	// PrefillMs is the time to compute the request's own prompt.
	PrefillMs float64
	// QueueMs is the time for which the request waits for the prompts before it, for a slot and for memory.
	QueueMs float64
	// OutputMs is the time from the first to the last token.
	OutputMs float64
}

// Observation is the time to the first token of a request.
type Observation struct {
	// Query is the request as it was when it was sent.
	Query Query
	// TookMs is the time from the send to the first token.
	TookMs float64
	// Censored is set if the attempt ended without a first token, which would have come later than TookMs.
	Censored bool
}

// serviceKey identifies what rates are learned for.
type serviceKey struct {
	service string
	// detail is the model on engines and the route at plain services.
	detail   string
	onEngine bool
}

// key returns the key of the query's rates.
func (q *Query) key() serviceKey {
	if q.OnEngine {
		return serviceKey{service: q.Service, detail: q.Model + wholeSuffix(q.Whole), onEngine: true}
	}
	return serviceKey{service: q.Service, detail: q.Route}
}

// wholeSuffix distinguishes the models of answers that arrive as a whole.
func wholeSuffix(whole bool) string {
	if whole {
		return keySeparator
	}
	return ""
}

// endpointKey identifies one start of an endpoint.
type endpointKey struct {
	id   string
	born int64
}

// serviceState is what is known of one service and model, or service and route.
type serviceState struct {
	rates    *pool
	lateness *pool
	// cached are the rates as of cachedAt.
	cached   Rates
	cachedAt time.Time
}

// Model learns the costs of requests. It is not safe for concurrent use.
type Model struct {
	services map[serviceKey]*serviceState
	factors  map[endpointKey]*pool
	outputs  map[outputKey]*outputState
	vms      map[string]*vmState
	// expiredAt is when outdated state was last removed.
	expiredAt time.Time
}

// New returns a model without observations.
func New() *Model {
	return &Model{
		services: map[serviceKey]*serviceState{},
		factors:  map[endpointKey]*pool{},
		outputs:  map[outputKey]*outputState{},
		vms:      map[string]*vmState{},
	}
}

// stateOf returns the state of a key and creates it if needed.
func (m *Model) stateOf(k serviceKey) *serviceState {
	s := m.services[k]
	if s == nil {
		s = &serviceState{
			rates:    newPool(k.sumCount(), RateHalfLife, ratePriorWeight),
			lateness: newPool(latenessSums, LatenessHalfLife, latenessPriorWeight),
		}
		m.services[k] = s
	}
	return s
}

// factorOf returns the pool of an endpoint's factor and creates it if needed.
func (m *Model) factorOf(k endpointKey) *pool {
	f := m.factors[k]
	if f == nil {
		f = newPool(factorSums, FactorHalfLife, factorPriorWeight)
		m.factors[k] = f
	}
	return f
}

// Rates returns the present rates for requests like the query.
func (m *Model) Rates(q Query, now time.Time) Rates {
	k := q.key()
	s := m.services[k]
	if s == nil {
		return PriorRates()
	}
	if s.cachedAt.IsZero() || now.Sub(s.cachedAt) >= refreshInterval {
		s.cached, s.cachedAt = estimate(k, s, now), now
	}
	return s.cached
}

// LearnedRates are the rates of a service and model, or service and route.
type LearnedRates struct {
	Service string
	// Detail is the model on engines and the route at plain services.
	Detail   string
	OnEngine bool
	Rates    Rates
	// Age is the time since the newest observation or report.
	Age time.Duration
}

// Learned returns the rates of all services that have observations, in the order of their names.
func (m *Model) Learned(now time.Time) []LearnedRates {
	keys := slices.SortedFunc(maps.Keys(m.services), func(a, b serviceKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.detail, b.detail))
	})
	var out []LearnedRates
	for _, k := range keys {
		s := m.services[k]
		if s.rates.outdated(now) {
			continue
		}
		out = append(out, LearnedRates{
			Service: k.service, Detail: strings.TrimSuffix(k.detail, keySeparator), OnEngine: k.onEngine,
			Rates: estimate(k, s, now), Age: now.Sub(s.rates.newest),
		})
	}
	return out
}

// Predict returns the expected cost of a request.
func (m *Model) Predict(q Query, now time.Time) Cost {
	c := m.Rates(q, now).Cost(q)
	f := m.Rates(q, now).Factor * m.EndpointFactor(q.Endpoint, q.Born, now) * q.localFactor()
	return c.scaled(f, q.FetchMs)
}

// scaled returns the cost at an endpoint with a factor. The time of transfers does not depend on the endpoint.
func (c Cost) scaled(factor, fetchMs float64) Cost {
	return Cost{
		FirstTokenMs: (c.FirstTokenMs-fetchMs)*factor + fetchMs,
		PrefillMs:    c.PrefillMs * factor, QueueMs: c.QueueMs * factor, OutputMs: c.OutputMs * factor,
	}
}

// EndpointFactor returns the time that one start of an endpoint takes, relative to its service.
func (m *Model) EndpointFactor(endpoint string, born int64, now time.Time) float64 {
	f := m.factors[endpointKey{endpoint, born}]
	if f == nil {
		return 1
	}
	return f.distinctRatio(now, minFactor, maxFactor)
}

// ServiceFactor returns the observed time to the first token relative to the predicted one, over the last seconds, all
// VMs and all models and routes of a service. The prediction is that of Predict, with all factors.
func (m *Model) ServiceFactor(service string, now time.Time) float64 {
	logs, weight := 0.0, latenessPriorWeight
	for k, s := range m.services {
		if k.service != service || s.lateness.outdated(now) {
			continue
		}
		v := s.lateness.sumsAt(now)
		logs += v[sumLog]
		weight += v[sumWeight]
	}
	return math.Exp(logs / weight)
}

// clipped bounds an observed time to maxDeviation of its prediction.
func clipped(tookMs, predictedMs float64) float64 {
	return min(max(tookMs, predictedMs/maxDeviation), predictedMs*maxDeviation)
}

// ObserveSend records that a request was sent.
func (m *Model) ObserveSend(q Query, now time.Time) {
	if !q.OnEngine {
		return
	}
	var v vector
	v[sumSent] = 1
	v[sumSentTokens] = q.Uncached
	m.stateOf(q.key()).rates.addOwn(v, now)
}

// ObserveFirstToken records the time to the first token of a request, or the time after which a request ended without
// one. The latter counts as an observation if it exceeds the prediction, and otherwise shows nothing.
func (m *Model) ObserveFirstToken(o Observation, now time.Time) {
	if math.IsNaN(o.TookMs) || o.TookMs < 0 {
		return
	}
	q := &o.Query
	rates := m.Rates(*q, now)
	base := rates.Cost(*q)
	relative := m.EndpointFactor(q.Endpoint, q.Born, now)
	predicted := base.scaled(rates.Factor*relative*q.localFactor(), q.FetchMs)
	if o.Censored && o.TookMs <= predicted.FirstTokenMs {
		return
	}
	s := m.stateOf(q.key())
	took := clipped(o.TookMs, predicted.FirstTokenMs)
	late := math.Log(took / max(predicted.FirstTokenMs, 1))
	baseLate := math.Log(max(took-q.FetchMs, 1) / max(base.FirstTokenMs-q.FetchMs, 1))
	s.lateness.addOwn(vector{sumWeight: 1, sumLog: late, sumBaseLog: baseLate - math.Log(relative)}, now)
	if q.Endpoint != "" {
		// What all endpoints of the service have in common is in rates.Factor.
		weight := certainty(base, *q, factorQueuePower)
		log := baseLate - math.Log(rates.MeanRatio)
		m.factorOf(endpointKey{q.Endpoint, q.Born}).addOwn(vector{sumWeight: weight, sumLog: weight * log}, now)
	}
	if !q.OnEngine {
		s.rates.addOwn(plainSums(q, rates, took/relative), now)
		return
	}
	s.rates.addOwn(engineSums(q, rates, (took-q.FetchMs)/relative), now)
}
