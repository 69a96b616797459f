package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/corneldeal/corneldeal/lab/engine"
)

// Range and precision of the histograms, in microseconds.
const (
	shortestUs = 1
	longestUs  = 120_000_000
	digits     = 3
)

// Policies in the order of the report.
const (
	PolicyRoundRobin = "round_robin"
	PolicyLeastLoad  = "least_load"
	PolicyPrefixHash = "prefix_hash"
	PolicyCorneldeal = "corneldeal"
	PolicyOracle     = "oracle"
)

// Policies returns all measured policies.
func Policies() []string {
	return []string{PolicyRoundRobin, PolicyLeastLoad, PolicyPrefixHash, PolicyCorneldeal, PolicyOracle}
}

// Metrics are the figures of one policy under one profile.
type Metrics struct {
	PrefixHitRate        float64 `json:"prefix_hit_rate"`
	TTFTP50Ms            float64 `json:"ttft_p50_ms"`
	TTFTP95Ms            float64 `json:"ttft_p95_ms"`
	TTFTP99Ms            float64 `json:"ttft_p99_ms"`
	InterTokenP95Ms      float64 `json:"intertoken_p95_ms"`
	WastedRecomputeRatio float64 `json:"wasted_recompute_ratio"`
	// WorstWorkspaceRatio is the worst workspace's p95 of the time to first token over the median workspace's,
	// the overloading workspace left out.
	WorstWorkspaceRatio float64 `json:"worst_workspace_ttft_p95_ratio"`
	WrongfulRefusalRate float64 `json:"wrongful_refusal_rate"`
	OverAdmittedTokens  int64   `json:"over_admitted_tokens"`
	Requests            int     `json:"requests"`
	IncompleteAnswers   int     `json:"incomplete_answers"`
	// InRate are the percentiles without the overloading workspace, whose requests wait for tokens. They are shown
	// in the table only.
	InRate Percentiles `json:"-"`
	// PhaseP95Ms is the p95 of the time to first token in each phase, without the overloading workspace, shown in
	// the table only.
	PhaseP95Ms []float64 `json:"-"`
	// WrongfulInRate is the number of wrongful refusals of the other workspaces, shown in the table only.
	WrongfulInRate int `json:"-"`
}

// Percentiles of the time to first token.
type Percentiles struct {
	P50Ms float64
	P95Ms float64
	P99Ms float64
}

// Overhead compares an idle engine with and without the router in front of it.
type Overhead struct {
	DirectTTFTP99Ms    float64 `json:"direct_ttft_p99_ms"`
	ViaRouterTTFTP99Ms float64 `json:"via_router_ttft_p99_ms"`
}

// Report is the content of the output file.
type Report struct {
	Profiles map[string]map[string]Metrics `json:"profiles"`
	Overhead Overhead                      `json:"overhead"`
}

