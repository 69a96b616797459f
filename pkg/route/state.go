package route

import (
	"time"
)

// Initial values and weights of the estimates per endpoint.
const (
	defaultMicrosPerBlock = 25_000
	defaultMaxRunning     = 16
	// initialServiceMillis is the service time assumed until a request is done.
	initialServiceMillis = 2000
	// initialPrefillShare is the share of the service time before the first token, until measured.
	initialPrefillShare = 0.2
	// initialPrefillBlocks is the number of blocks that a request computes, until measured.
	initialPrefillBlocks = 4
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.1
	// Samples of the block time factor are clamped, since one wrong cache prediction gives a sample far from the truth.
	minBlockTimeFactor = 0.25
	maxBlockTimeFactor = 4
	// The block time is sampled only when the queue delay is at most this share of the expected time to first token.
	maxSampleQueueShare = 0.2
	// Limits of the request count history, which corrects late reports.
	maxHistoryAge    = 5 * time.Second
	maxHistoryLength = 512
)

// endpointState holds this VM's requests on one endpoint and its estimates for the endpoint.
type endpointState struct {
	incarnation string
	// ownRequests are this VM's requests on the endpoint, in the order sent.
	ownRequests []*sentRequest
	// heldCount is the number of own requests that are held back for another's prefill on the endpoint.
	heldCount int
	// ownHistory holds the number of own requests after each change.
	ownHistory []ownCount
	// busyUntil is when the prefills of the own requests without a first token are expected to end.
	busyUntil time.Time
	// blockTimeFactor is the ratio of the measured to the configured time per block.
	blockTimeFactor float64
	// meanServiceMillis is the mean time from sending a request to its end.
	meanServiceMillis float64
	// meanPrefillShare is the mean share of the service time before the first token.
	meanPrefillShare float64
	// meanPrefillMillis is the mean predicted prefill time of the requests. Zero means that there was none.
	meanPrefillMillis float64
}

// ownCount is the number of own requests from a point in time on.
type ownCount struct {
	at    time.Time
	count int
}

// sentRequest is a request of this VM on an endpoint, from RecordSent to RecordDone.
type sentRequest struct {
	id       uint64
	endpoint string
	hashes   []uint64
	// availableBlocks is the number of leading blocks cached or imported.
	availableBlocks int
	sentAt          time.Time
	expectedTTFT    time.Duration
	// queueMillis and workMillis are the queue delay and the prefill and import time that make up expectedTTFT.
	queueMillis float64
	workMillis  float64
	// missingBlocks is the number of blocks to compute.
	missingBlocks int
	// configuredMillis is the prefill time by the configured time per block.
	configuredMillis float64
	// firstTokenAt is the time of the first token, or zero before it.
	firstTokenAt time.Time
}

func newEndpointState(incarnation string) *endpointState {
	return &endpointState{
		incarnation:       incarnation,
		ownHistory:        []ownCount{{}},
		blockTimeFactor:   1,
		meanServiceMillis: initialServiceMillis,
		meanPrefillShare:  initialPrefillShare,
	}
}

// prefillMillis returns the expected time in milliseconds to compute the missing blocks and the partial last block.
func (s *endpointState) prefillMillis(r *Request, missing int) float64 {
	return s.blockTimeFactor * configuredPrefillMillis(r, missing)
}

// configuredPrefillMillis returns the time in milliseconds to compute the missing blocks and the partial last
// block, by the configured time per block.
func configuredPrefillMillis(r *Request, missing int) float64 {
	micros := r.MicrosPerBlock
	if micros <= 0 {
		micros = defaultMicrosPerBlock
	}
	return (float64(max(missing, 0)) + r.PartialBlock) * float64(micros) / microsPerMilli
}

// expectedPrefillMillis returns the mean prefill time of a request in milliseconds, or an estimate before the first.
func (s *endpointState) expectedPrefillMillis(r *Request) float64 {
	if s.meanPrefillMillis > 0 {
		return s.meanPrefillMillis
	}
	return s.prefillMillis(r, initialPrefillBlocks)
}

// recordOwnCount appends the current number of own requests to the history and drops old entries.
func (s *endpointState) recordOwnCount(now time.Time) {
	s.ownHistory = append(s.ownHistory, ownCount{now, len(s.ownRequests)})
	drop := 0
	for drop < len(s.ownHistory)-1 && now.Sub(s.ownHistory[drop+1].at) > maxHistoryAge {
		drop++
	}
	drop = max(drop, len(s.ownHistory)-maxHistoryLength)
	s.ownHistory = append(s.ownHistory[:0], s.ownHistory[drop:]...)
}

// ownCountAt returns the number of own requests at an earlier time, or the oldest number in the history.
func (s *endpointState) ownCountAt(at time.Time) int {
	for i := len(s.ownHistory) - 1; i > 0; i-- {
		if !s.ownHistory[i].at.After(at) {
			return s.ownHistory[i].count
		}
	}
	return s.ownHistory[0].count
}

