package workload

import (
	"math"
	"time"
)

const (
	// regressors is the number of terms of the time to the first token: a constant, the running requests, the own prompt
	// and the prompts before it.
	regressors  = 4
	termIdle    = 0
	termRunning = 1
	termOwn     = 2
	termQueue   = 3
)

const (
	// ratePriorWeight is the number of observations as predicted by the priors that are added to those of a service.
	ratePriorWeight = 4.0
	// maxServiceFactor bounds the observed time to the first token relative to that predicted by the rates, and its
	// reciprocal.
	maxServiceFactor = 4.0
	// minEngineRatio and maxEngineRatio bound the rates of engines relative to their priors, minPlainRatio and
	// maxPlainRatio the time of plain calls, and minOutputRatio and maxOutputRatio the ratio of true to expected output.
	minEngineRatio, maxEngineRatio = 0.4, 2.5
	minPlainRatio, maxPlainRatio   = 0.1, 4.0
	minOutputRatio, maxOutputRatio = 0.05, 2.5
	// outputPrior is the number of outputs as expected that are added to those observed, and priorMeanOutput their mean
	// size in tokens.
	outputPrior     = 4.0
	priorMeanOutput = 64.0
	// confidenceWeight is the number of observations that count as much as the priors.
	confidenceWeight = 20.0
	// queuePower and factorQueuePower are the powers with which the weight of an observation falls with the share of its
	// prediction that depends on the work of others, for rates and for factors of endpoints.
	queuePower       = 4
	factorQueuePower = 2
	// minOutputs and minSent are the least divisors of means over decayed numbers of outputs and of requests.
	minOutputs = 0.01
	minSent    = 1.0
)

// Rates are the learned speeds of a service. The zero value is not valid.
type Rates struct {
	// IdleMs is the time to the first token of an empty prompt on an idle engine, RunningMs the delay for each running
	// request, PrefillMs the time for each prompt token and StepMs that for each output token while no prompt waits.
	IdleMs, RunningMs, PrefillMs, StepMs float64
	// PlainMs is the time of a plain call to an idle endpoint.
	PlainMs float64
	// Outputs is the weight of the observed outputs, MeanOutput the mean number of their tokens, and OutputRatio the ratio
	// of true to expected tokens.
	Outputs, MeanOutput, OutputRatio float64
	// MeanUncached is the mean number of uncached prompt tokens of a request.
	MeanUncached float64
	// SentPerMs is the rate at which all VMs send requests, and OwnSentPerMs that at which this VM does.
	SentPerMs, OwnSentPerMs float64
	// SentTokensPerMs is the rate at which all VMs send uncached prompt tokens to the service.
	SentTokensPerMs float64
	// Factor is the observed time to the first token relative to what these rates predict, at an endpoint with factor 1. It
	// covers what the rates do not describe, such as urgent requests that go first.
	Factor float64
	// MeanRatio is the same without the lower bound of 1.
	MeanRatio float64
	// Observations is the decayed number of observations of all VMs.
	Observations float64
	// Confidence is the weight of the observations against the priors, from 0 to 1.
	Confidence float64
}

// PriorRates returns the rates that apply without observations.
func PriorRates() Rates {
	return Rates{
		IdleMs: PriorIdleFirstTokenMs, RunningMs: PriorRunningMs, PrefillMs: 1 / PriorPrefillTokensPerMs,
		StepMs: PriorOutputTokenMs, PlainMs: PriorPlainMs, OutputRatio: 1, Factor: 1, MeanRatio: 1,
	}
}

