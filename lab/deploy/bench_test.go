package deploy_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/lab/logservice"
	"github.com/corneldeal/corneldeal/lab/vmlist"
	"github.com/corneldeal/corneldeal/pkg/config"
)

const (
	// settle is the time after the start before which the figures would include it.
	settle = 5 * time.Second
	// window is the time over which the processes are observed.
	window = 8 * time.Second
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
)

// BenchmarkIdleProcess reports what a router process without requests costs, as means over the VMs: processor time in
// percent of a core, resident and dirty memory, and bytes read and written per second, which are almost all bytes of
// connections. The slopes over VMs, engines and workspaces stand in docs/CAPACITY.md; the last size checks their sum. It is
// not a test of time.
//
// Run it with -benchtime 1x.
func BenchmarkIdleProcess(b *testing.B) {
	router := filepath.Join(b.TempDir(), "corneldeal")
	out, err := exec.Command("go", "build", "-o", router, "github.com/corneldeal/corneldeal/cmd/corneldeal").CombinedOutput()
	if err != nil {
		b.Fatalf("build the router: %v\n%s", err, out)
	}
	for _, c := range []struct{ vms, engines, workspaces int }{{2, 2, 10}, {2, 42, 10}, {12, 2, 10}, {2, 2, 370}, {12, 2, 370}, {8, 42, 370}} {
		b.Run(fmt.Sprintf("vms=%d/engines=%d/workspaces=%d", c.vms, c.engines, c.workspaces), func(b *testing.B) {
			for b.Loop() {
				observe(b, start(b, router, c.vms, c.engines, c.workspaces))
			}
		})
	}
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func begin(b *testing.B, s interface {
	Start() error
	Close()
}) {
	b.Helper()
	check(b, s.Start())
	b.Cleanup(s.Close)
}

func start(b *testing.B, router string, vms, engines, workspaces int) *deploy.Fleet {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	b.Cleanup(cancel)
	log, list := logservice.New(logservice.Options{}), vmlist.New(vmlist.Options{})
	begin(b, log)
	begin(b, list)
	f := &deploy.Fleet{Router: router, Dir: b.TempDir(), Log: log.Addr(), VMList: list.Addr()}
	check(b, f.Plan(vms, []string{"dc-a"}))
	list.Set(f.List())
	b.Cleanup(func() {
		for _, v := range f.VMs {
			if p := v.Process(); p != nil {
				p.Kill()
			}
		}
	})
	check(b, f.Start(ctx))
	items := config.Items{
		Models: []config.Model{{Name: "small", Version: "v1"}},
		Routes: []config.Route{{Name: "chat", Kind: config.RouteChat, Model: "small"}},
	}
	for i := range workspaces {
		items.Workspaces = append(items.Workspaces, config.Workspace{
			Name: fmt.Sprintf("workspace-%03d", i), TokensPerSecond: 1_000_000, BurstTokens: 2_000_000,
		})
	}
	for i := range engines {
		e := engine.New(engine.Options{Name: fmt.Sprintf("engine-%04d", i), Models: []engine.LoadedModel{{Model: "small", Version: "v1"}}})
		begin(b, e)
		items.Endpoints = append(items.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("engine-%04d", i), Kind: config.EndpointEngine, Address: e.Addr(), DataCentre: "dc-a", Models: []string{"small"},
		})
	}
	out, err := f.Publish(ctx, config.ReleaseNote{ID: "first", Base: -1, Added: items})
	if err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	check(b, f.AwaitReady(ctx))
	return f
}

// usage is what one process has used so far.
type usage struct {
	ticks, bytes int64
}

func observe(b *testing.B, f *deploy.Fleet) {
	b.Helper()
	time.Sleep(settle)
	before := make([]usage, len(f.VMs))
	for i, v := range f.VMs {
		before[i] = usageOf(b, v.Process().PID())
	}
	began := time.Now()
	time.Sleep(window)
	var sum usage
	var resident, dirty int64
	for i, v := range f.VMs {
		after := usageOf(b, v.Process().PID())
		sum.ticks += after.ticks - before[i].ticks
		sum.bytes += after.bytes - before[i].bytes
		resident += field(b, v.Process().PID(), "status", "VmRSS:")
		dirty += field(b, v.Process().PID(), "status", "RssAnon:")
	}
	n := float64(len(f.VMs))
	seconds := time.Since(began).Seconds() * n
	b.ReportMetric(100*float64(sum.ticks)/ticksPerSecond/seconds, "core-%")
	b.ReportMetric(float64(sum.bytes)/seconds, "bytes/s")
	b.ReportMetric(float64(resident)/n, "resident-KB")
	b.ReportMetric(float64(dirty)/n, "anonymous-KB")
}

func usageOf(b *testing.B, pid int) usage {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	check(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var u usage
	// User and system time are fields 14 and 15 of the line, 11 and 12 after the name of the program.
	for _, text := range fields[11:13] {
		ticks, err := strconv.ParseInt(text, 10, 64)
		check(b, err)
		u.ticks += ticks
	}
	u.bytes = field(b, pid, "io", "rchar:") + field(b, pid, "io", "wchar:")
	return u
}

// field returns a number of a file of the process in /proc.
func field(b *testing.B, pid int, file, name string) int64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	check(b, err)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			check(b, err)
			return n
		}
	}
	b.Fatalf("%s of process %d holds no %s", file, pid, name)
	return 0
}
