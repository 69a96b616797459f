package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/pkg/route"
)

const (
	// sampleEvery is the time between two samples of the ledger.
	sampleEvery = time.Second
	// settle is the time between readiness and the first request, in which limit slots are taken and fill.
	settle = 2 * time.Second
	// drainTime bounds the wait for answers after the last arrival.
	drainTime = 15 * time.Second
	// crashDownMs is the down time of the crashed engine in milliseconds.
	crashDownMs = 1000
	// overheadRequests is the number of requests of each kind that measure the router's own time.
	overheadRequests = 250
)

// Options configure a measurement.
type Options struct {
	// Router is the path of the router program.
	Router string
	// Out is the JSON file; plots are written beside it.
	Out string
	// Length is the time in which requests arrive, per profile and policy.
	Length time.Duration
	// Limit bounds the whole measurement.
	Limit time.Duration
	Seed  uint64
	// Profiles and Policies select by name; empty means all.
	Profiles []string
	Policies []string
	// Log receives progress and the table.
	Log io.Writer
}

// measurement is one call of Measure.
type measurement struct {
	Options
	dir string
}

// result is one run of a policy.
type result struct {
	policy   string
	outcomes []Outcome
	samples  []Sample
	totals   engine.LedgerTotals
	mostRuns int64
	stale    int64
	evicted  int64
}

// Measure runs every policy under every profile, writes the report and the plots and prints a table.
func Measure(ctx context.Context, opt Options) error {
	ctx, cancel := context.WithTimeout(ctx, opt.Limit)
	defer cancel()
	if err := os.MkdirAll(filepath.Dir(opt.Out), 0o755); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "corneldeal-measure-")
	if err != nil {
		return err
	}
	m := &measurement{Options: opt, dir: dir}
	report := Report{Profiles: map[string]map[string]Metrics{}}
	var failed error
	for _, p := range Profiles() {
		if !selected(opt.Profiles, p.Name) {
			continue
		}
		rows, err := m.profile(ctx, p)
		report.Profiles[p.Name] = rows
		failed = errors.Join(failed, err)
	}
	report.Overhead, err = m.overhead(ctx)
	failed = errors.Join(failed, err)
	if err := report.Write(opt.Out); err != nil {
		return err
	}
	if err := report.Table(opt.Log); err != nil {
		return err
	}
	if failed != nil {
		return fmt.Errorf("the report is partial, outputs are in %s: %w", dir, failed)
	}
	return os.RemoveAll(dir)
}

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func (m *measurement) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(m.Log, format+"\n", args...)
}

// profile measures all policies and plots them. A policy that fails is left out and reported.
func (m *measurement) profile(ctx context.Context, p Profile) (map[string]Metrics, error) {
	rows := map[string]Metrics{}
	arrivals := Arrivals(p, m.Seed, m.Length)
	m.logf("%s: %d arrivals in %v, seed %d", p.Name, len(arrivals), m.Length, m.Seed)
	var failed error
	var ttft, hits []Curve
	for _, policy := range Policies() {
		if !selected(m.Policies, policy) {
			continue
		}
		r, err := m.policy(ctx, p, policy, arrivals)
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s, %s: %w", p.Name, policy, err))
			continue
		}
		rows[policy] = Summarize(p, r.outcomes, r.totals, m.Length)
		failed = errors.Join(failed, r.check(p))
		ttft = append(ttft, TTFTCurve(policy, r.outcomes, m.Length))
		hits = append(hits, HitCurve(policy, r.samples))
		m.logf("%s, %s: %s; most runs of one booking %d; %d blocks evicted", p.Name, policy, describe(r.outcomes), r.mostRuns, r.evicted)
	}
	base := strings.TrimSuffix(m.Out, filepath.Ext(m.Out)) + "-" + p.Name
	err := Plot(base+"-ttft.svg", p.Name+": time to first token, p95 by second", "ms", ttft)
	failed = errors.Join(failed, err)
	err = Plot(base+"-hits.svg", p.Name+": prefix hit rate by second", "share of blocks", hits)
	return rows, errors.Join(failed, err)
}

