//go:build review2

// Command stand-2 plays the cases of the second review. It starts the project's gateways as separate processes, with
// stand-ins of the store, the workers and the requesters, on loopback addresses and the real clock.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/platform/standin"
)

// The bounds of the small deployments that the rules name.
const (
	// smallSite is the number of machines of a small deployment.
	smallSite       = 9
	stabilityWindow = 3 * time.Second
	heartbeat       = 1200 * time.Millisecond
	// registrationExpiry is the silence of a worker after which the store removes its entry.
	registrationExpiry = 3 * heartbeat
)

// template is deploy/settings.yaml as the platform fills it in for a small deployment.
const template = `vm: %q
address: %q
data_centre: %q
caller_address: "%s:%d"
ready_address: "%s:%d"
peer_port: %d
metrics_port: %d
seeds: ["127.0.2.1:8608", "127.0.2.2:8608", "127.0.2.3:8608"]
first_start: %t
store_address: %q
memory_mb: 134
link_mbps: 1000.0
descriptors: 4100
grace_s: 8.0
lease_ms: 3000
version_ms: 15000
configuration_ms: 2000
retry_slack: 58
exposure_share:
exposure_slack:
rollback_ms:
log_level: info
`

// gateway is one gateway over its restarts.
type gateway struct {
	name, ip, zone                string
	caller, ready, peers, metrics int
	settings, log                 string
	cmd                           *exec.Cmd
	exited                        chan struct{}
}

// system is a deployment.
type system struct {
	dir      string
	store    *standin.Store
	gateways []*gateway
	record   *record
	trouble  bool
}

