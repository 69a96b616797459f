package workload

import (
	"math"
	"slices"
	"time"
)

// Indexes into a vector. Sums of lateness use the first three, and sums of endpoint factors the first two.
const (
	// sumWeight is the number of observations.
	sumWeight = iota
	// sumLog is the sum of the logarithms of observed against predicted times. Sums of rates keep the ratios of plain
	// calls here.
	sumLog
	// sumBaseLog is the sum of the logarithms of observed times against those predicted by the rates alone, in sums of
	// lateness.
	sumBaseLog
)

// Indexes into a vector of sums of rates.
const (
	// sumProducts is the first of the products of pairs of regressors, and sumTimes the first of their products with the
	// observed time.
	sumProducts = sumLog + 1
	sumTimes    = sumProducts + regressors*(regressors+1)/2
	// sumSteps is the number of observed outputs, and sumStepMs the sum of their times for each token.
	sumSteps  = sumTimes + regressors
	sumStepMs = sumSteps + 1
	// sumOutputs is the number of complete outputs, sumExpected their expected and sumActual their true tokens.
	sumOutputs  = sumStepMs + 1
	sumExpected = sumOutputs + 1
	sumActual   = sumExpected + 1
	// sumSent is the number of requests sent, and sumSentTokens that of their uncached prompt tokens.
	sumSent       = sumActual + 1
	sumSentTokens = sumSent + 1
	vectorLength  = sumSentTokens + 1
)

// vector holds decayed sums of observations.
type vector [vectorLength]float64

// add adds a multiple of another vector.
func (v *vector) add(o *vector, factor float64) {
	for i := range v {
		v[i] += o[i] * factor
	}
}

// group is a range of sums that share a count, its first.
type group struct {
	first, end int
}

// groups are the ranges of a vector. Each has a weight of its own.
var groups = [...]group{
	{sumWeight, sumSteps}, {sumSteps, sumOutputs}, {sumOutputs, sumSent}, {sumSent, vectorLength},
}

const (
	// maxProduct and maxTime bound a product of two regressors, and one of a regressor and a time: with rates within their
	// bounds a regressor is at most 1/minEngineRatio, and a time at most maxDeviation predictions.
	maxProduct = 1 / (minEngineRatio * minEngineRatio)
	maxTime    = maxDeviation / minEngineRatio
	// maxTokens bounds the size of one prompt or output in reports.
	maxTokens = 1e7
	// roundingSlack allows for the rounding of reported sums.
	roundingSlack = 1e-3
)

// valid reports whether the sums are such as observations within their bounds can have.
func (v *vector) valid() bool {
	for _, x := range v {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
	}
	for _, g := range groups {
		if v[g.first] < 0 || v[g.first] > maxReportedWeight {
			return false
		}
	}
	return v.within(sumLog, sumProducts, maxPlainRatio*v[sumWeight]) &&
		v.within(sumProducts, sumTimes, maxProduct*v[sumWeight]) &&
		v.within(sumTimes, sumSteps, maxTime*v[sumWeight]) &&
		v.within(sumStepMs, sumOutputs, maxEngineRatio*PriorOutputTokenMs*v[sumSteps]) &&
		v.within(sumExpected, sumSent, maxTokens*v[sumOutputs]) &&
		v.within(sumSentTokens, vectorLength, maxTokens*v[sumSent])
}

// within reports whether the sums of a range are within a bound on both sides.
func (v *vector) within(first, end int, most float64) bool {
	for _, x := range v[first:end] {
		if math.Abs(x) > most*(1+roundingSlack)+roundingSlack {
			return false
		}
	}
	return true
}

// boundedLogs reports whether the means of the logarithms are such as clipped observations can have.
func (v *vector) boundedLogs() bool {
	return v[sumWeight] >= 0 && v[sumWeight] <= maxReportedWeight && v.within(sumLog, sumBaseLog+1, v[sumWeight]*math.Log(maxMeanRatio))
}

// maxMeanRatio bounds a reported mean of ratios: clipped observations at the largest factors.
const maxMeanRatio = maxDeviation * maxFactor * maxServiceFactor

const (
	// maxVMShare is the largest share of one other VM in a pooled weight, and manyVMs the number of VMs above which it
	// applies.
	maxVMShare = 0.25
	manyVMs    = 4
)

// contribution is what a VM adds to a pool, as of a time. It holds only the sums that the pool uses: a VM of a large system
// keeps tens of thousands of contributions.
type contribution struct {
	sums []float64
	at   time.Time
}

// pool adds up the decayed sums of all VMs. Rounding errors decay with the sums.
type pool struct {
	halfLife    time.Duration
	priorWeight float64
	// length is the number of sums that the pool uses, from the first.
	length int
	// own are the sums of this VM, and total those of all VMs, both as of the time at.
	own, total vector
	at         time.Time
	// ownAt is the time of the last own observation, newest that of the last observation or report.
	ownAt, newest time.Time
	peers         map[string]contribution
	// unreported is the own weight since the last report.
	unreported float64
}

// newPool returns an empty pool of a number of sums.
func newPool(length int, halfLife time.Duration, priorWeight float64) *pool {
	return &pool{length: length, halfLife: halfLife, priorWeight: priorWeight, peers: map[string]contribution{}}
}

// decayOver returns the factor by which sums decay over a time.
func (p *pool) decayOver(d time.Duration) float64 {
	return decayFactor(d, p.halfLife)
}

// decayFactor returns the factor by which a sum with a half-life decays over a time.
func decayFactor(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(d, 0)) / float64(halfLife))
}

