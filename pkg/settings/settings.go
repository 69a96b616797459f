// Package settings reads and checks the process settings of a VM.
//
// Settings are static: they are read once at start. Everything that operators change while the system runs
// comes from release notes instead.
package settings

import (
	"fmt"
	"os"
	"time"
)

// Defaults of optional settings.
const (
	DefaultDrainDelay        = 2 * time.Second
	DefaultMaxBodyBytes      = 4 << 20
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultWorkers           = 4096
	DefaultQueuePerWorkspace = 256
	DefaultPlacementPolicy   = "corneldeal"
	DefaultLogLevel          = "info"
	DefaultTimelineEvents    = 16384
)

// Settings are the settings of one process.
type Settings struct {
	// VM is the name of this VM. It stays the same over restarts.
	VM string
	// DataCentre is where this VM stands.
	DataCentre string
	// CallerAddress is IP:port of the listener for callers.
	CallerAddress string
	// PeerAddress is IP:port of the listener for other VMs.
	PeerAddress string
	// PeerAdvertiseAddress is IP:port at which other VMs reach PeerAddress, as the VM list shows it. Default
	// PeerAddress.
	PeerAdvertiseAddress string
	// LogAddress is IP:port of the platform's log service.
	LogAddress string
	// VMListAddress is IP:port of the platform's VM list.
	VMListAddress string
	// PeerToken authenticates the VMs to each other. At least 16 characters.
	PeerToken string
	// PeerTLS secures the connections between VMs. Nil means plain TCP.
	PeerTLS *PeerTLS
	// CallerTLS secures the connections of callers. Nil means plain TCP behind a terminating balancer.
	CallerTLS *KeyPair
	// PlacementPolicy is corneldeal, or a baseline for measurements. Default corneldeal.
	PlacementPolicy string
	// DrainDelay is the time between failing readiness and refusing new work. Default 2 s.
	DrainDelay time.Duration
	// MaxBodyBytes bounds a request body. Default 4 MiB.
	MaxBodyBytes int
	// MaxHeaderBytes bounds the request headers. Default 16 KiB.
	MaxHeaderBytes int
	// Workers bounds the requests that are worked on at once. Default 4096.
	Workers int
	// QueuePerWorkspace bounds the waiting requests of one workspace. Default 256.
	QueuePerWorkspace int
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string
	// TimelineEvents is the number of events kept in memory. Default 16384.
	TimelineEvents int
}

// KeyPair names the files of a certificate and its private key.
type KeyPair struct {
	CertFile string
	KeyFile  string
}

// PeerTLS names the files for mutual TLS between VMs.
type PeerTLS struct {
	KeyPair
	// CAFile holds the certificate authorities that sign the certificates of VMs.
	CAFile string
}

// Problem is one mistake in a settings file.
type Problem struct {
	File     string
	Line     int
	Key      string
	Message  string
	Expected string
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; expected %s", p.File, p.Line, p.Key, p.Message, p.Expected)
}

// Load reads and checks the settings file. It returns every problem at once.
func Load(file string) (Settings, []Problem) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []Problem{{File: file, Key: "-", Message: err.Error(), Expected: "a readable file"}}
	}
	return Parse(file, data)
}