// estimate returns the rates that follow from pooled sums.
func estimate(k serviceKey, s *serviceState, now time.Time) Rates {
	r := PriorRates()
	if s.rates.outdated(now) {
		return r
	}
	r.MeanRatio = s.lateness.meanRatio(sumBaseLog, now, 1/maxServiceFactor, maxServiceFactor)
	r.Factor = max(r.MeanRatio, 1)
	v := s.rates.sumsAt(now)
	weight := max(v[sumWeight], 0)
	r.Observations = weight
	r.Confidence = weight / (weight + confidenceWeight)
	if !k.onEngine {
		ratio := (v[sumLog] + ratePriorWeight) / (weight + ratePriorWeight)
		r.PlainMs = PriorPlainMs * min(max(ratio, minPlainRatio), maxPlainRatio)
		return r
	}
	ratios := solve(&v)
	r.IdleMs *= ratios[termIdle]
	r.RunningMs *= ratios[termRunning]
	r.PrefillMs *= ratios[termOwn]
	steps := max(v[sumSteps], 0)
	r.StepMs = (v[sumStepMs] + ratePriorWeight*PriorOutputTokenMs) / (steps + ratePriorWeight)
	r.StepMs = min(max(r.StepMs, minEngineRatio*PriorOutputTokenMs), maxEngineRatio*PriorOutputTokenMs)
	r.Outputs = max(v[sumOutputs], 0)
	r.MeanOutput = max(v[sumActual], 0) / max(r.Outputs, minOutputs)
	r.OutputRatio = outputRatio(&v)
	r.MeanUncached = max(v[sumSentTokens], 0) / max(v[sumSent], minSent)
	perMs := math.Ln2 / float64(RateHalfLife.Milliseconds())
	r.SentTokensPerMs = max(v[sumSentTokens], 0) * perMs
	r.SentPerMs = max(v[sumSent], 0) * perMs
	r.OwnSentPerMs = min(max(s.rates.own[sumSent], 0)*perMs, r.SentPerMs)
	return r
}

// outputRatio returns the ratio of true to expected output tokens, drawn to 1 by the prior.
func outputRatio(v *vector) float64 {
	prior := outputPrior * priorMeanOutput
	return min(max((v[sumActual]+prior)/(max(v[sumExpected], 0)+prior), minOutputRatio), maxOutputRatio)
}

// Cost returns the cost of a request that the rates alone predict, without factors.
func (r Rates) Cost(q Query) Cost {
	if !q.OnEngine {
		return r.plainCost(q)
	}
	prefill := q.Uncached * r.PrefillMs
	queue := q.Queued*r.PrefillMs + r.slotWaitMs(q)
	output := float64(q.Output) * (r.StepMs + r.Confidence*r.chunkShareMs(q))
	return Cost{
		FirstTokenMs: r.IdleMs + r.RunningMs*float64(q.Running) + prefill + queue + q.FetchMs,
		PrefillMs:    prefill + q.FetchMs,
		QueueMs:      queue,
		OutputMs:     output,
	}
}

// chunkShareMs returns how much longer each output token takes while the queued prompts are read: their reading is
// spread over the output.
func (r Rates) chunkShareMs(q Query) float64 {
	return q.Queued * r.PrefillMs / float64(max(q.Output, 1))
}

// slotWaitMs returns the time for which a request waits for a slot and for memory. The time in which the prompts before
// it are read is not part of it.
func (r Rates) slotWaitMs(q Query) float64 {
	learned := r.releaseWaitMs(q)
	if r.Confidence >= 1 {
		return learned
	}
	return r.Confidence*learned + (1-r.Confidence)*r.priorWaitMs(q)
}

// releaseWaitMs returns the time until enough requests have ended for one more to begin. With s requests in the batch at
// evenly spread progress, one ends in each s-th part of the time that one takes. Steps also take the time of the prompt
// chunks that they read, which is in the term of the queued prompts.
func (r Rates) releaseWaitMs(q Query) float64 {
	batch := float64(q.Running)
	if q.Slots > 0 {
		batch = min(batch, float64(q.Slots))
	}
	releases := 0.0
	if q.Slots > 0 {
		releases = float64(q.Running + 1 - q.Slots)
	}
	if q.MemoryLimit > 0 && q.Running > 0 && q.Memory > 0 {
		each := float64(q.Memory) / float64(q.Running)
		releases = max(releases, float64(q.Memory+q.MemoryNeeded-q.MemoryLimit)/each)
		batch = min(batch, float64(q.MemoryLimit)/each)
	}
	if releases <= 0 {
		return 0
	}
	return releases * (r.IdleMs + r.meanOutput(q)*r.StepMs) / max(batch, 1)
}

