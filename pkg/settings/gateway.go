package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// Gateway are the settings of a gateway process. Keys that it does not know are ignored, since the platform may add
// some.
type Gateway struct {
	// VM is the name of this VM. It stays the same over restarts.
	VM         string `yaml:"vm"`
	Address    string `yaml:"address"`
	DataCentre string `yaml:"data_centre"`
	// CallerAddress and ReadyAddress are IP:port of the listeners for callers and for the readiness probe.
	CallerAddress string `yaml:"caller_address"`
	ReadyAddress  string `yaml:"ready_address"`
	// PeerPort is the port of all gateways for each other, over UDP and TCP.
	PeerPort int `yaml:"peer_port"`
	// MetricsPort is the port on which metrics are served.
	MetricsPort int `yaml:"metrics_port"`
	// Seeds are addresses of VMs that may run a gateway, as IP:port. Only the IP is used.
	Seeds []string `yaml:"seeds"`
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool `yaml:"first_start"`
	// StoreAddress is IP:port of the platform's store.
	StoreAddress string `yaml:"store_address"`
	// MemoryMB and Descriptors are the limits of the process. Default 128 and 1,024.
	MemoryMB    int `yaml:"memory_mb"`
	Descriptors int `yaml:"descriptors"`
	// LinkMbps is the bandwidth of the VM's link, in Mbit/s. Zero where it is not known. VMs with wide links pass on the
	// digests of others first.
	LinkMbps float64 `yaml:"link_mbps"`
	// GraceSeconds is the time between SIGTERM and SIGKILL. Default 8.
	GraceSeconds float64 `yaml:"grace_s"`
	// LeaseMs is the time within which two VMs must not give orders in turns. Default 3,000.
	LeaseMs float64 `yaml:"lease_ms"`
	// VersionMs is the time after which no request may start on weights that were replaced. Default 15,000.
	VersionMs float64 `yaml:"version_ms"`
	// RetrySlack is the number of retries for one service that all VMs together may send in 10 s beyond a fifth of the
	// requests for it. Default 40.
	RetrySlack float64 `yaml:"retry_slack"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `yaml:"log_level"`
}

// Grace returns the time between SIGTERM and SIGKILL.
func (g *Gateway) Grace() time.Duration {
	return time.Duration(g.GraceSeconds * float64(time.Second))
}

// Lease returns the time within which two VMs must not give orders in turns.
func (g *Gateway) Lease() time.Duration {
	return time.Duration(g.LeaseMs * float64(time.Millisecond))
}

// VersionLimit returns the time after which no request may start on replaced weights.
func (g *Gateway) VersionLimit() time.Duration {
	return time.Duration(g.VersionMs * float64(time.Millisecond))
}

// LoadGateway reads and checks the settings of a gateway. It returns every problem at once.
func LoadGateway(file string) (Gateway, []Problem) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Gateway{}, []Problem{{File: file, Key: "-", Message: err.Error(), Expected: "a readable file"}}
	}
	return ParseGateway(file, data)
}

// ParseGateway checks the settings in data. The file name is used in problems only.
func ParseGateway(file string, data []byte) (Gateway, []Problem) {
	g := Gateway{}
	if err := yaml.Unmarshal(data, &g); err != nil {
		return g, []Problem{{File: file, Line: lineOf(err), Key: "-", Message: firstLine(err), Expected: "YAML of the known types"}}
	}
	g.setDefaults()
	return g, g.problems(file)
}

// Defaults of a gateway's settings that a deployment may leave out.
const (
	DefaultGraceSeconds = 8
	DefaultLeaseMs      = 3000
	DefaultVersionMs    = 15000
	DefaultDescriptors  = 1024
	DefaultMemoryMB     = 128
	DefaultRetrySlack   = 40
)

func (g *Gateway) setDefaults() {
	g.LogLevel = cmp.Or(g.LogLevel, DefaultLogLevel)
	g.GraceSeconds = cmp.Or(g.GraceSeconds, DefaultGraceSeconds)
	g.LeaseMs = cmp.Or(g.LeaseMs, DefaultLeaseMs)
	g.VersionMs = cmp.Or(g.VersionMs, DefaultVersionMs)
	g.Descriptors = cmp.Or(g.Descriptors, DefaultDescriptors)
	g.MemoryMB = cmp.Or(g.MemoryMB, DefaultMemoryMB)
	g.RetrySlack = cmp.Or(g.RetrySlack, DefaultRetrySlack)
}

func (g *Gateway) problems(file string) []Problem {
	r := &reader{file: file}
	need := func(ok bool, key, expected string, value any) {
		if !ok {
			r.report(0, key, expected, "is %v", fmt.Sprintf("%q", fmt.Sprint(value)))
		}
	}
	need(g.VM != "", "vm", "a name", g.VM)
	need(g.DataCentre != "", "data_centre", "a name", g.DataCentre)
	need(isAddress(g.Address+":1"), "address", "an IP", g.Address)
	need(isAddress(g.CallerAddress), "caller_address", "IP:port", g.CallerAddress)
	need(isAddress(g.ReadyAddress), "ready_address", "IP:port", g.ReadyAddress)
	need(isAddress(g.StoreAddress), "store_address", "IP:port", g.StoreAddress)
	need(isPort(g.PeerPort), "peer_port", "a port", g.PeerPort)
	need(isPort(g.MetricsPort), "metrics_port", "a port", g.MetricsPort)
	need(g.MemoryMB > 0, "memory_mb", "a positive number", g.MemoryMB)
	need(g.Descriptors > 0, "descriptors", "a positive number", g.Descriptors)
	need(g.GraceSeconds > 0, "grace_s", "a positive number", g.GraceSeconds)
	need(g.LeaseMs > 0, "lease_ms", "a positive number", g.LeaseMs)
	need(g.RetrySlack > 0, "retry_slack", "a positive number", g.RetrySlack)
	need(g.VersionMs > 0, "version_ms", "a positive number", g.VersionMs)
	for _, seed := range g.Seeds {
		need(isAddress(seed), "seeds", "IP:port", seed)
	}
	return r.problems
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isPort(n int) bool {
	return n > 0 && n < 1<<16
}