// check reports broken promises that the metrics do not hold.
func (r result) check(p Profile) error {
	if r.mostRuns > 1 {
		return fmt.Errorf("%s, %s: a booking ran %d times", p.Name, r.policy, r.mostRuns)
	}
	if r.stale > 0 {
		return fmt.Errorf("%s, %s: %d cached blocks of other weights were used", p.Name, r.policy, r.stale)
	}
	return nil
}

// describe lists what the metrics do not hold: refusals by code, faults, calls to the plain service.
func describe(outcomes []Outcome) string {
	counts := map[string]int{}
	for i := range outcomes {
		o := &outcomes[i]
		kind := "chat "
		if !o.Arrival.chat() {
			kind = "call "
		}
		switch o.End {
		case Complete:
			counts[kind+"complete"]++
		case Refused:
			counts[kind+"refused "+o.Code+"/"+o.RunState]++
		case Broken:
			counts[kind+"broken: "+o.Fault]++
		case Lost:
			counts[kind+"lost with its VM"]++
		}
		if o.Resent {
			counts[kind+"sent again after a VM kill"]++
		}
	}
	var lines []string
	for text, n := range counts {
		lines = append(lines, fmt.Sprintf("%d %s", n, text))
	}
	slices.Sort(lines)
	return strings.Join(lines, "; ")
}

// policy runs one policy on fresh stand-ins and router processes.
func (m *measurement) policy(ctx context.Context, p Profile, policy string, arrivals []Arrival) (result, error) {
	plat, err := newPlatform(p)
	if err != nil {
		return result{}, err
	}
	defer plat.close()
	moments := []Moment{{At: at(m.Length, crashAt), Do: func() {
		plat.engines[0].SetFaults(engine.Faults{Crash: true, DownMs: crashDownMs})
	}}}
	var s sender = newOracle(p, plat.engines)
	if policy != PolicyOracle {
		fleet, err := m.fleet(ctx, p, policy, plat)
		if err != nil {
			return result{}, err
		}
		defer fleet.discard()
		moments = append(moments, Moment{At: at(m.Length, killAt), Do: fleet.killOne})
		s = &viaRouter{client: newClient(), vms: &balancer{vms: fleet.VMs}, keys: keysOf(p)}
	}
	r := result{policy: policy}
	r.samples, r.outcomes = m.run(ctx, s, plat, arrivals, moments)
	if err := ctx.Err(); err != nil {
		return result{}, fmt.Errorf("the time limit of the measurement is over: %w", err)
	}
	r.totals = plat.ledger.Totals()
	r.mostRuns = plat.mostRuns()
	for _, e := range plat.engines {
		stats := e.Stats()
		r.stale += stats.StaleHits
		r.evicted += stats.BlocksEvicted
	}
	return r, nil
}

// run sends the arrivals and samples the ledger meanwhile.
func (m *measurement) run(ctx context.Context, s sender, plat *platform, arrivals []Arrival, moments []Moment) ([]Sample, []Outcome) {
	for n := time.Duration(0); n <= m.Length/sampleEvery; n++ {
		moments = append(moments, Moment{At: n * sampleEvery})
	}
	var samples []Sample
	taken := make(chan Sample, len(moments))
	for i := range moments {
		if moments[i].Do == nil {
			at := moments[i].At
			moments[i].Do = func() { taken <- Sample{At: at, Totals: plat.ledger.Totals()} }
		}
	}
	sending, cancel := context.WithTimeout(ctx, m.Length+drainTime)
	defer cancel()
	outcomes := Run(sending, s, arrivals, moments)
	close(taken)
	for sample := range taken {
		samples = append(samples, sample)
	}
	slices.SortFunc(samples, func(a, b Sample) int { return int(a.At - b.At) })
	return samples, outcomes
}

// measuredFleet is the set of router processes of one run.
type measuredFleet struct {
	*deploy.Fleet
	plat *platform
}

