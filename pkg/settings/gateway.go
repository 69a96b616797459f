package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// Gateway holds the settings of a gateway process. Unknown keys are ignored, because the platform may add keys.
type Gateway struct {
	// VM is the name of this VM. It does not change across restarts.
	VM string `yaml:"vm"`
	// Address is the IP of this VM.
	Address string `yaml:"address"`
	// DataCentre is the name of the data centre of this VM.
	DataCentre string `yaml:"data_centre"`
	// CallerAddress and ReadyAddress are the IP:port of the listeners for callers and for the readiness probe.
	CallerAddress string `yaml:"caller_address"`
	ReadyAddress  string `yaml:"ready_address"`
	// PeerPort is the UDP and TCP port on which gateways reach each other. It is the same on all VMs.
	PeerPort int `yaml:"peer_port"`
	// MetricsPort is the port that serves metrics.
	MetricsPort int `yaml:"metrics_port"`
	// Seeds are the addresses, as IP:port, of VMs that may run a gateway. Only the IP is used.
	Seeds []string `yaml:"seeds"`
	// FirstStart reports whether the whole system starts for the first time.
	FirstStart bool `yaml:"first_start"`
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string `yaml:"store_address"`
	// MemoryMB and Descriptors limit the memory and the file descriptors of the process. Default 128 and 1,024.
	MemoryMB    int `yaml:"memory_mb"`
	Descriptors int `yaml:"descriptors"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, or zero if unknown. VMs with more bandwidth are
	// preferred for forwarding the digests of other VMs.
	LinkMbps float64 `yaml:"link_mbps"`
	// GraceSeconds is the time between SIGTERM and SIGKILL, in seconds. Default 8.
	GraceSeconds float64 `yaml:"grace_s"`
	// LeaseMs is the minimum time between orders of two different VMs, in milliseconds. Default 3,000.
	LeaseMs float64 `yaml:"lease_ms"`
	// VersionMs is the time after the replacement of weights from which no request may start on the old ones, in
	// milliseconds. Default 15,000.
	VersionMs float64 `yaml:"version_ms"`
	// ConfigurationMs is the time after the publication of a configuration from which no request may be handled under an
	// older one, in milliseconds. Default 2,000.
	ConfigurationMs float64 `yaml:"configuration_ms"`
	// RetrySlack is the number of retries that all VMs together may send to one service in 10 s, in addition to a
	// fifth of the requests for it. Default 40.
	RetrySlack float64 `yaml:"retry_slack"`
	// Placement is "learned" if the costs of requests are learned from what the system observes, or "fixed" if they follow
	// from fixed figures. Default "fixed".
	Placement string `yaml:"placement"`
	// Admission is the rule by which requests for model engines are refused at overload: "overload" or "basic", which
	// looks at the wait on the chosen endpoint alone. Default "overload".
	Admission string `yaml:"admission"`
	// ExposureShare is the greatest share of a service's requests that a bad version may get between the order of its
	// roll-out and the end of the order's duration. Default 0.1.
	ExposureShare float64 `yaml:"exposure_share"`
	// ExposureSlack is the number of requests that it may get in addition. Default 50.
	ExposureSlack float64 `yaml:"exposure_slack"`
	// RollbackMs is the time after the 50th bad answer of a version from which no request may be sent to it, in
	// milliseconds. Default 5,000.
	RollbackMs float64 `yaml:"rollback_ms"`
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string `yaml:"log_level"`
}

// Grace returns the time between SIGTERM and SIGKILL.
func (g *Gateway) Grace() time.Duration {
	return time.Duration(g.GraceSeconds * float64(time.Second))
}

// Lease returns the minimum time between orders of two different VMs.
func (g *Gateway) Lease() time.Duration {
	return time.Duration(g.LeaseMs * float64(time.Millisecond))
}

// VersionLimit returns the time after the replacement of weights from which no request may start on the old ones.
func (g *Gateway) VersionLimit() time.Duration {
	return time.Duration(g.VersionMs * float64(time.Millisecond))
}

// ConfigurationLimit returns the time after the publication of a configuration from which no request may be handled
// under an older one.
func (g *Gateway) ConfigurationLimit() time.Duration {
	return time.Duration(g.ConfigurationMs * float64(time.Millisecond))
}

// Rollback returns the time after the 50th bad answer of a version from which no request may be sent to it.
func (g *Gateway) Rollback() time.Duration {
	return time.Duration(g.RollbackMs * float64(time.Millisecond))
}

// LoadGateway reads and checks the settings file of a gateway. It returns all problems of the file.
func LoadGateway(file string) (Gateway, []Problem) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Gateway{}, []Problem{{File: file, Key: "-", Message: err.Error(), Expected: "a readable file"}}
	}
	return ParseGateway(file, data)
}

// ParseGateway parses and checks the settings in data. The argument file names the source in problems.
func ParseGateway(file string, data []byte) (Gateway, []Problem) {
	g := Gateway{}
	if err := yaml.Unmarshal(data, &g); err != nil {
		return g, []Problem{{File: file, Line: lineOf(err), Key: "-", Message: firstLine(err), Expected: "YAML of the known types"}}
	}
	g.setDefaults()
	return g, g.problems(file)
}

// Values of Gateway.Admission.
const (
	AdmissionOverload = "overload"
	AdmissionBasic    = "basic"
)

// Defaults of the optional gateway settings.
const (
	DefaultGraceSeconds    = 8
	DefaultLeaseMs         = 3000
	DefaultVersionMs       = 15000
	DefaultConfigurationMs = 2000
	DefaultDescriptors     = 1024
	DefaultMemoryMB        = 128
	DefaultRetrySlack      = 40
	DefaultPlacement       = PlacementFixed
	DefaultExposureShare   = 0.1
	DefaultExposureSlack   = 50
	DefaultRollbackMs      = 5000
)

// Values of Gateway.Placement.
const (
	PlacementLearned = "learned"
	PlacementFixed   = "fixed"
)

func (g *Gateway) setDefaults() {
	g.LogLevel = cmp.Or(g.LogLevel, DefaultLogLevel)
	g.Admission = cmp.Or(g.Admission, AdmissionOverload)
	g.GraceSeconds = cmp.Or(g.GraceSeconds, DefaultGraceSeconds)
	g.LeaseMs = cmp.Or(g.LeaseMs, DefaultLeaseMs)
	g.VersionMs = cmp.Or(g.VersionMs, DefaultVersionMs)
	g.ConfigurationMs = cmp.Or(g.ConfigurationMs, DefaultConfigurationMs)
	g.Descriptors = cmp.Or(g.Descriptors, DefaultDescriptors)
	g.MemoryMB = cmp.Or(g.MemoryMB, DefaultMemoryMB)
	g.Placement = cmp.Or(g.Placement, DefaultPlacement)
	g.RetrySlack = cmp.Or(g.RetrySlack, DefaultRetrySlack)
	g.ExposureShare = cmp.Or(g.ExposureShare, DefaultExposureShare)
	g.ExposureSlack = cmp.Or(g.ExposureSlack, DefaultExposureSlack)
	g.RollbackMs = cmp.Or(g.RollbackMs, DefaultRollbackMs)
}

// problems returns all invalid values.
func (g *Gateway) problems(file string) []Problem {
	c := &checker{file: file}
	require := func(ok bool, key, expected string, value any) {
		if !ok {
			c.report(0, key, expected, "is %v", fmt.Sprintf("%q", fmt.Sprint(value)))
		}
	}
	require(g.VM != "", "vm", "a name", g.VM)
	require(g.DataCentre != "", "data_centre", "a name", g.DataCentre)
	require(isAddress(g.Address+":1"), "address", "an IP", g.Address)
	require(isAddress(g.CallerAddress), "caller_address", "IP:port", g.CallerAddress)
	require(isAddress(g.ReadyAddress), "ready_address", "IP:port", g.ReadyAddress)
	require(isAddress(g.StoreAddress), "store_address", "IP:port", g.StoreAddress)
	require(isPort(g.PeerPort), "peer_port", "a port", g.PeerPort)
	require(isPort(g.MetricsPort), "metrics_port", "a port", g.MetricsPort)
	require(g.MemoryMB > 0, "memory_mb", "a positive number", g.MemoryMB)
	require(g.Descriptors > 0, "descriptors", "a positive number", g.Descriptors)
	require(g.GraceSeconds > 0, "grace_s", "a positive number", g.GraceSeconds)
	require(g.LeaseMs > 0, "lease_ms", "a positive number", g.LeaseMs)
	require(g.RetrySlack > 0, "retry_slack", "a positive number", g.RetrySlack)
	require(g.ExposureShare > 0 && g.ExposureShare <= 1, "exposure_share", "a number above 0 and up to 1", g.ExposureShare)
	require(g.ExposureSlack > 0, "exposure_slack", "a positive number", g.ExposureSlack)
	require(g.RollbackMs > 0, "rollback_ms", "a positive number", g.RollbackMs)
	require(g.ConfigurationMs > 0, "configuration_ms", "a positive number", g.ConfigurationMs)
	require(g.VersionMs > 0, "version_ms", "a positive number", g.VersionMs)
	require(g.Placement == PlacementLearned || g.Placement == PlacementFixed, "placement", "learned or fixed", g.Placement)
	knownAdmission := g.Admission == AdmissionOverload || g.Admission == AdmissionBasic
	require(knownAdmission, "admission", "overload or basic", g.Admission)
	for _, seed := range g.Seeds {
		require(isAddress(seed), "seeds", "IP:port", seed)
	}
	return c.problems
}

// isAddress reports whether text is an IP:port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isPort(n int) bool {
	return n > 0 && n < 1<<16
}
