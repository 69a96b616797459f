// Package failure tests the promises of the router between real processes under kills, pauses, cuts, outages of the
// platform and races. The stand-ins of the platform run in the test process, so that their faults can be set.
package failure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/lab/logservice"
	"github.com/corneldeal/corneldeal/lab/service"
	"github.com/corneldeal/corneldeal/lab/vmlist"
	"github.com/corneldeal/corneldeal/pkg/auth"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/route"
)

const (
	// waitLimit bounds every wait for a condition. It is generous, since machines that run tests may be busy.
	waitLimit = 60 * time.Second
	pollEvery = 20 * time.Millisecond
	blockSize = 400
	// outputShown is the part of a process's output that a failure shows, in bytes.
	outputShown = 3000
	keySmall    = "key-of-workspace-small"
	keyLarge    = "key-of-workspace-large"
)

var routerProgram string

// running bounds the deployments at one time, so that tests do not slow each other down.
var running = make(chan struct{}, 4)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the router and runs the tests against it.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "corneldeal-failure")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	routerProgram = filepath.Join(dir, "corneldeal")
	// The race detector watches the router too.
	build := exec.Command("go", "build", "-race", "-o", routerProgram, "github.com/corneldeal/corneldeal/cmd/corneldeal")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the router: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// deployment is a set of router processes with the stand-ins they talk to.
type deployment struct {
	*deploy.Fleet
	t        *testing.T
	ctx      context.Context
	log      *logservice.Service
	vms      *vmlist.Service
	engines  []*engine.Engine
	services []*service.Service
	links    map[string]links
}

// shape describes a deployment.
type shape struct {
	vms      int
	engines  int
	services int
	// log and engine change the options of the stand-ins.
	log    logservice.Options
	engine engine.Options
	// note changes the first release note.
	note func(*config.ReleaseNote)
	// drainDelayMs is the drain delay of each VM.
	drainDelayMs int64
	// linked gives each VM links of its own to the log, the VM list and the other VMs, so that it can be cut off.
	linked bool
}

// links are the links of one VM.
type links struct {
	log, list, peer *deploy.Link
}

// start starts a deployment with its first release note in force.
func start(t *testing.T, s shape) *deployment {
	t.Helper()
	t.Parallel()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	d := &deployment{t: t, ctx: ctx, log: logservice.New(s.log), vms: vmlist.New(vmlist.Options{})}
	d.begin(d.log)
	d.begin(d.vms)
	for i := range s.engines {
		opt := s.engine
		opt.Name = fmt.Sprintf("engine-%d", i+1)
		opt.BlockBytes = blockSize
		if opt.Models == nil {
			opt.Models = []engine.LoadedModel{{Model: "small", Version: "v1"}}
		}
		e := engine.New(opt)
		d.begin(e)
		d.engines = append(d.engines, e)
	}
	for i := range s.services {
		sv := service.New(service.Options{Name: fmt.Sprintf("service-%d", i+1)})
		d.begin(sv)
		d.services = append(d.services, sv)
	}
	d.Fleet = &deploy.Fleet{
		Router:       routerProgram,
		Dir:          t.TempDir(),
		Log:          d.log.Addr(),
		VMList:       d.vms.Addr(),
		DrainDelayMs: s.drainDelayMs,
	}
	d.check(d.Plan(s.vms, []string{"dc-a", "dc-b", "dc-c"}))
	if s.linked {
		d.link()
	}
	d.vms.Set(d.List())
	d.check(d.Start(ctx))
	t.Cleanup(d.endAll)
	note := d.firstNote()
	if s.note != nil {
		s.note(&note)
	}
	d.publish(note)
	d.awaitServing()
	return d
}

// link puts each VM behind links of its own.
func (d *deployment) link() {
	d.t.Helper()
	d.links = map[string]links{}
	for _, v := range d.VMs {
		l := links{log: d.newLink(d.log.Addr()), list: d.newLink(d.vms.Addr()), peer: d.newLink(v.Peer)}
		v.Log = l.log.Addr()
		v.VMList = l.list.Addr()
		v.Advertised = l.peer.Addr()
		d.links[v.Name] = l
	}
}

