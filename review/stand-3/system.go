//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/corneldeal/corneldeal/platform/standin"
)

// errCannotRun means that a case could not be played, which says nothing about the rule.
var errCannotRun = errors.New("the case could not run")

// heartbeat is heartbeat_ms of the sites.
const heartbeat = 1200 * time.Millisecond

// record writes record.txt with the time since the begin of the case in front of each line.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// printf writes a line to the record.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// system is a small deployment: the store, the workers and the gateways, which are processes of their own.
type system struct {
	rec      *record
	dir      string
	store    *standin.Store
	config   map[string]any
	gateways []*gatewayProcess
}

// newSystem starts the store and writes the desired state.
func newSystem(rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, store: store, config: desiredState()}
	s.publish()
	return s, nil
}

// publish writes the desired state.
func (s *system) publish() {
	s.store.AppendJSON("keyed.op", "config", s.config)
}

// desiredState returns a desired state with the kinds of request of the sites.
func desiredState() map[string]any {
	route := func(name, prefix, kind, service string, attempts int, resumable bool, timeoutMs float64) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMs,
			"target_latency_ms": 500, "priority": 1, "service": service, "attempts": attempts, "public": false,
			"sticky": kind == "streaming", "resumable": resumable, "target_gap_ms": 400,
		}
	}
	note := route("note", "/note/", "streaming", "", 2, true, 15000)
	delete(note, "service")
	note["traffic_split"] = []any{
		map[string]any{"service": "wordloom", "weight": 90}, map[string]any{"service": "wordloom-b", "weight": 10},
	}
	engine := map[string]any{
		"slots": 128, "kv_cache_tokens": 145812, "token_kv_bytes": 35136, "link_mbps": 370000.0,
		"max_in_flight": 12, "models": []any{map[string]any{"name": "m"}},
	}
	return map[string]any{
		"version": 1,
		"routes": []any{
			route("booking", "/booking/", "unsafe", "orderbook", 1, false, 1500),
			route("lookup", "/lookup/", "safe", "orderbook", 2, false, 1500),
			route("check", "/check/", "streaming", "wordloom", 1, false, 5000),
			route("draft", "/draft/", "streaming", "wordloom", 2, true, 15000),
			note,
		},
		"services": []any{
			map[string]any{"name": "orderbook", "health_path": "/health", "connection_limit": 100},
			map[string]any{"name": "wordloom", "health_path": "/health", "connection_limit": 620, "engine": engine},
			map[string]any{"name": "wordloom-b", "health_path": "/health", "connection_limit": 620, "engine": engine},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{
			"name": "guild", "api_keys": []any{"key-guild"}, "unit": "token_streaming", "uncached_tokens": 200,
			"isolated": false, "rate_per_s": 1000000, "burst": 1000000,
		}},
	}
}

// gatewayProcess is one gateway, started with the command of the deploy file.
type gatewayProcess struct {
	name, ip, caller, ready string
	settings                string
	log                     string
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

// startGateways starts gateways and waits until all are ready.
func (s *system) startGateways(count int) error {
	ports, err := freePorts(count, 4)
	if err != nil {
		return err
	}
	for i := range count {
		ip := fmt.Sprint("127.0.1.", i+1)
		g := &gatewayProcess{
			name: fmt.Sprint("front-", i+1), ip: ip, caller: fmt.Sprint(ip, ":", ports[0]), ready: fmt.Sprint(ip, ":", ports[1]),
			settings: filepath.Join(s.dir, fmt.Sprint("front-", i+1, ".yaml")), log: filepath.Join(s.dir, fmt.Sprint("front-", i+1, ".log")),
		}
		settings := fmt.Sprintf("vm: %q\naddress: %q\ndata_centre: %q\ncaller_address: %q\nready_address: %q\npeer_port: %d\n"+
			"metrics_port: %d\nseeds: [\"127.0.1.1:1\"]\nfirst_start: true\nstore_address: %q\nmemory_mb: 284\nlink_mbps: 1000\n"+
			"descriptors: 4100\ngrace_s: 8\nlease_ms: 3000\nversion_ms: 15000\nconfiguration_ms: 2000\nretry_slack: 54\n"+
			"exposure_share:\nexposure_slack:\nrollback_ms:\nlog_level: info\n",
			g.name, ip, fmt.Sprint("accra-", string(rune('a'+i%3))), g.caller, g.ready, ports[2], ports[3], s.store.Address())
		if err := os.WriteFile(g.settings, []byte(settings), 0o600); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
	}
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range s.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == count {
			s.rec.printf("%d gateways are ready", count)
			return s.endFirstStart()
		}
	}
	return fmt.Errorf("%w: the gateways are not ready", errCannotRun)
}

// endFirstStart changes the settings files as the platform does once the whole system has started for the first time.
func (s *system) endFirstStart() error {
	for _, g := range s.gateways {
		data, err := os.ReadFile(g.settings)
		if err != nil {
			return err
		}
		data = bytes.Replace(data, []byte("first_start: true"), []byte("first_start: false"), 1)
		if err := os.WriteFile(g.settings, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process.
func (g *gatewayProcess) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/corneldeal", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORNELDEAL_CONFIG=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	g.exited = exited
	cmd := g.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// isReady reports whether the readiness check succeeds.
func (g *gatewayProcess) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.ready + "/corneldeal/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes and removes the folder.
func (s *system) stop() {
	for _, g := range s.gateways {
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		_ = g.cmd.Process.Kill()
		<-g.exited
	}
	s.store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	_ = os.RemoveAll(s.dir)
}

// freePorts returns ports that are free on the addresses of all gateways.
func freePorts(gateways, count int) ([]int, error) {
	var out []int
	for range 10_000 {
		port := 10_000 + rand.N(20_000)
		free := true
		for i := range gateways {
			l, err := net.Listen("tcp4", fmt.Sprint("127.0.1.", i+1, ":", port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			out = append(out, port)
		}
		if len(out) == count {
			return out, nil
		}
	}
	return nil, fmt.Errorf("%w: no free ports", errCannotRun)
}
