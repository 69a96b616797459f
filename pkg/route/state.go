package route

import (
	"time"
)

// Initial values and weights of what is learned per endpoint.
const (
	defaultMicrosPerBlock = 25_000
	defaultMaxRunning     = 16
	// Service time assumed until one request is done.
	initialServiceMillis = 2000
	// Share of a request's time before its first token, until measured.
	initialPrefillShare = 0.2
	// Blocks that a request computes, until measured.
	initialComputeBlocks = 4
	// A new sample counts for this share of the mean.
	learnShare = 0.1
	// The speed factor is bounded, since one wrong cache prediction gives a sample far from the truth.
	minFactor = 0.25
	maxFactor = 4
	// A sample of the speed is taken only when the queue is at most this share of the expected time.
	quietShare = 0.2
	// In-flight history kept for the correction of late reports.
	historyAge    = 5 * time.Second
	historyLength = 512
)

// endpointState is what this VM knows and learned of one endpoint.
type endpointState struct {
	incarnation string
	// own are this VM's requests there, in the order sent.
	own []*pending
	// held is the number of own requests that wait behind a computation there.
	held int
	// history holds the number of own requests after each change.
	history []change
	// busyUntil is the time at which the own requests without first token are expected to be computed.
	busyUntil time.Time
	// factor is the measured time per block over the configured one.
	factor float64
	// service is the mean time from sending to the end, in milliseconds.
	service float64
	// prefillShare is the mean share of service before the first token.
	prefillShare float64
	// compute is the mean computation of a request, in milliseconds. Zero means not measured.
	compute float64
}

// change is the number of own requests from a time on.
type change struct {
	at    time.Time
	count int
}

// pending is an own request on an endpoint.
type pending struct {
	id       uint64
	endpoint string
	hashes   []uint64
	matched  int
	sent     time.Time
	expected time.Duration
	// queue and work are the predicted parts of expected, in milliseconds.
	queue float64
	work  float64
	// blocks is the number of blocks computed.
	blocks int
	// base is the computation without the learned factor, in milliseconds.
	base float64
	// first is the time of the first token. Zero before it.
	first time.Time
}

func newEndpointState(incarnation string) *endpointState {
	return &endpointState{
		incarnation:  incarnation,
		history:      []change{{}},
		factor:       1,
		service:      initialServiceMillis,
		prefillShare: initialPrefillShare,
	}
}

// computeMillis returns the time to compute the missing blocks and the rest of the prompt.
func (s *endpointState) computeMillis(r *Request, missing int) float64 {
	return s.factor * baseMillis(r, missing)
}

// baseMillis returns the configured time to compute the missing blocks and the rest of the prompt.
func baseMillis(r *Request, missing int) float64 {
	micros := r.MicrosPerBlock
	if micros <= 0 {
		micros = defaultMicrosPerBlock
	}
	return (float64(max(missing, 0)) + r.RestBlocks) * float64(micros) / microsPerMilli
}

// meanCompute returns the mean computation of a request in milliseconds.
func (s *endpointState) meanCompute(r *Request) float64 {
	if s.compute > 0 {
		return s.compute
	}
	return s.computeMillis(r, initialComputeBlocks)
}

// record notes a change of the number of own requests.
func (s *endpointState) record(now time.Time) {
	s.history = append(s.history, change{now, len(s.own)})
	drop := 0
	for drop < len(s.history)-1 && now.Sub(s.history[drop+1].at) > historyAge {
		drop++
	}
	drop = max(drop, len(s.history)-historyLength)
	s.history = append(s.history[:0], s.history[drop:]...)
}

// ownAt returns the number of own requests at an earlier time, or the oldest known.
func (s *endpointState) ownAt(at time.Time) int {
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(at) {
			return s.history[i].count
		}
	}
	return s.history[0].count
}