func (m *measurement) fleet(ctx context.Context, p Profile, policy string, plat *platform) (*measuredFleet, error) {
	dir, err := os.MkdirTemp(m.dir, p.Name+"-"+policy+"-")
	if err != nil {
		return nil, err
	}
	f := &measuredFleet{plat: plat, Fleet: &deploy.Fleet{
		Router: m.Router,
		Dir:    dir,
		Log:    plat.log.Addr(),
		VMList: plat.vms.Addr(),
		Policy: policy,
	}}
	if err := f.Plan(p.VMs, p.DataCentres); err != nil {
		return nil, err
	}
	plat.vms.Set(f.List())
	err = f.Start(ctx)
	if err == nil {
		_, err = f.Publish(ctx, Note(p, plat.addresses()))
	}
	if err == nil {
		err = f.AwaitReady(ctx)
	}
	if err != nil {
		f.discard()
		return nil, err
	}
	sleepUntil(ctx, time.Now().Add(settle))
	return f, nil
}

// killOne kills the first VM. The platform's list stops showing it.
func (f *measuredFleet) killOne() {
	f.VMs[0].Kill()
	f.plat.vms.Set(f.List())
}

// discard ends all VMs at once; the run is over and needs no graceful shutdown.
func (f *measuredFleet) discard() {
	for _, v := range f.VMs {
		if v.Process() != nil {
			v.Kill()
		}
	}
}

func keysOf(p Profile) map[string]string {
	keys := map[string]string{}
	for _, w := range p.Workspaces {
		keys[w.Name] = keyOf(w.Name)
	}
	return keys
}

// overhead sends the same cached prompt in turn straight to an idle engine and through one VM in front of it.
func (m *measurement) overhead(ctx context.Context) (Overhead, error) {
	p := Profile{
		Name:              "overhead",
		Engines:           1,
		VMs:               1,
		DataCentres:       []string{"dc-1"},
		CacheBlocks:       engine.DefaultCacheBlocks,
		RequestsPerSecond: 1e4,
		Workspaces:        []Workspace{{Name: "idle", Share: 1, Catalogues: 1}},
		RulesBytes:        8200,
		CatalogueBytes:    12000,
		OrderBytes:        4000,
		MinOutput:         1,
		MaxOutput:         1,
		RateHeadroom:      1,
		BurstTime:         2 * time.Second,
	}
	plat, err := newPlatform(p)
	if err != nil {
		return Overhead{}, err
	}
	defer plat.close()
	fleet, err := m.fleet(ctx, p, PolicyCorneldeal, plat)
	if err != nil {
		return Overhead{}, fmt.Errorf("overhead: %w", err)
	}
	defer fleet.discard()
	a := newGenerator(p, p.Workspaces[0], m.Seed, 0, time.Minute).chat(0)
	router := &viaRouter{client: newClient(), vms: &balancer{vms: fleet.VMs}, keys: keysOf(p)}
	return compare(ctx, &direct{client: newClient(), engine: plat.engines[0]}, router, &a)
}

// compare sends to both in turn, so that disturbances of the machine reach both alike.
func compare(ctx context.Context, straight, router sender, a *Arrival) (Overhead, error) {
	h := [2]histogram{newHistogram(), newHistogram()}
	for n := range overheadRequests {
		for i, s := range []sender{straight, router} {
			o := s.send(ctx, time.Now(), a)
			if o.End != Complete {
				return Overhead{}, fmt.Errorf("overhead: request %d: %s %s %s", n, o.Code, o.RunState, o.Fault)
			}
			if n > 0 {
				h[i].add(o.ttft())
			}
		}
	}
	return Overhead{DirectTTFTP99Ms: h[0].ms(99), ViaRouterTTFTP99Ms: h[1].ms(99)}, nil
}

// direct sends to one engine.
type direct struct {
	client *http.Client
	engine *engine.Engine
}

// send implements sender.
func (d *direct) send(ctx context.Context, start time.Time, a *Arrival) Outcome {
	o := Outcome{Arrival: a, Sent: time.Since(start)}
	body := a.body()
	body.CacheSalt = strconv.FormatUint(route.HashSeed(a.Workspace, Model, "", Version), 10)
	got := &answer{}
	url := "http://" + d.engine.Addr() + "/v1/chat/completions"
	err := stream(ctx, d.client, url, http.Header{}, body.json(), got, nil)
	if err == nil {
		err = got.check(a.Messages, a.MaxTokens)
	}
	o.take(got, err, start)
	return o
}