// otherRequests estimates the current number of requests of other VMs on the endpoint. It uses the fresher of two
// sources: the sum that peers report, and the engine's report minus the own requests at that moment. Peers send
// requests at the same pace as this VM, so each is assumed to have added as many as this VM since its heartbeat.
// Without this correction, all VMs choose the endpoint that last looked idle. Reports older than the history are
// ignored.
func (s *endpointState) otherRequests(e *Endpoint, peers int, now time.Time) float64 {
	count, at := 0.0, time.Time{}
	if now.Sub(e.Load.MeasuredAt) < maxHistoryAge {
		at = e.Load.MeasuredAt
		count = float64(max(e.Load.Running+e.Load.Waiting-s.ownCountAt(at), 0))
	}
	if now.Sub(e.PeerLoad.OldestHeartbeat) < maxHistoryAge {
		reported := float64(e.PeerLoad.InFlight)
		switch {
		case e.PeerLoad.Complete && e.PeerLoad.OldestHeartbeat.After(at):
			count, at = reported, e.PeerLoad.OldestHeartbeat
		case reported > count:
			count = reported
		}
	}
	if at.IsZero() || peers <= 0 {
		return count
	}
	added := len(s.ownRequests) - s.ownCountAt(at)
	return count + float64(max(added, 0)*peers)
}

// queueMillis predicts the time in milliseconds before the engine starts on a new request.
func (s *endpointState) queueMillis(e *Endpoint, r *Request, others float64, now time.Time) float64 {
	delay := max(s.busyUntil.Sub(now).Seconds()*millisPerSecond, 0)
	if e.PeerLoad.PrefillKnown {
		delay += e.PeerLoad.PrefillBacklog.Seconds() * millisPerSecond
	} else {
		delay += others * s.meanPrefillShare * s.expectedPrefillMillis(r)
	}
	delay += float64(s.heldCount) * s.prefillMillis(r, 0)
	slots := e.MaxRunning
	if slots <= 0 {
		slots = defaultMaxRunning
	}
	if over := others + float64(len(s.ownRequests)-slots+1); over > 0 {
		delay += over * s.meanServiceMillis / float64(slots)
	}
	return delay + s.overdueMillis(now)
}

const millisPerSecond = 1000.0

// overdueMillis returns the longest time in milliseconds by which the first token of an own request is overdue. A
// stalled endpoint produces no first tokens while its predicted queue shrinks with time.
func (s *endpointState) overdueMillis(now time.Time) float64 {
	late := time.Duration(0)
	for _, p := range s.ownRequests {
		if p.firstTokenAt.IsZero() {
			late = max(late, now.Sub(p.sentAt)-p.expectedTTFT)
		}
	}
	return late.Seconds() * millisPerSecond
}

// addRequest adds an own request.
func (s *endpointState) addRequest(p *sentRequest, now time.Time) {
	s.ownRequests = append(s.ownRequests, p)
	s.recordOwnCount(now)
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(millisToDuration(p.workMillis))
}

// recordFirstToken updates the estimates from the measured time to first token.
func (s *endpointState) recordFirstToken(p *sentRequest, now time.Time) {
	p.firstTokenAt = now
	s.recomputeBusyUntil(now)
	observed := now.Sub(p.sentAt).Seconds() * millisPerSecond
	expected := p.expectedTTFT.Seconds() * millisPerSecond
	s.meanPrefillMillis = updateMean(s.meanPrefillMillis, p.workMillis)
	if p.missingBlocks > 0 && p.queueMillis <= maxSampleQueueShare*expected {
		sample := min(max((observed-p.queueMillis)/p.configuredMillis, minBlockTimeFactor), maxBlockTimeFactor)
		s.blockTimeFactor += sampleWeight * (sample - s.blockTimeFactor)
	}
}

// recomputeBusyUntil sets busyUntil from the own requests that still have no first token.
func (s *endpointState) recomputeBusyUntil(now time.Time) {
	s.busyUntil = now
	for _, p := range s.ownRequests {
		if p.firstTokenAt.IsZero() {
			s.busyUntil = s.busyUntil.Add(millisToDuration(p.workMillis))
		}
	}
}

// finishRequest removes an own request and, if it succeeded, updates the estimates from its duration.
func (s *endpointState) finishRequest(p *sentRequest, ok bool, now time.Time) {
	for i, q := range s.ownRequests {
		if q == p {
			s.ownRequests = append(s.ownRequests[:i], s.ownRequests[i+1:]...)
			break
		}
	}
	s.recordOwnCount(now)
	if p.firstTokenAt.IsZero() {
		s.recomputeBusyUntil(now)
		return
	}
	if !ok {
		return
	}
	total := now.Sub(p.sentAt).Seconds() * millisPerSecond
	first := p.firstTokenAt.Sub(p.sentAt).Seconds() * millisPerSecond
	if total <= 0 {
		return
	}
	s.meanServiceMillis = updateMean(s.meanServiceMillis, total)
	s.meanPrefillShare += sampleWeight * (min(first/total, 1) - s.meanPrefillShare)
}

// updateMean returns the moving average after a sample. A mean of zero means that there was no sample yet.
func updateMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + sampleWeight*(sample-mean)
}

func millisToDuration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