// meanOutput returns the expected output of the requests at an endpoint, for which that of the query is the prior.
func (r Rates) meanOutput(q Query) float64 {
	return (r.MeanOutput*r.Outputs + float64(q.Output)*outputPrior) / (r.Outputs + outputPrior)
}

// priorWaitMs returns the wait for a slot and for memory as it is estimated without observations.
func (r Rates) priorWaitMs(q Query) float64 {
	wait := 0.0
	if over := q.Running + 1 - q.Slots; over > 0 && q.Slots > 0 {
		wait += float64(over) * float64(q.Output) * r.StepMs / float64(q.Slots)
	}
	usable := UsableMemoryShare * float64(q.MemoryLimit)
	if need := float64(q.Memory + q.MemoryNeeded); q.MemoryLimit > 0 && need > usable {
		wait += PriorMemoryWaitMs * (1 + (need-usable)/float64(q.MemoryLimit)*MemoryWaitGrowth)
	}
	return wait
}

// plainCost returns the predicted cost of a plain call.
func (r Rates) plainCost(q Query) Cost {
	slots := max(q.Slots, 1)
	ahead := float64(max(q.Running+1-slots, 0)) / float64(slots)
	queue := r.PlainMs*ahead + float64(q.Running)*r.plainRatio()
	return Cost{FirstTokenMs: r.PlainMs + queue, QueueMs: queue}
}

// plainRatio returns the time of a plain call relative to the prior.
func (r Rates) plainRatio() float64 {
	return r.PlainMs / PriorPlainMs
}

// plainSums returns the sums of an observed plain call.
func plainSums(q *Query, r Rates, tookMs float64) vector {
	prior := r.plainCost(*q).FirstTokenMs / r.plainRatio()
	return vector{sumWeight: 1, sumLog: min(max(tookMs/prior, minPlainRatio), maxPlainRatio)}
}

// certainty returns the weight of an observation: it falls with the share of the prediction that depends on the work of
// others, which is known late.
func certainty(base Cost, q Query, power float64) float64 {
	share := base.QueueMs / max(base.FirstTokenMs-q.FetchMs, 1)
	return math.Pow(1-min(max(share, 0), 1), power)
}

// engineSums returns the sums of an observed time to the first token. The regressors are the terms of the prior over the
// prediction, so that the coefficients are ratios to the prior and each observation has the same relative error. The time
// that a request is predicted to wait for a slot is subtracted, and the weight falls with its share.
//
// The queue has a coefficient of its own, which predictions do not use: the known queue is outdated where it is reported
// by peers, and requests go where it looks shortest, so its coefficient is biased to zero. The request's own prompt is
// known exactly and is independent of that error.
func engineSums(q *Query, r Rates, tookMs float64) vector {
	base := r.Cost(*q)
	predicted := max(base.FirstTokenMs-q.FetchMs, 1)
	wait := r.slotWaitMs(*q)
	weight := certainty(base, *q, queuePower)
	x := [regressors]float64{
		termIdle:    PriorIdleFirstTokenMs / predicted,
		termRunning: PriorRunningMs * float64(q.Running) / predicted,
		termOwn:     q.Uncached / PriorPrefillTokensPerMs / predicted,
		termQueue:   q.Queued / PriorPrefillTokensPerMs / predicted,
	}
	y := (tookMs - wait) / predicted
	v := vector{sumWeight: weight}
	i := sumProducts
	for a := range x {
		for b := a; b < regressors; b++ {
			v[i] = weight * x[a] * x[b]
			i++
		}
		v[sumTimes+a] = weight * x[a] * y
	}
	return v
}
