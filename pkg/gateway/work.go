package gateway

import (
	"math"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/workload"
)

const (
	// workLogInterval is the shortest time between two log lines on the learned rates of a service.
	workLogInterval = time.Minute
	// workLogRatio is the ratio between a rate and the last logged one from which the change is logged.
	workLogRatio = 1.25
)

// newPlacer returns the placer for a value of the setting "placement", with a seed that differs between VMs.
func newPlacer(placement string, seed uint64) *place.Placer {
	p := place.NewFixed()
	if placement == settings.PlacementLearned {
		p = place.New()
	}
	p.SetSeed(seed)
	return p
}

// workLog holds the last logged rates by service and model, or service and route.
type workLog struct {
	last map[string]workload.Rates
	// at is when rates of a service were last logged.
	at map[string]time.Time
	// shownAt is when the metrics of the rates were last set.
	shownAt time.Time
}

func newWorkLog() workLog {
	return workLog{last: map[string]workload.Rates{}, at: map[string]time.Time{}}
}

// addWorkReport adds the sums of this VM's observations to its digest. The caller holds the lock.
func (g *Gateway) addWorkReport(d *gossip.Digest, now time.Time) {
	m := g.placer.Model()
	if m == nil {
		return
	}
	report := m.Report(now)
	for _, s := range report.Services {
		d.Work = append(d.Work, &gossip.WorkSums{Key: s.Key, Sums: s.Sums})
	}
	for _, f := range report.Factors {
		d.EndpointFactors = append(d.EndpointFactors, &gossip.EndpointFactor{
			Endpoint: f.Endpoint, Born: f.Born, LogSum: f.LogSum, Weight: f.Weight,
		})
	}
}

// applyPeerWork applies the sums of a peer's observations. Those of services and endpoints that this VM does not know are
// left out, so that a peer cannot fill the tables. The caller holds the lock.
func (g *Gateway) applyPeerWork(p *peerState, d *gossip.Digest, now time.Time) {
	m := g.placer.Model()
	if m == nil {
		return
	}
	var report workload.Report
	c := g.config.Load()
	for _, s := range d.GetWork() {
		if service := workload.ServiceOf(s.GetKey()); service != "" && c != nil && c.Services[service] == nil {
			continue
		}
		report.Services = append(report.Services, workload.ServiceSums{Key: s.GetKey(), Sums: s.GetSums()})
	}
	for _, f := range d.GetEndpointFactors() {
		e := g.endpoints.Get(f.GetEndpoint())
		if e == nil || e.StartTimeMs != f.GetBorn() {
			continue
		}
		report.Factors = append(report.Factors, workload.FactorSums{
			Endpoint: f.GetEndpoint(), Born: f.GetBorn(), LogSum: f.GetLogSum(), Weight: f.GetWeight(),
		})
	}
	if ignored := m.ApplyReport(p.vm, p.boot, report, now); ignored > 0 {
		g.metrics.counters.Add("work_reports_ignored_total", int64(ignored))
		g.logIgnoredWork(p, ignored, now)
	}
}

// logIgnoredWork logs, at most once in workLogInterval for each peer, that sums of a peer are malformed. The caller holds
// the lock.
func (g *Gateway) logIgnoredWork(p *peerState, ignored int, now time.Time) {
	if now.Sub(p.workIgnoredAt) < workLogInterval {
		return
	}
	p.workIgnoredAt = now
	g.log.warn(partPeer).Str("peer", p.vm).Int("count", ignored).Msg("learned costs of a peer are malformed, ignored")
}

// forgetWork removes the sums of a peer that is gone. The caller holds the lock.
func (g *Gateway) forgetWork(vm string) {
	if m := g.placer.Model(); m != nil {
		m.Forget(vm)
	}
}

// workShowInterval is the time between two updates of the metrics of the learned rates.
const workShowInterval = time.Second

// showWork sets the metrics of the learned rates, and logs those that have changed much. The caller holds the lock.
func (g *Gateway) showWork(now time.Time) {
	m := g.placer.Model()
	if m == nil || now.Sub(g.workLog.shownAt) < workShowInterval {
		return
	}
	g.workLog.shownAt = now
	for _, s := range m.Learned(now) {
		g.showRates(s, m.ServiceFactor(s.Service, now))
		g.logRates(s, now)
	}
}

// showRates sets the metrics of the learned rates of a service. The caller holds the lock.
func (g *Gateway) showRates(s workload.LearnedRates, lateness float64) {
	name := metricName(s.Service + "_" + s.Detail)
	g.metrics.set("work_lateness_"+name, lateness)
	g.metrics.set("work_observations_"+name, s.Rates.Observations)
	if !s.OnEngine {
		g.metrics.set("work_call_ms_"+name, s.Rates.PlainMs)
		return
	}
	g.metrics.set("work_prefill_tokens_per_ms_"+name, 1/s.Rates.PrefillMs)
	g.metrics.set("work_idle_first_token_ms_"+name, s.Rates.IdleMs)
	g.metrics.set("work_running_delay_ms_"+name, s.Rates.RunningMs)
	g.metrics.set("work_output_token_ms_"+name, s.Rates.StepMs)
	g.metrics.set("work_output_ratio_"+name, s.Rates.OutputRatio)
}

// metricName returns a name with only letters, digits and underscores.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

// logRates logs the learned rates of a service if they differ much from those last logged, at most once in
// workLogInterval. The caller holds the lock.
func (g *Gateway) logRates(s workload.LearnedRates, now time.Time) {
	key := s.Service + " " + s.Detail
	last, logged := g.workLog.last[key]
	if !logged {
		last = workload.PriorRates()
	}
	at, loggedService := g.workLog.at[s.Service]
	if loggedService && now.Sub(at) < workLogInterval || !ratesDiffer(last, s.Rates) {
		return
	}
	g.workLog.last[key] = s.Rates
	g.workLog.at[s.Service] = now
	g.log.info(partEndpoint).Str("service", s.Service).Str("of", s.Detail).Float64("observations", s.Rates.Observations).
		Dur("newest_age_ms", s.Age).Float64("prefill_tokens_per_ms", 1/s.Rates.PrefillMs).
		Float64("idle_first_token_ms", s.Rates.IdleMs).Float64("running_delay_ms", s.Rates.RunningMs).
		Float64("output_token_ms", s.Rates.StepMs).Float64("output_ratio", s.Rates.OutputRatio).
		Float64("call_ms", s.Rates.PlainMs).Float64("factor", s.Rates.Factor).Msg("learned costs changed")
}

// ratesDiffer reports whether one of the rates changed by workLogRatio.
func ratesDiffer(a, b workload.Rates) bool {
	before := []float64{a.PrefillMs, a.IdleMs, a.StepMs, a.PlainMs, a.Factor}
	after := []float64{b.PrefillMs, b.IdleMs, b.StepMs, b.PlainMs, b.Factor}
	for i := range before {
		if math.Abs(math.Log(after[i]/before[i])) > math.Log(workLogRatio) {
			return true
		}
	}
	return false
}
