package explain

import (
	"cmp"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// Report is the explanation of a decision. Names that end in _ms are milliseconds; ages are null if the event never
// happened.
type Report struct {
	VM        string    `json:"vm"`
	Request   Request   `json:"request"`
	Route     *Route    `json:"route,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	Rate      *Rate     `json:"rate,omitempty"`
	Stream    *Stream   `json:"stream,omitempty"`
	Probe     bool      `json:"probe,omitempty"`
	Services  []Service `json:"services,omitempty"`
	Choice    *Choice   `json:"choice,omitempty"`
	Refusal   *Refusal  `json:"refusal,omitempty"`
	Ages      Ages      `json:"ages"`
}

// Request is the request as the gateway read it.
type Request struct {
	ID           string `json:"id,omitempty"`
	Method       string `json:"method"`
	Host         string `json:"host"`
	Path         string `json:"path"`
	Model        string `json:"model,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
}

// Route is the matching route.
type Route struct {
	Name        string   `json:"name"`
	Kind        string   `json:"kind"`
	Priority    int      `json:"priority"`
	ObjectiveMs float64  `json:"objective_ms,omitempty"`
	Attempts    int      `json:"attempts"`
	Services    []string `json:"services"`
}

// Rate is the verdict on the rate of the workspace.
type Rate struct {
	Limited    bool    `json:"limited"`
	Allowed    bool    `json:"allowed"`
	CostTokens int64   `json:"cost_tokens"`
	LeftTokens int64   `json:"left_tokens"`
	WaitMs     float64 `json:"wait_ms,omitempty"`
}

// Stream is the origin of the stream that the request takes up.
type Stream struct {
	Source   string `json:"source"`
	Service  string `json:"service,omitempty"`
	Software string `json:"software,omitempty"`
}

// Service is the placement on one service.
type Service struct {
	Name       string      `json:"name"`
	Registered int         `json:"registered"`
	Eligible   int         `json:"eligible"`
	Candidates []Candidate `json:"candidates"`
	LeftOut    []LeftOut   `json:"left_out,omitempty"`
}

// Candidate is an endpoint that may take the request. They are ordered by score.
type Candidate struct {
	Endpoint     string  `json:"endpoint"`
	Address      string  `json:"address"`
	DataCentre   string  `json:"data_centre,omitempty"`
	Software     string  `json:"software,omitempty"`
	Version      int64   `json:"version,omitempty"`
	Running      int     `json:"running"`
	CachedTokens int     `json:"cached_tokens,omitempty"`
	ExpectedMs   float64 `json:"expected_ms"`
	ScoreMs      float64 `json:"score_ms"`
	Terms        []Term  `json:"terms"`
	// LastAnswerAgeMs is the age of the last answer to this VM, and SlowdownAgeMs and FailureAgeMs are the ages of what it
	// observed of speed and failures.
	LastAnswerAgeMs *float64 `json:"last_answer_age_ms"`
	SlowdownAgeMs   *float64 `json:"slowdown_age_ms"`
	FailureAgeMs    *float64 `json:"failure_age_ms"`
}

// Term is one part of a score.
type Term struct {
	Name string  `json:"name"`
	Ms   float64 `json:"ms"`
}

// LeftOut is an endpoint that may not take the request now.
type LeftOut struct {
	Endpoint string   `json:"endpoint"`
	Reason   string   `json:"reason"`
	EndsInMs *float64 `json:"ends_in_ms,omitempty"`
}

// Choice is the endpoint to which the request would be sent.
type Choice struct {
	Service        string  `json:"service"`
	Endpoint       string  `json:"endpoint"`
	Address        string  `json:"address"`
	Version        int64   `json:"version,omitempty"`
	ExpectedMs     float64 `json:"expected_ms"`
	UncachedTokens int     `json:"uncached_tokens,omitempty"`
	FetchFrom      string  `json:"fetch_from,omitempty"`
	SaveTo         string  `json:"save_to,omitempty"`
}

// Refusal is the answer to a request that would not be sent.
type Refusal struct {
	Status       int     `json:"status"`
	Code         string  `json:"code"`
	Message      string  `json:"message"`
	RetryAfterMs float64 `json:"retry_after_ms,omitempty"`
}

// Ages are the ages of the inputs of the decision.
type Ages struct {
	ConfigVersion    int64    `json:"config_version"`
	ConfigMs         *float64 `json:"config_ms"`
	ConfigVerifiedMs *float64 `json:"config_verified_ms"`
	EndpointsMs      *float64 `json:"endpoints_ms"`
	Peers            int      `json:"peers"`
	OldestDigestMs   *float64 `json:"oldest_digest_ms"`
}

// NoRoute reports whether no route takes the request.
func (r *Report) NoRoute() bool {
	return r.Refusal != nil && r.Refusal.Code == string(refusal.CodeNoRoute)
}

// New returns the report of a decision.
func New(in Input) Report {
	r := Report{
		VM: in.VM,
		Request: Request{
			ID: in.ID, Method: in.Method, Host: in.Host, Path: in.Path, Model: in.Model,
			PromptTokens: in.PromptTokens, OutputTokens: in.OutputTokens,
		},
		Workspace: in.Workspace,
		Probe:     in.Probe,
		Ages: Ages{
			ConfigVersion:    in.Times.ConfigVersion,
			ConfigMs:         ageOf(in.Times.ConfigApplied, in.Now),
			ConfigVerifiedMs: ageOf(in.Times.ConfigVerified, in.Now),
			EndpointsMs:      ageOf(in.Times.EndpointsRead, in.Now),
			Peers:            in.Times.Peers,
			OldestDigestMs:   ageOf(in.Times.OldestDigest, in.Now),
		},
	}
	if in.Route != nil {
		r.Route = newRoute(in.Route, in.ID)
	}
	if in.Rate != nil {
		r.Rate = &Rate{
			Limited: in.Rate.Limited, Allowed: in.Rate.Allowed, CostTokens: in.Rate.Cost, LeftTokens: in.Rate.Left,
			WaitMs: milliseconds(in.Rate.Wait),
		}
	}
	if in.Stream != nil {
		r.Stream = &Stream{Source: in.Stream.Source, Service: in.Stream.Service, Software: in.Stream.Software}
	}
	for _, s := range in.Services {
		r.Services = append(r.Services, newService(s, in.Now))
	}
	if in.Refusal != nil {
		r.Refusal = &Refusal{
			Status: in.Refusal.Status, Code: string(in.Refusal.Code), Message: in.Refusal.Message,
			RetryAfterMs: milliseconds(in.Refusal.RetryAfter),
		}
		return r
	}
	r.Choice = newChoice(in.Services)
	return r
}

// newRoute returns the report of a route, with its services in the order in which the request tries them.
func newRoute(route *traffic.Route, id string) *Route {
	kinds := map[traffic.Kind]string{traffic.Unsafe: "unsafe", traffic.Safe: "safe", traffic.Streaming: "streaming"}
	return &Route{
		Name: route.Name, Kind: kinds[route.Kind], Priority: route.Priority, ObjectiveMs: milliseconds(route.Objective),
		Attempts: route.Attempts, Services: route.TargetOrder(id),
	}
}

// newService returns the report of the placement on a service, with the candidates ordered by score. The choice may be
// another one than the first, since large systems draw among the candidates.
func newService(s ServiceInput, now time.Time) Service {
	out := Service{Name: s.Name, Registered: s.Registered, Eligible: s.Eligible, Candidates: []Candidate{}}
	for _, c := range s.Placement.Candidates {
		out.Candidates = append(out.Candidates, newCandidate(c, now))
	}
	slices.SortStableFunc(out.Candidates, func(a, b Candidate) int { return cmp.Compare(a.ScoreMs, b.ScoreMs) })
	for _, l := range s.Placement.LeftOut {
		left := LeftOut{Endpoint: l.Endpoint.ID, Reason: l.Reason}
		if !l.Until.IsZero() {
			ends := milliseconds(l.Until.Sub(now))
			left.EndsInMs = &ends
		}
		out.LeftOut = append(out.LeftOut, left)
	}
	return out
}

// newCandidate returns the report of one candidate.
func newCandidate(c place.ExplainedCandidate, now time.Time) Candidate {
	out := Candidate{
		Endpoint: c.Endpoint.ID, Address: c.Endpoint.Address, DataCentre: c.Endpoint.DataCentre, Software: c.Endpoint.Software,
		Version: c.Version, Running: c.Load.Running, CachedTokens: c.CachedTokens, ExpectedMs: c.Expected, ScoreMs: c.Score,
		LastAnswerAgeMs: ageOf(c.LastAnswer, now), SlowdownAgeMs: ageOf(c.SlowdownAt, now), FailureAgeMs: ageOf(c.FailureAt, now),
	}
	for _, t := range c.Terms {
		out.Terms = append(out.Terms, Term{Name: t.Name, Ms: t.Ms})
	}
	return out
}

// newChoice returns the choice on the first service that has one, or nil.
func newChoice(services []ServiceInput) *Choice {
	for _, s := range services {
		c := s.Placement.Choice
		if c.Endpoint == nil {
			continue
		}
		return &Choice{
			Service: s.Name, Endpoint: c.Endpoint.ID, Address: c.Endpoint.Address, Version: c.Version,
			ExpectedMs: milliseconds(c.Expected), UncachedTokens: c.UncachedTokens, FetchFrom: c.FetchFrom, SaveTo: c.SaveTo,
		}
	}
	return nil
}

// ageOf returns the time since t in milliseconds, or nil for the zero time.
func ageOf(t, now time.Time) *float64 {
	if t.IsZero() {
		return nil
	}
	age := milliseconds(now.Sub(t))
	return &age
}

// milliseconds converts a duration.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