// advance decays the sums to the given time.
func (p *pool) advance(now time.Time) {
	if !now.After(p.at) {
		return
	}
	if p.at.IsZero() {
		p.at = now
		return
	}
	f := p.decayOver(now.Sub(p.at))
	for i := range p.length {
		p.own[i] *= f
		p.total[i] *= f
	}
	p.at = now
}

// addOwn adds an observation of this VM.
func (p *pool) addOwn(v vector, now time.Time) {
	p.advance(now)
	p.own.add(&v, 1)
	p.total.add(&v, 1)
	p.ownAt, p.newest = now, now
	p.unreported++
}

// set replaces the sums of another VM. Their weight is limited to maxVMShare of the pooled weight, prior included, if
// there are many VMs.
func (p *pool) set(vm string, v vector, vms int, now time.Time) {
	p.remove(vm, now)
	if vms > manyVMs {
		// Sums that the pool does not use are zero and stay so.
		p.limit(&v)
	}
	p.total.add(&v, 1)
	p.peers[vm] = contribution{sums: slices.Clone(v[:p.length]), at: now}
	p.newest = now
}

// limit scales the sums of another VM, which are not in the pool, down to maxVMShare of the pooled weight.
func (p *pool) limit(v *vector) {
	v.limitTimes()
	for _, g := range groups {
		scale := p.allowedShare(v, g.first, p.priorWeight)
		if g.first == sumWeight {
			for term := range regressors {
				// A VM with few observations may still outweigh the others in one term.
				scale = min(scale, p.allowedShare(v, squareOf(term), ridge))
			}
		}
		if scale == 1 {
			continue
		}
		for i := g.first; i < g.end; i++ {
			v[i] *= scale
		}
	}
}

// limitTimes bounds the sums of observed times to those that follow from rates within their bounds.
func (v *vector) limitTimes() {
	var most [regressors]float64
	i := sumProducts
	for a := range regressors {
		for b := a; b < regressors; b++ {
			most[a] += v[i] * maxEngineRatio
			if a != b {
				most[b] += v[i] * maxEngineRatio
			}
			i++
		}
	}
	for term := range regressors {
		v[sumTimes+term] = min(v[sumTimes+term], most[term])
	}
}

// allowedShare returns the factor that limits one sum of another VM to maxVMShare of the pooled one with its prior.
func (p *pool) allowedShare(v *vector, index int, prior float64) float64 {
	others := max(p.total[index], 0) + prior
	most := others * maxVMShare / (1 - maxVMShare)
	if v[index] <= most {
		return 1
	}
	return most / v[index]
}

// squareOf returns the index of the sum of squares of a regressor.
func squareOf(term int) int {
	// The upper triangle is stored row by row, the first row with all regressors.
	return sumProducts + term*regressors - term*(term-1)/2
}

// remove takes the sums of another VM out of the pool.
func (p *pool) remove(vm string, now time.Time) {
	p.advance(now)
	c, known := p.peers[vm]
	if !known {
		return
	}
	f := p.decayOver(now.Sub(c.at))
	for i, x := range c.sums {
		p.total[i] -= x * f
	}
	delete(p.peers, vm)
	if len(p.peers) == 0 {
		p.total = p.own
	}
}

// holds reports whether the pool has sums of another VM.
func (p *pool) holds(vm string) bool {
	_, known := p.peers[vm]
	return known
}

// expire removes the sums of VMs that reported nothing for MaxAge, and own sums of that age.
func (p *pool) expire(now time.Time) {
	for vm, c := range p.peers {
		if now.Sub(c.at) > MaxAge {
			p.remove(vm, now)
		}
	}
	if !p.ownAt.IsZero() && now.Sub(p.ownAt) > MaxAge {
		p.total.add(&p.own, -1)
		p.own, p.ownAt = vector{}, time.Time{}
	}
}

// outdated reports whether there is no observation or report of the last MaxAge.
func (p *pool) outdated(now time.Time) bool {
	return p.newest.IsZero() || now.Sub(p.newest) > MaxAge
}

// sumsAt returns the pooled sums at a time.
func (p *pool) sumsAt(now time.Time) vector {
	p.advance(now)
	return p.total
}

// meanRatio returns the geometric mean of the observed ratios whose logarithms have their sum at an index, drawn to 1 by the
// prior weight.
func (p *pool) meanRatio(index int, now time.Time, least, most float64) float64 {
	if p.outdated(now) {
		return 1
	}
	f := p.decayOver(now.Sub(p.at))
	weight := max(p.total[sumWeight]*f, 0)
	return min(max(math.Exp(p.total[index]*f/(weight+p.priorWeight)), least), most)
}

// logSpread is the standard deviation of the logarithm of observed against predicted times where all is well, and
// distinctDeviations the number of standard errors of the mean that are taken for chance.
const (
	logSpread          = 0.5
	distinctDeviations = 2.0
)

// distinctRatio returns the geometric mean of the observed ratios as far as it differs from 1 by more than chance (soft
// thresholding, Donoho and Johnstone, 1994). Without the threshold, equal endpoints get different factors, and requests
// queue at those that seem faster.
func (p *pool) distinctRatio(now time.Time, least, most float64) float64 {
	if p.outdated(now) {
		return 1
	}
	f := p.decayOver(now.Sub(p.at))
	weight := max(p.total[sumWeight]*f, 0) + p.priorWeight
	mean := p.total[sumLog] * f / weight
	excess := max(math.Abs(mean)-distinctDeviations*logSpread/math.Sqrt(weight), 0)
	return min(max(math.Exp(math.Copysign(excess, mean)), least), most)
}
