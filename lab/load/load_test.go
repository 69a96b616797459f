package load

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/pkg/route"
)

// Policies that see different arrivals cannot be compared.
func TestArrivalsAreTheSameForOneSeed(t *testing.T) {
	p := Profiles()[0]
	a, b := Arrivals(p, 7, 5*time.Second), Arrivals(p, 7, 5*time.Second)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, Arrivals(p, 8, 5*time.Second)) {
		t.Fatal("the seed does not determine the arrivals")
	}
	if !slices.IsSortedFunc(a, func(x, y Arrival) int { return int(x.At - y.At) }) {
		t.Fatal("arrivals are not in order of time")
	}
}

// A profile without overload, shared levels or shift would not measure what it is meant to.
func TestArrivalsFollowTheProfile(t *testing.T) {
	const length = 400 * time.Second
	for _, p := range Profiles() {
		// Short texts keep the test fast; they do not change the times.
		p.RulesBytes, p.CatalogueBytes, p.OrderBytes = 40, 40, 40
		early, late := map[string]int{}, map[string]int{}
		hot := [2]map[string]int{{}, {}}
		for _, a := range Arrivals(p, 1, length) {
			if !a.chat() {
				continue
			}
			half := 0
			if a.At >= length/2 {
				half = 1
			}
			hot[half][a.Messages[1].Content]++
			if a.At < at(length, overloadFrom) {
				early[a.Workspace]++
			} else if a.At < at(length, overloadTo) {
				late[a.Workspace]++
			}
		}
		for _, w := range p.Workspaces {
			growth := float64(late[w.Name]) / float64(early[w.Name])
			if want := max(1, w.Overload); math.Abs(growth-want) > want/3 {
				t.Errorf("%s, %s: sends %.1f times as much, want %.1f", p.Name, w.Name, growth, want)
			}
		}
		if hottest(hot[0]) == hottest(hot[1]) {
			t.Errorf("%s: the hot prefix does not shift", p.Name)
		}
	}
}

func hottest(counts map[string]int) string {
	best := ""
	for text, n := range counts {
		if n > counts[best] {
			best = text
		}
	}
	return best
}

// Prompts that do not share whole blocks would make every policy look alike.
func TestPromptLevelsShareBlocks(t *testing.T) {
	for _, p := range Profiles() {
		g := newGenerator(p, p.Workspaces[0], 1, 0, time.Minute)
		a, b := g.chat(0), g.chat(0)
		seed := route.HashSeed("w", Model, "", Version)
		first := route.BlockHashes(seed, route.EncodePrompt(a.Messages), BlockBytes)
		second := route.BlockHashes(seed, route.EncodePrompt(b.Messages), BlockBytes)
		if rules := p.RulesBytes / BlockBytes; !slices.Equal(first[:rules], second[:rules]) || len(first) < rules+4 {
			t.Errorf("%s: %d blocks, the first %d are not shared", p.Name, len(first), rules)
		}
	}
}

// Wrong bucket accounting would report refusals as wrongful that are right, or hide wrongful ones.
func TestWrongfulRefusalsNeedTokensInTheBucket(t *testing.T) {
	l := Limit{TokensPerSecond: 10, BurstTokens: 20}
	demands := []Demand{
		{At: 1 * time.Second, Tokens: 10},
		{At: 1 * time.Second, Tokens: 1, Refused: true},
		{At: 9 * time.Second, Tokens: 20, Refused: true},
		{At: 9 * time.Second, Tokens: 20, Refused: true},
		{At: 9 * time.Second, Tokens: 15},
		{At: 10 * time.Second, Tokens: 1, Refused: true},
	}
	if inside, refused := WrongfulRefusals(l, demands); inside != 2 || refused != 1 {
		t.Fatalf("%d inside, %d of them refused", inside, refused)
	}
}

// An excess that is missed would pass a router that admits too much; one that is not proven would fail a good one.
func TestOverAdmissionIsFoundInAnyWindow(t *testing.T) {
	l := Limit{TokensPerSecond: 10, BurstTokens: 20}
	second := time.Second
	for name, c := range map[string]struct {
		charges []Charge
		want    int64
	}{
		"inside":       {[]Charge{{0, second, 20}, {second, 2 * second, 20}}, 0},
		"late window":  {[]Charge{{0, second, 1}, {10 * second, 10 * second, 20}, {10 * second, 11 * second, 15}}, 5},
		"not provable": {[]Charge{{0, 2 * second, 20}, {0, 2 * second, 20}}, 0},
	} {
		if got := OverAdmitted(l, c.charges); got != c.want {
			t.Errorf("%s: excess %d, want %d", name, got, c.want)
		}
	}
}

// An answer with a missing, repeated or foreign token must not count as complete.
func TestAnswerIsCheckedTokenByToken(t *testing.T) {
	messages := []route.Message{{Role: "user", Content: "x"}}
	read := func(indices ...int) error {
		var text strings.Builder
		for _, i := range indices {
			c := engine.Chunk{TokenIndex: &i, Choices: []engine.ChunkChoice{{Delta: engine.Delta{Content: engine.Text(messages, Version, i, i+1)}}}}
			data, _ := json.Marshal(c)
			text.WriteString("data: " + string(data) + "\n\n")
		}
		a := &answer{}
		if err := a.read(strings.NewReader(text.String() + "data: [DONE]\n\n")); err != nil {
			return err
		}
		return a.check(messages, 3)
	}
	if err := read(0, 1, 2); err != nil {
		t.Fatalf("a complete answer: %v", err)
	}
	for _, indices := range [][]int{{0, 2}, {0, 1, 1, 2}, {0, 1}, {0, 1, 2, 3}} {
		if read(indices...) == nil {
			t.Errorf("tokens %v count as complete", indices)
		}
	}
	if err := (&answer{}).read(strings.NewReader("")); err == nil {
		t.Error("a stream without end marker counts as complete")
	}
}