// histogram records durations.
type histogram struct {
	h *hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{hdrhistogram.New(shortestUs, longestUs, digits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.h.RecordValue(min(max(d.Microseconds(), shortestUs), longestUs))
}

// ms returns a percentile in milliseconds, or 0 without values.
func (h histogram) ms(percentile float64) float64 {
	if h.h.TotalCount() == 0 {
		return 0
	}
	return float64(h.h.ValueAtQuantile(percentile)) / 1000
}

// Summarize computes the figures of one run in which requests arrived for the given length.
func Summarize(p Profile, outcomes []Outcome, totals engine.LedgerTotals, length time.Duration) Metrics {
	first, inRate, gaps := newHistogram(), newHistogram(), newHistogram()
	over := p.overloading()
	m := Metrics{}
	for i := range outcomes {
		o := &outcomes[i]
		if !o.Arrival.chat() {
			continue
		}
		m.Requests++
		if o.End == Broken {
			m.IncompleteAnswers++
		}
		if o.First > 0 {
			first.add(o.ttft())
		}
		if o.First > 0 && !over[o.Arrival.Workspace] {
			inRate.add(o.ttft())
		}
		for _, g := range o.Gaps {
			gaps.add(g)
		}
	}
	m.TTFTP50Ms = first.ms(50)
	m.TTFTP95Ms = first.ms(95)
	m.TTFTP99Ms = first.ms(99)
	m.InRate = Percentiles{P50Ms: inRate.ms(50), P95Ms: inRate.ms(95), P99Ms: inRate.ms(99)}
	m.InterTokenP95Ms = gaps.ms(95)
	m.PrefixHitRate = ratio(totals.Hit, totals.Hit+totals.Computed)
	m.WastedRecomputeRatio = ratio(totals.Wasted*BlockBytes/bytesPerToken, totals.PromptTokens)
	m.WorstWorkspaceRatio = worstWorkspace(p, outcomes)
	m.addLimits(p, outcomes)
	for _, ph := range phases() {
		m.PhaseP95Ms = append(m.PhaseP95Ms, phaseP95(over, outcomes, at(length, ph.from), at(length, ph.to)))
	}
	return m
}

// phaseP95 returns the p95 of requests sent in the time, in milliseconds.
func phaseP95(over map[string]bool, outcomes []Outcome, from, to time.Duration) float64 {
	h := newHistogram()
	for i := range outcomes {
		o := &outcomes[i]
		if o.Arrival.chat() && o.First > 0 && !over[o.Arrival.Workspace] && o.Sent >= from && o.Sent < to {
			h.add(o.ttft())
		}
	}
	return h.ms(95)
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func worstWorkspace(p Profile, outcomes []Outcome) float64 {
	var p95 []float64
	for _, w := range p.Workspaces {
		if w.overloading() {
			continue
		}
		h := newHistogram()
		for i := range outcomes {
			if o := &outcomes[i]; o.Arrival.chat() && o.Arrival.Workspace == w.Name && o.First > 0 {
				h.add(o.ttft())
			}
		}
		p95 = append(p95, h.ms(95))
	}
	if len(p95) == 0 {
		return 0
	}
	slices.Sort(p95)
	middle := (p95[(len(p95)-1)/2] + p95[len(p95)/2]) / 2
	if middle == 0 {
		return 0
	}
	return p95[len(p95)-1] / middle
}

// addLimits sets the figures about rate and burst over all workspaces.
func (m *Metrics) addLimits(p Profile, outcomes []Outcome) {
	inside, refused := 0, 0
	for _, w := range p.Workspaces {
		limit := p.Limit(w)
		demands, charges := bucketView(w.Name, outcomes)
		in, out := WrongfulRefusals(limit, demands)
		inside += in
		refused += out
		if !w.overloading() {
			m.WrongfulInRate += out
		}
		m.OverAdmittedTokens = max(m.OverAdmittedTokens, OverAdmitted(limit, charges))
	}
	m.WrongfulRefusalRate = ratio(int64(refused), int64(inside))
}

func bucketView(workspace string, outcomes []Outcome) (demands []Demand, charges []Charge) {
	for i := range outcomes {
		o := &outcomes[i]
		if o.Arrival.Workspace != workspace {
			continue
		}
		tokens := o.Arrival.Tokens
		if o.Resent {
			tokens *= 2
		}
		demands = append(demands, Demand{At: o.Sent, Tokens: tokens, Refused: o.End == Refused})
		if o.End == Complete && o.Arrival.chat() {
			charges = append(charges, Charge{From: o.Sent, To: o.First, Tokens: o.Arrival.Tokens})
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return int(a.At - b.At) })
	return demands, charges
}

// Write writes the report as JSON.
func (r Report) Write(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// Table prints the report for people.
func (r Report) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	for _, p := range Profiles() {
		if rows := r.Profiles[p.Name]; len(rows) > 0 {
			figureTable(w, p.Name, rows)
			phaseTable(w, p.Name, rows)
		}
	}
	_, _ = fmt.Fprintf(w, "\noverhead\tdirect p99 ms\tvia router p99 ms\t\n\t%.2f\t%.2f\t\n", r.Overhead.DirectTTFTP99Ms, r.Overhead.ViaRouterTTFTP99Ms)
	return w.Flush()
}

func figureTable(w io.Writer, profile string, rows map[string]Metrics) {
	_, _ = fmt.Fprintf(w, "\n%s\thit rate\tTTFT p50\tp95\tp99 ms\tin rate p50\tp95\tp99 ms\tgap p95 ms\twasted\tworst ws\t"+
		"wrongful\tin rate\tover tokens\trequests\tincomplete\t\n", profile)
	for _, policy := range Policies() {
		m, ok := rows[policy]
		if !ok {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.2f\t%.4f\t%d\t%d\t%d\t%d\t\n", policy,
			m.PrefixHitRate, m.TTFTP50Ms, m.TTFTP95Ms, m.TTFTP99Ms, m.InRate.P50Ms, m.InRate.P95Ms, m.InRate.P99Ms,
			m.InterTokenP95Ms, m.WastedRecomputeRatio, m.WorstWorkspaceRatio, m.WrongfulRefusalRate, m.WrongfulInRate,
			m.OverAdmittedTokens, m.Requests, m.IncompleteAnswers)
	}
}

// phaseTable shows which disturbance a policy's tail comes from.
func phaseTable(w io.Writer, profile string, rows map[string]Metrics) {
	_, _ = fmt.Fprintf(w, "\n%s, in rate p95 ms", profile)
	for _, ph := range phases() {
		_, _ = fmt.Fprintf(w, "\t%s", ph.name)
	}
	_, _ = fmt.Fprintln(w, "\t")
	for _, policy := range Policies() {
		m, ok := rows[policy]
		if !ok {
			continue
		}
		_, _ = fmt.Fprint(w, policy)
		for _, ms := range m.PhaseP95Ms {
			_, _ = fmt.Fprintf(w, "\t%.1f", ms)
		}
		_, _ = fmt.Fprintln(w, "\t")
	}
}
