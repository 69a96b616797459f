package deploy

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/goccy/go-yaml"
	"golang.org/x/sync/errgroup"

	"github.com/corneldeal/corneldeal/lab/vmlist"
	"github.com/corneldeal/corneldeal/pkg/config"
)

// peerToken authenticates the VMs of one run to each other. It protects nothing outside of loopback.
const peerToken = "lab-peer-token-0123456789"

// Settings is the settings file of a VM.
type Settings struct {
	VM              string `yaml:"vm"`
	DataCentre      string `yaml:"data_centre"`
	CallerAddress   string `yaml:"caller_address"`
	PeerAddress     string `yaml:"peer_address"`
	PeerAdvertised  string `yaml:"peer_advertise_address,omitempty"`
	LogAddress      string `yaml:"log_address"`
	VMListAddress   string `yaml:"vm_list_address"`
	PeerToken       string `yaml:"peer_token"`
	PlacementPolicy string `yaml:"placement_policy,omitempty"`
	DrainDelayMs    int64  `yaml:"drain_delay_ms"`
	LogLevel        string `yaml:"log_level"`
}

// VM is one router process.
type VM struct {
	Name       string
	DataCentre string
	Caller     string
	Peer       string
	// Advertised is the peer address in the VM list. Default Peer.
	Advertised string
	// Log and VMList replace the addresses of the fleet, for a VM that reaches them by a link of its own.
	Log     string
	VMList  string
	process *Process
	killed  atomic.Bool
}

// Kill ends the process as a failing VM does.
func (v *VM) Kill() {
	v.killed.Store(true)
	v.process.Kill()
}

// Killed tells whether Kill was called.
func (v *VM) Killed() bool { return v.killed.Load() }

// Process returns the router process.
func (v *VM) Process() *Process { return v.process }

// Fleet is a set of router processes.
type Fleet struct {
	// Router is the path of the router program.
	Router string
	// Dir holds settings, notes and outputs.
	Dir    string
	Log    string
	VMList string
	Policy string
	// DrainDelayMs is the drain delay of each VM in milliseconds.
	DrainDelayMs int64
	VMs          []*VM
}

// Plan chooses names and addresses for the VMs, evenly over the data centres.
func (f *Fleet) Plan(vms int, dataCentres []string) error {
	for i := range vms {
		dc := i % len(dataCentres)
		ip := fmt.Sprintf("127.0.%d.%d", dc+1, i/len(dataCentres)+1)
		caller, err := FreeAddr(ip)
		if err != nil {
			return err
		}
		peer, err := FreeAddr(ip)
		if err != nil {
			return err
		}
		f.VMs = append(f.VMs, &VM{
			Name:       fmt.Sprintf("vm-%d", i+1),
			DataCentre: dataCentres[dc],
			Caller:     caller,
			Peer:       peer,
		})
	}
	return nil
}

// List returns the VM list of the fleet.
func (f *Fleet) List() []vmlist.VM {
	var out []vmlist.VM
	for _, v := range f.VMs {
		if v.Killed() {
			continue
		}
		out = append(out, vmlist.VM{
			Name:       v.Name,
			DataCentre: v.DataCentre,
			CallerAddr: v.Caller,
			PeerAddr:   cmp.Or(v.Advertised, v.Peer),
			State:      "live",
		})
	}
	return out
}

// Start starts all VMs and waits until each answers.
func (f *Fleet) Start(ctx context.Context) error {
	for _, v := range f.VMs {
		if err := f.startVM(v); err != nil {
			return err
		}
	}
	return f.awaitAll(ctx, "/healthz")
}

func (f *Fleet) startVM(v *VM) error {
	data, err := yaml.Marshal(Settings{
		VM:              v.Name,
		DataCentre:      v.DataCentre,
		CallerAddress:   v.Caller,
		PeerAddress:     v.Peer,
		PeerAdvertised:  v.Advertised,
		LogAddress:      cmp.Or(v.Log, f.Log),
		VMListAddress:   cmp.Or(v.VMList, f.VMList),
		PeerToken:       peerToken,
		PlacementPolicy: f.Policy,
		DrainDelayMs:    f.DrainDelayMs,
		LogLevel:        "warn",
	})
	if err != nil {
		return err
	}
	file := f.SettingsFile(v)
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	out, err := CreateLog(f.Dir, v.Name)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	v.process, err = Start(v.Name, out, f.Router, "serve", "--settings", file)
	return err
}

// SettingsFile returns the name of the VM's settings file.
func (f *Fleet) SettingsFile(v *VM) string {
	return filepath.Join(f.Dir, v.Name+".yaml")
}

// AwaitReady waits until the balancer may send to every VM.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return f.awaitAll(ctx, "/readyz")
}

func (f *Fleet) awaitAll(ctx context.Context, path string) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, v := range f.VMs {
		g.Go(func() error {
			err := v.process.Await(ctx, path+" is OK", func() bool { return OK(v.Caller, path) })
			if err != nil {
				return fmt.Errorf("%w; its output: %s", err, f.tail(v.Name))
			}
			return nil
		})
	}
	return g.Wait()
}

// tailBytes is the part of an output file that an error message shows.
const tailBytes = 2000

// tail returns the end of a process's output.
func (f *Fleet) tail(name string) string {
	data, err := os.ReadFile(filepath.Join(f.Dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(data[max(0, len(data)-tailBytes):]))
}

// Publish publishes the note with the operator's command and returns its output.
func (f *Fleet) Publish(ctx context.Context, note config.ReleaseNote) (string, error) {
	data, err := json.MarshalIndent(note, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.Dir, note.ID+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return "", err
	}
	return Run(ctx, f.Router, "publish", "--log", f.Log, "--vm-list", f.VMList, "--rebase", file)
}

// Stop stops all VMs that run. It returns the first error.
func (f *Fleet) Stop() error {
	var g errgroup.Group
	for _, v := range f.VMs {
		if v.process == nil || v.Killed() {
			continue
		}
		g.Go(v.process.Stop)
	}
	return g.Wait()
}

// SetVMs sets the VM list of a stand-in in another process.
func SetVMs(addr string, vms []vmlist.VM) error {
	data, err := json.Marshal(vmlist.List{VMs: vms})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+addr+"/v1/vms", "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("set the VM list: status %d", resp.StatusCode)
	}
	return nil
}