func outcome(workspace string, first time.Duration, end End) Outcome {
	messages := []route.Message{{Role: "user", Content: "x"}}
	return Outcome{Arrival: &Arrival{Workspace: workspace, Messages: messages, Tokens: 1}, First: first, End: end}
}

// The file is read by others; a renamed or missing key, or a wrong figure, would go unnoticed there.
func TestReportHoldsExactlyTheAgreedKeys(t *testing.T) {
	p := Profile{Name: "retail", RequestsPerSecond: 1e6, RateHeadroom: 1, BurstTime: time.Second, Workspaces: []Workspace{
		{Name: "a", Share: 1}, {Name: "b", Share: 1}, {Name: "c", Share: 1}, {Name: "d", Share: 1, Overload: 9},
	}}
	ms := time.Millisecond
	outcomes := []Outcome{
		outcome("a", 10*ms, Complete), outcome("b", 20*ms, Complete), outcome("c", 40*ms, Broken), outcome("d", 800*ms, Complete),
	}
	totals := engine.LedgerTotals{Computed: 1, Hit: 3, Wasted: 1, PromptTokens: 4000}
	m := Summarize(p, outcomes, totals, time.Second)
	if m.Requests != 4 || m.IncompleteAnswers != 1 || m.PrefixHitRate != 0.75 || m.WastedRecomputeRatio != 0.25 {
		t.Fatalf("got %+v", m)
	}
	if math.Abs(m.WorstWorkspaceRatio-2) > 0.01 {
		t.Fatalf("worst workspace ratio %v, want 40 ms over 20 ms", m.WorstWorkspaceRatio)
	}
	if m.PhaseP95Ms[0] < 39 || m.PhaseP95Ms[0] > 41 || m.PhaseP95Ms[1] != 0 {
		t.Fatalf("all requests were sent at the start, but phases have %v", m.PhaseP95Ms)
	}
	r := Report{Profiles: map[string]map[string]Metrics{p.Name: {PolicyOracle: m}}}
	file := filepath.Join(t.TempDir(), "report.json")
	if err := r.Write(file); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Profiles map[string]map[string]map[string]float64
		Overhead map[string]float64
	}
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(`prefix_hit_rate ttft_p50_ms ttft_p95_ms ttft_p99_ms intertoken_p95_ms wasted_recompute_ratio
		worst_workspace_ttft_p95_ratio wrongful_refusal_rate over_admitted_tokens requests incomplete_answers`)
	row := got.Profiles[p.Name][PolicyOracle]
	for _, key := range want {
		if _, ok := row[key]; !ok {
			t.Errorf("key %s is missing", key)
		}
	}
	if len(row) != len(want) || len(got.Overhead) != 2 {
		t.Errorf("the report holds other keys: %s", data)
	}
	if err := r.Table(&bytes.Buffer{}); err != nil {
		t.Fatal(err)
	}
}

// A plot that cannot be drawn would fail a measurement at its end.
func TestPlotsAreWritten(t *testing.T) {
	outcomes := []Outcome{outcome("a", time.Second, Complete)}
	samples := []Sample{{At: 0}, {At: time.Second, Totals: engine.LedgerTotals{Hit: 1}}}
	curves := []Curve{TTFTCurve("x", outcomes, time.Second), HitCurve("y", samples), {Policy: "empty"}}
	if len(curves[0].Points) != 1 || len(curves[1].Points) != 1 {
		t.Fatalf("curves %+v", curves)
	}
	file := filepath.Join(t.TempDir(), "plot.svg")
	if err := Plot(file, "title", "ms", curves); err != nil {
		t.Fatal(err)
	}
	if data, _ := os.ReadFile(file); !bytes.Contains(data, []byte("<svg")) {
		t.Fatal("the file holds no SVG")
	}
}

// An oracle that does not see the cache or resume after a crash would be no bound.
func TestOracleUsesTheCacheAndResumes(t *testing.T) {
	p := Profiles()[0]
	p.Engines, p.Services = 3, 0
	plat, err := newPlatform(p)
	if err != nil {
		t.Fatal(err)
	}
	defer plat.close()
	s := newOracle(p, plat.engines)
	for _, b := range s.limits {
		b.level = 1e9
		b.limit.BurstTokens = 1e9
	}
	a := newGenerator(p, p.Workspaces[0], 1, 0, time.Minute).chat(0)
	if o := s.send(context.Background(), time.Now(), &a); o.End != Complete || o.Cached != 0 {
		t.Fatalf("first: %+v", o)
	}
	if o := s.send(context.Background(), time.Now(), &a); o.End != Complete || o.Cached == 0 {
		t.Fatalf("second: %+v", o)
	}
	a.MaxTokens = 200
	done := make(chan Outcome, 1)
	go func() { done <- s.send(context.Background(), time.Now(), &a) }()
	crashed := false
	for end := time.Now().Add(30 * time.Second); !crashed && time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, e := range plat.engines {
			if state := e.ExactState(); state.Running > 0 && state.DecodeLeft < a.MaxTokens {
				e.SetFaults(engine.Faults{Crash: true, DownMs: 1})
				crashed = true
			}
		}
	}
	if o := <-done; !crashed || o.End != Complete {
		t.Fatalf("crashed %v: %+v", crashed, o)
	}
}