func (d *deployment) newLink(target string) *deploy.Link {
	d.t.Helper()
	l, err := deploy.NewLink("127.0.0.1", target)
	d.check(err)
	d.t.Cleanup(l.Close)
	return l
}

// cutPlatform cuts a VM off from the log and the VM list, or connects it again.
func (d *deployment) cutPlatform(v *deploy.VM, cut bool) {
	d.links[v.Name].log.Cut(cut)
	d.links[v.Name].list.Cut(cut)
}

func (d *deployment) begin(s interface {
	Start() error
	Close()
}) {
	d.t.Helper()
	d.check(s.Start())
	d.t.Cleanup(s.Close)
}

// endAll ends the processes that still run, looks for data races in their output, and shows it after a failure.
func (d *deployment) endAll() {
	for _, v := range d.VMs {
		_ = v.Resume()
		v.Process().Kill()
		out, err := os.ReadFile(filepath.Join(d.Dir, v.Name+".log"))
		if err != nil || len(out) == 0 {
			continue
		}
		if i := strings.Index(string(out), "WARNING: DATA RACE"); i >= 0 {
			d.t.Errorf("data race in %s:\n%s", v.Name, out[i:min(len(out), i+outputShown)])
		}
		if d.t.Failed() {
			d.t.Logf("output of %s:\n%s", v.Name, out[max(0, len(out)-outputShown):])
		}
	}
}

