//go:build review

// Command stand plays the cases of the review: it starts real gateways as separate processes against stand-ins of the
// platform's store and of the workers, and judges what these stand-ins and the callers saw.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/corneldeal/corneldeal/platform/standin"
)

// Names and bounds of the small deployment that the cases are played on.
const (
	heartbeat       = 1200 * time.Millisecond
	stabilityWindow = 3 * time.Second
	graceS          = 8
	leaseMs         = 3000
	versionMs       = 15000
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// receivedRequest is a request that a worker got.
type receivedRequest = standin.ReceivedRequest

// errCannotRun means that the case could not be played.
var errCannotRun = errors.New("the case could not run")

// lab is one small deployment on loopback addresses.
type lab struct {
	*recorder
	dir, program string
	net          int
	peerPort     int
	callerPort   int
	readyPort    int
	store        *standin.Store
	// storeAddress is where the machines reach the store.
	storeAddress string
	// registrations counts the writes of workers.
	registrations atomic.Int64
	vms           []*vm
	workers       []*worker
	config        map[string]any
	weights       map[string]int64
	stop          chan struct{}
	wg            sync.WaitGroup
}

// newLab starts a store without workers or gateways. The folder is temporary.
func newLab(r *recorder, program string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	l := &lab{
		recorder: r, dir: dir, program: program, net: 2 + rand.IntN(200), store: store, storeAddress: store.Address(), weights: map[string]int64{},
		stop: make(chan struct{}),
	}
	for _, port := range []*int{&l.peerPort, &l.callerPort, &l.readyPort} {
		if *port, err = l.freePort(); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// ip returns the loopback address of the i-th VM.
func (l *lab) ip(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", l.net, 1+i/200, 1+i%200)
}

// freePort returns a port that is free on the addresses of the first VMs.
func (l *lab) freePort() (int, error) {
	for range 1000 {
		port := 10_000 + rand.IntN(20_000)
		free := true
		for i := 0; i < 40 && free; i++ {
			listener, err := net.Listen("tcp4", fmt.Sprint(l.ip(i), ":", port))
			free = err == nil
			if free {
				_ = listener.Close()
			}
		}
		if free && port != l.peerPort && port != l.callerPort && port != l.readyPort {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// close ends every process and stand-in.
func (l *lab) close() {
	close(l.stop)
	for _, v := range l.vms {
		v.signal(syscall.SIGCONT)
		v.kill()
	}
	l.wg.Wait()
	for _, w := range l.workers {
		w.Close()
	}
	l.store.Close()
	if os.Getenv("KEEP") != "" {
		l.line("logs are kept in %s", l.dir)
		return
	}
	_ = os.RemoveAll(l.dir)
}

// publish writes the desired state with the next version.
func (l *lab) publish(change func(config map[string]any)) {
	data, err := json.Marshal(l.config)
	if err != nil {
		panic(err)
	}
	next := map[string]any{}
	if err := json.Unmarshal(data, &next); err != nil {
		panic(err)
	}
	version, _ := next["version"].(float64)
	next["version"] = version + 1
	if change != nil {
		change(next)
	}
	l.config = next
	l.store.AppendJSON("keyed.op", "config", next)
	l.line("operator: desired state %v", next["version"])
}

// nameWeights names a version of the weights of model m.
func (l *lab) nameWeights(version int64) {
	l.weights["m"] = version
	l.store.AppendJSON("keyed.op", "version/m", map[string]any{"model": "m", "version": version})
	l.line("operator: weights %d of model m are named", version)
}

// rewriteOperator writes again what the operator wrote last, as after a restore of the store.
func (l *lab) rewriteOperator() {
	l.store.AppendJSON("keyed.op", "config", l.config)
	for model, version := range l.weights {
		l.store.AppendJSON("keyed.op", "version/"+model, map[string]any{"model": model, "version": version})
	}
	l.line("operator: writes its newest records again")
}

// worker is a stand-in of a worker that registers itself.
type worker struct {
	*standin.Endpoint
	service, zone string
}

// addWorker starts a worker, which registers at once and then with each heartbeat.
func (l *lab) addWorker(id, service, zone string) (*worker, error) {
	e, err := standin.NewEndpoint(id)
	if err != nil {
		return nil, err
	}
	e.SetStartTimeMs(time.Now().UnixMilli())
	w := &worker{Endpoint: e, service: service, zone: zone}
	w.SetOnArrival(func(got receivedRequest) { l.line("run %s at %s", got.Headers["attempt-id"], id) })
	l.workers = append(l.workers, w)
	l.register(w)
	l.wg.Go(func() {
		for l.sleep(heartbeat) {
			l.register(w)
		}
	})
	return w, nil
}

func (l *lab) register(w *worker) {
	l.registrations.Add(1)
	l.store.AppendJSON("keyed.servers", w.ID, w.Registration(w.service, w.zone, "ready"))
}

// sleep waits for d. It reports false if the lab is closed before that.
func (l *lab) sleep(d time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// vm is one gateway process over its restarts.
type vm struct {
	lab      *lab
	name, ip string
	zone     string
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addVM adds a machine and starts its gateway. First is set for the first start of the whole system.
func (l *lab) addVM(name, zone string, first bool) (*vm, error) {
	i := len(l.vms)
	v := &vm{lab: l, name: name, ip: l.ip(i), zone: zone, settings: filepath.Join(l.dir, name+".yaml")}
	l.vms = append(l.vms, v)
	v.writeSettings(first)
	return v, v.start()
}

// writeSettings writes the settings in the layout of the deploy template.
func (v *vm) writeSettings(first bool) {
	l := v.lab
	text := fmt.Sprintf("vm: %q\naddress: %q\ndata_centre: %q\ncaller_address: \"%s:%d\"\nready_address: \"%s:%d\"\n"+
		"peer_port: %d\nmetrics_port: 7603\nseeds: [\"%s:1\"]\nfirst_start: %v\nstore_address: %q\nmemory_mb: 284\nlink_mbps: 1000\n"+
		"descriptors: 4100\ngrace_s: %d\nlease_ms: %d\nversion_ms: %d\nretry_slack: 54\nlog_level: info\n",
		v.name, v.ip, v.zone, v.ip, l.callerPort, v.ip, l.readyPort, l.peerPort, l.ip(0), first, l.storeAddress,
		graceS, leaseMs, versionMs)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// start starts the gateway with the command of the deploy file.
func (v *vm) start() error {
	log, err := os.OpenFile(filepath.Join(v.lab.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(v.lab.program, "gateway")
	cmd.Env = append(os.Environ(), "CORNELDEAL_CONFIG="+v.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited = cmd, exited
	v.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		v.lab.line("machine %s: process ended: %s", v.name, endOf(cmd, err))
		close(exited)
	}()
	return nil
}

// endOf describes how a process ended.
func endOf(cmd *exec.Cmd, err error) string {
	if err == nil {
		return "exit 0"
	}
	return cmd.ProcessState.String()
}

// signal sends a signal to the present process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// ended reports whether the present process has ended.
func (v *vm) ended() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exited
}

// kill kills the process and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	if ended := v.ended(); ended != nil {
		<-ended
	}
}

// ready asks for readiness as the platform does.
func (v *vm) ready() bool {
	c, err := net.DialTimeout("tcp4", fmt.Sprint(v.ip, ":", v.lab.readyPort), time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(c, "GET /corneldeal/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	buf := make([]byte, 64)
	n, _ := c.Read(buf)
	return strings.HasPrefix(string(buf[:n]), "HTTP/1.1 200")
}

// await waits until a condition holds, for at most the given time.
func (l *lab) await(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// awaitReady waits until all given machines are ready.
func (l *lab) awaitReady(vms ...*vm) error {
	for _, v := range vms {
		if !l.await(20*time.Second, v.ready) {
			return fmt.Errorf("%w: %s is not ready", errCannotRun, v.name)
		}
	}
	return nil
}
