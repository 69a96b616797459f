package workload

import "time"

const (
	// maxOutputKeys is the number of pairs of workspace and route for which the size of outputs is learned.
	maxOutputKeys = 512
	// outputShrink is the number of outputs of the whole service that count as much as those of one workspace and route.
	outputShrink = 5.0
	// outputHalfLife is the half-life of the sizes of outputs of a workspace and route.
	outputHalfLife = 60 * time.Second
)

// OutputQuery describes a request whose output is to be estimated.
type OutputQuery struct {
	Service, Model, Workspace, Route string
	// Hint is the number of output tokens that the caller's hint, limit or a default suggests, and Limit the maximum, or
	// zero if there is none.
	Hint, Limit int
}

// outputKey identifies what outputs are learned for, on this VM alone.
type outputKey struct {
	service, workspace, route string
}

// outputState are decayed sums of outputs.
type outputState struct {
	count, expected, actual float64
	at                      time.Time
}

// decayTo decays the sums to a time.
func (s *outputState) decayTo(now time.Time) {
	f := decayFactor(now.Sub(s.at), outputHalfLife)
	s.count *= f
	s.expected *= f
	s.actual *= f
	s.at = now
}

// ExpectedOutput returns the expected output tokens of a request: its hint, corrected by the ratio of true to expected
// tokens of its workspace and route, and of the service where these had few.
func (m *Model) ExpectedOutput(q OutputQuery, now time.Time) int {
	ratio := m.Rates(Query{Service: q.Service, Model: q.Model, OnEngine: true}, now).OutputRatio
	if s := m.outputs[outputKey{q.Service, q.Workspace, q.Route}]; s != nil {
		s.decayTo(now)
		prior := outputShrink * s.expected / max(s.count, 1)
		if s.count > 0 {
			ratio = (s.actual + ratio*prior) / (s.expected + prior)
		}
	}
	tokens := int(float64(q.Hint)*min(max(ratio, minOutputRatio), maxOutputRatio) + 0.5)
	if q.Limit > 0 {
		tokens = min(tokens, q.Limit)
	}
	return max(tokens, 1)
}

// Output is a complete output.
type Output struct {
	OutputQuery
	// Tokens is the number of its tokens.
	Tokens int
	// TookMs is the time from the first to the last token.
	TookMs float64
	// ReadMs is the estimated part of TookMs in which the engine read the prompts of other requests.
	ReadMs float64
}

// minOutputTokens is the number of tokens from which the time of an output shows the time of a token.
const minOutputTokens = 4

// ObserveOutput records a complete output.
func (m *Model) ObserveOutput(o Output, now time.Time) {
	if o.Tokens <= 0 || o.Hint <= 0 {
		return
	}
	k := serviceKey{service: o.Service, detail: o.Model, onEngine: true}
	var v vector
	v[sumOutputs], v[sumExpected], v[sumActual] = 1, float64(o.Hint), float64(o.Tokens)
	if o.Tokens >= minOutputTokens {
		step := (o.TookMs - o.ReadMs) / float64(o.Tokens-1)
		v[sumSteps] = 1
		v[sumStepMs] = min(max(step, minEngineRatio*PriorOutputTokenMs), maxEngineRatio*PriorOutputTokenMs)
	}
	m.stateOf(k).rates.addOwn(v, now)
	s := m.outputStateOf(outputKey{o.Service, o.Workspace, o.Route}, now)
	s.decayTo(now)
	s.count++
	s.expected += float64(o.Hint)
	s.actual += float64(o.Tokens)
}

// outputStateOf returns the state of a workspace and route. A new one replaces the oldest where there is no room.
func (m *Model) outputStateOf(k outputKey, now time.Time) *outputState {
	if s := m.outputs[k]; s != nil {
		return s
	}
	if len(m.outputs) >= maxOutputKeys {
		oldest, at := outputKey{}, now
		for key, s := range m.outputs {
			if !s.at.After(at) {
				oldest, at = key, s.at
			}
		}
		delete(m.outputs, oldest)
	}
	s := &outputState{at: now}
	m.outputs[k] = s
	return s
}