// newSystem starts a store with a configuration.
func newSystem(r *record, config map[string]any) (*system, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	store.AppendJSON("keyed.op", "config", config)
	store.AppendJSON("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
	return &system{dir: dir, store: store, record: r, trouble: withTrouble}, nil
}

// startGateways starts gateways and waits until they are ready.
func (s *system) startGateways(count int) error {
	ports, err := freePorts(count)
	if err != nil {
		return err
	}
	for i := range count {
		g := &gateway{
			name: fmt.Sprint("front-", i+1), ip: fmt.Sprint("127.0.2.", i+1), zone: "z",
			caller: ports[0], ready: ports[1], peers: ports[2], metrics: ports[3],
		}
		g.settings, g.log = filepath.Join(s.dir, g.name+".yaml"), filepath.Join(s.dir, g.name+".log")
		s.gateways = append(s.gateways, g)
		if err := s.start(g, true); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// start starts a gateway's process with the command of the deploy file.
func (s *system) start(g *gateway, first bool) error {
	text := fmt.Sprintf(template, g.name, g.ip, g.zone, g.ip, g.caller, g.ip, g.ready, g.peers, g.metrics, first, s.store.Address())
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/corneldeal", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "CORNELDEAL_CONFIG=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	s.record.event("%s starts, first start of the system: %t", g.name, first)
	return nil
}

// kill ends a gateway's process by SIGKILL.
func (s *system) kill(g *gateway) {
	s.record.event("%s is killed", g.name)
	_ = g.cmd.Process.Kill()
	<-g.exited
}

// awaitReady waits until all gateways are ready.
func (s *system) awaitReady() error {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range s.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(s.gateways) {
			s.record.event("all gateways are ready")
			return nil
		}
	}
	return errors.New("the gateways did not become ready")
}

// isReady reports whether the readiness check succeeds.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/corneldeal/readiness", g.ip, g.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// address is where the gateway takes requests.
func (g *gateway) address() string {
	return fmt.Sprintf("%s:%d", g.ip, g.caller)
}

// close ends everything.
func (s *system) close() {
	for _, g := range s.gateways {
		if g.cmd != nil {
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	s.store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(s.dir, keep)
	}
	_ = os.RemoveAll(s.dir)
}

// freePorts returns four ports that are free on the addresses of all gateways.
func freePorts(gateways int) ([]int, error) {
	var free []int
	for range 10_000 {
		port := 11_000 + rand.IntN(20_000)
		if len(free) == 4 {
			break
		}
		if isFree(port, gateways) {
			free = append(free, port)
		}
	}
	if len(free) < 4 {
		return nil, errors.New("no free ports")
	}
	return free, nil
}

// isFree reports whether a port is free on the addresses of all gateways, for TCP and UDP.
func isFree(port, gateways int) bool {
	for i := range gateways {
		address := fmt.Sprintf("127.0.2.%d:%d", i+1, port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// pool is a service whose workers may crash. A crashed worker is back after a while as another instance.
type pool struct {
	s        *system
	service  string
	crash    *standin.Crash
	downtime time.Duration
	setUp    func(*standin.Endpoint)

	mu      sync.Mutex
	starts  int
	running map[string]*standin.Endpoint
	crashes []time.Time
	// beatAt is when the workers last wrote their entries.
	beatAt time.Time
	closed bool
}

// startPool starts and registers workers.
func (s *system) startPool(service string, count int, downtime time.Duration, crash *standin.Crash, setUp func(*standin.Endpoint)) (*pool, error) {
	p := &pool{s: s, service: service, crash: crash, downtime: downtime, setUp: setUp, running: map[string]*standin.Endpoint{}, beatAt: time.Now()}
	for range count {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	go p.beat()
	return p, nil
}

// start starts and registers one worker.
func (p *pool) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.starts++
	e, err := standin.NewEndpoint(fmt.Sprintf("i-%s-%d", p.service, p.starts))
	if err != nil {
		return err
	}
	e.SetStartTimeMs(time.Now().UnixMilli())
	if p.setUp != nil {
		p.setUp(e)
	}
	if p.crash != nil {
		crash := *p.crash
		crash.OnCrash = func(got standin.ReceivedRequest) { p.handleCrash(e, got) }
		e.SetCrash(crash)
	}
	p.running[e.ID] = e
	p.s.store.AppendJSON("keyed.servers", e.ID, e.Registration(p.service, "z", "ready"))
	p.s.record.event("worker %s of %s starts", e.ID, p.service)
	return nil
}

// beat writes the workers' entries again and again, as workers do.
func (p *pool) beat() {
	for {
		time.Sleep(heartbeat)
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		p.beatAt = time.Now()
		for _, e := range p.running {
			p.s.store.AppendJSON("keyed.servers", e.ID, e.Registration(p.service, "z", "ready"))
		}
		p.mu.Unlock()
	}
}

// handleCrash ends a worker that crashed. Its entry is removed after three heartbeats of silence.
func (p *pool) handleCrash(e *standin.Endpoint, got standin.ReceivedRequest) {
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	number, silentSince := len(p.crashes), p.beatAt
	delete(p.running, e.ID)
	p.mu.Unlock()
	p.s.record.event("worker %s crashes on request %s, crash %d", e.ID, got.Headers["attempt-id"], number)
	e.Close()
	time.AfterFunc(time.Until(silentSince.Add(registrationExpiry)), func() { p.s.store.Append("keyed.servers", e.ID, nil) })
	time.AfterFunc(p.downtime, func() { _ = p.start() })
}

// crashTimes returns the times of the crashes so far.
func (p *pool) crashTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.crashes...)
}

// close ends all workers.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	running := p.running
	p.running = nil
	p.mu.Unlock()
	for _, e := range running {
		e.Close()
	}
}

// largeConfig is the stand-in's configuration with a quota that does not matter.
func largeConfig() map[string]any {
	var c map[string]any
	data, err := json.Marshal(standin.Config())
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil {
		panic(err)
	}
	for _, t := range c["tenants"].([]any) {
		t := t.(map[string]any)
		t["rate_per_s"], t["burst"], t["isolated"] = 10_000_000, 10_000_000, false
	}
	return c
}

// record is the file of what happened.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// newRecord opens the record.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// event writes a line.
func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}