func (d *deployment) check(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// firstNote is the configuration that most tests use.
func (d *deployment) firstNote() config.ReleaseNote {
	items := config.Items{
		Workspaces: []config.Workspace{
			{Name: "small", TokensPerSecond: 1_000_000, BurstTokens: 2_000_000},
			{Name: "large", TokensPerSecond: 1_000_000, BurstTokens: 2_000_000},
		},
		Keys: []config.Key{
			{Digest: auth.Digest(keySmall), Workspace: "small"},
			{Digest: auth.Digest(keyLarge), Workspace: "large"},
		},
		Models: []config.Model{{Name: "small", Version: "v1", BlockBytes: blockSize}},
		Routes: []config.Route{
			{Name: "chat", Kind: config.RouteChat, Model: "small"},
			{Name: "bookings", Kind: config.RouteService, Prefix: "/bookings", Service: "bookings"},
		},
	}
	for i, e := range d.engines {
		items.Endpoints = append(items.Endpoints, config.Endpoint{
			Name:       fmt.Sprintf("engine-%d", i+1),
			Kind:       config.EndpointEngine,
			Address:    e.Addr(),
			DataCentre: "dc-a",
			Models:     []string{"small"},
		})
	}
	for i, s := range d.services {
		items.Endpoints = append(items.Endpoints, config.Endpoint{
			Name:       fmt.Sprintf("service-%d", i+1),
			Kind:       config.EndpointService,
			Address:    s.Addr(),
			DataCentre: "dc-a",
			Service:    "bookings",
		})
	}
	return config.ReleaseNote{ID: "first", Base: -1, Added: items}
}

func (d *deployment) publish(note config.ReleaseNote) string {
	d.t.Helper()
	out, err := d.Publish(d.ctx, note)
	if err != nil {
		d.t.Errorf("publish %s: %v", note.ID, err)
	}
	return out
}

// await waits until the condition holds.
func (d *deployment) await(what string, holds func() bool) {
	d.t.Helper()
	for until := time.Now().Add(waitLimit); time.Now().Before(until); time.Sleep(pollEvery) {
		if holds() {
			return
		}
	}
	d.t.Fatalf("not within %v: %s", waitLimit, what)
}

// awaitServing waits until every VM serves a chat request and a booking.
func (d *deployment) awaitServing() {
	d.t.Helper()
	for _, v := range d.VMs {
		if len(d.engines) > 0 {
			d.await("chat through "+v.Name, func() bool { return d.chat(v, keySmall, "probe", 1).status == http.StatusOK })
		}
		if len(d.services) > 0 {
			d.await("lookup through "+v.Name, func() bool { return d.call(v, http.MethodGet, "/bookings/probe", "", "").status == http.StatusOK })
		}
	}
}

// result is the answer to one request.
type result struct {
	status   int
	runState string
	code     string
	retry    string
	text     string
	body     string
	// end tells how a stream ended: done, error or broken.
	end string
	err error
}

func (r result) String() string {
	return fmt.Sprintf("status %d, run state %q, code %q, end %q, body %.200q, error %v", r.status, r.runState, r.code, r.end, r.body, r.err)
}

// refused tells whether the answer is a refusal that says "not run".
func (r result) notRun() bool {
	return r.runState == "not_run"
}

func (d *deployment) do(v *deploy.VM, method, path, key, idempotencyKey, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(d.ctx, method, "http://"+v.Caller+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
}

func newResult(resp *http.Response, err error) result {
	if err != nil {
		return result{err: err}
	}
	return result{
		status:   resp.StatusCode,
		runState: resp.Header.Get("Corneldeal-Run-State"),
		retry:    resp.Header.Get("Retry-After"),
	}
}

// call calls the plain service under the key of workspace small.
func (d *deployment) call(v *deploy.VM, method, path, idempotencyKey, body string) result {
	resp, err := d.do(v, method, path, keySmall, idempotencyKey, body)
	r := newResult(resp, err)
	if err != nil {
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	return r.read(resp)
}

func (r result) read(resp *http.Response) result {
	data, err := io.ReadAll(resp.Body)
	r.body = string(data)
	r.err = err
	var parsed struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &parsed) == nil {
		r.code = parsed.Error.Code
	}
	return r
}

func chatBody(prompt string, tokens int) string {
	data, _ := json.Marshal(map[string]any{
		"model":      "small",
		"stream":     true,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	return string(data)
}

// chat streams one answer to its end.
func (d *deployment) chat(v *deploy.VM, key, prompt string, tokens int) result {
	return d.chatEach(v, key, prompt, tokens, func(int) {})
}

// chatEach streams one answer and calls each after every token with its number from 1.
func (d *deployment) chatEach(v *deploy.VM, key, prompt string, tokens int, each func(n int)) result {
	resp, err := d.do(v, http.MethodPost, "/v1/chat/completions", key, "", chatBody(prompt, tokens))
	r := newResult(resp, err)
	if err != nil {
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	if r.status != http.StatusOK {
		return r.read(resp)
	}
	return r.stream(resp.Body, each)
}

// streams runs n streams at once, stream i through VM i modulo the number of VMs, and calls begun when each has its
// first token or has ended without one. It returns when all have ended and
// begun has returned.
func (d *deployment) streams(n int, key, prompt string, tokens int, vms []*deploy.VM, begun func()) []result {
	d.t.Helper()
	var first sync.WaitGroup
	first.Add(n)
	var all sync.WaitGroup
	all.Go(func() {
		first.Wait()
		begun()
	})
	results := make([]result, n)
	many(n, func(i int) {
		var once sync.Once
		results[i] = d.chatEach(vms[i%len(vms)], key, prompt, tokens, func(int) { once.Do(first.Done) })
		once.Do(first.Done)
	})
	all.Wait()
	return results
}

func (r result) stream(body io.Reader, each func(n int)) result {
	r.end = "broken"
	scanner := bufio.NewScanner(body)
	n := 0
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !found:
		case data == "[DONE]":
			r.end = "done"
		case strings.HasPrefix(data, `{"error"`):
			r.end = "error"
			r.body = data
		default:
			r.text += delta(data)
			n++
			each(n)
		}
	}
	r.err = scanner.Err()
	return r
}

func delta(data string) string {
	var chunk engine.Chunk
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// wholeText is the answer that an engine gives to the prompt.
func wholeText(prompt, version string, tokens int) string {
	return engine.Text([]route.Message{{Role: "user", Content: prompt}}, version, 0, tokens)
}

// wantWhole fails unless the answer is complete and in order.
func (d *deployment) wantWhole(r result, prompt string, tokens int) {
	d.t.Helper()
	want := wholeText(prompt, "v1", tokens)
	if r.status != http.StatusOK || r.end != "done" || r.text != want {
		d.t.Errorf("answer is not whole: %v\ntext %.120q\nwant %.120q", r, r.text, want)
	}
}

// runs returns how often the services ran a call with the idempotency key.
func (d *deployment) runs(key string) int64 {
	total := int64(0)
	for _, s := range d.services {
		total += s.Stats().Runs["key:"+key]
	}
	return total
}

func newKey() string {
	return "booking-" + uuid.NewString()
}