// others estimates the requests of other VMs on the endpoint now. It takes the fresher of two sources: the sum
// that peers report, and the engine's report less the own requests of that moment. Peers send requests like this
// VM does, so since their heartbeat each is expected to have added as many as this VM did. Without this, all VMs
// choose the endpoint that last looked idle. Reports older than the history are not used.
func (s *endpointState) others(e *Endpoint, peers int, now time.Time) float64 {
	count, at := 0.0, time.Time{}
	if now.Sub(e.Load.MeasuredAt) < historyAge {
		at = e.Load.MeasuredAt
		count = float64(max(e.Load.Running+e.Load.Waiting-s.ownAt(at), 0))
	}
	if now.Sub(e.Peers.At) < historyAge {
		reported := float64(e.Peers.InFlight)
		switch {
		case e.Peers.Complete && e.Peers.At.After(at):
			count, at = reported, e.Peers.At
		case reported > count:
			count = reported
		}
	}
	if at.IsZero() || peers <= 0 {
		return count
	}
	added := len(s.own) - s.ownAt(at)
	return count + float64(max(added, 0)*peers)
}

// queueMillis predicts the time before the engine starts on a new request.
func (s *endpointState) queueMillis(e *Endpoint, r *Request, others float64, now time.Time) float64 {
	delay := max(s.busyUntil.Sub(now).Seconds()*millisPerSecond, 0)
	if e.Peers.Timed {
		delay += e.Peers.Prefill.Seconds() * millisPerSecond
	} else {
		delay += others * s.prefillShare * s.meanCompute(r)
	}
	delay += float64(s.held) * s.computeMillis(r, 0)
	slots := e.MaxRunning
	if slots <= 0 {
		slots = defaultMaxRunning
	}
	if over := others + float64(len(s.own)-slots+1); over > 0 {
		delay += over * s.service / float64(slots)
	}
	return delay + s.overdue(now)
}

const millisPerSecond = 1000.0

// overdue returns the time in milliseconds by which the first token of an own request is late. An endpoint that
// stands still owes first tokens, while the predicted queue runs down.
func (s *endpointState) overdue(now time.Time) float64 {
	late := time.Duration(0)
	for _, p := range s.own {
		if p.first.IsZero() {
			late = max(late, now.Sub(p.sent)-p.expected)
		}
	}
	return late.Seconds() * millisPerSecond
}

// sent adds an own request.
func (s *endpointState) sent(p *pending, now time.Time) {
	s.own = append(s.own, p)
	s.record(now)
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(millis(p.work))
}

// firstToken learns from a measured time to first token.
func (s *endpointState) firstToken(p *pending, now time.Time) {
	p.first = now
	s.rebase(now)
	observed := now.Sub(p.sent).Seconds() * millisPerSecond
	expected := p.expected.Seconds() * millisPerSecond
	s.compute = learn(s.compute, p.work)
	if p.blocks > 0 && p.queue <= quietShare*expected {
		sample := min(max((observed-p.queue)/p.base, minFactor), maxFactor)
		s.factor += learnShare * (sample - s.factor)
	}
}

// rebase recomputes when the remaining own requests are computed.
func (s *endpointState) rebase(now time.Time) {
	s.busyUntil = now
	for _, p := range s.own {
		if p.first.IsZero() {
			s.busyUntil = s.busyUntil.Add(millis(p.work))
		}
	}
}

// done removes an own request and learns from its duration when it ended well.
func (s *endpointState) done(p *pending, ok bool, now time.Time) {
	for i, q := range s.own {
		if q == p {
			s.own = append(s.own[:i], s.own[i+1:]...)
			break
		}
	}
	s.record(now)
	if p.first.IsZero() {
		s.rebase(now)
		return
	}
	if !ok {
		return
	}
	total := now.Sub(p.sent).Seconds() * millisPerSecond
	first := p.first.Sub(p.sent).Seconds() * millisPerSecond
	if total <= 0 {
		return
	}
	s.service = learn(s.service, total)
	s.prefillShare += learnShare * (min(first/total, 1) - s.prefillShare)
}

// learn moves a mean towards a sample. Zero means that there is no mean yet.
func learn(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + learnShare*(sample-mean)
}

func millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
