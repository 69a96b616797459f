// Package settings reads and checks the settings of a process.
//
// The settings of the router are read once at start. Everything that operators change while the system runs comes from
// release notes instead.
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

// Settings holds the settings of a router process.
type Settings struct {
	// VM is the name of this VM. It does not change across restarts.
	VM string
	// DataCentre is the name of the data centre of this VM.
	DataCentre string
	// CallerAddress is the IP:port of the listener for callers.
	CallerAddress string
	// PeerAddress is the IP:port of the listener for other VMs.
	PeerAddress string
	// PeerAdvertiseAddress is the IP:port at which other VMs reach PeerAddress, as published in the VM list. Default
	// PeerAddress.
	PeerAdvertiseAddress string
	// LogAddress is the IP:port of the platform's log service.
	LogAddress string
	// VMListAddress is the IP:port of the platform's VM list.
	VMListAddress string
	// PeerToken authenticates the VMs to each other. It has at least 16 characters.
	PeerToken string
	// PeerTLS configures TLS for connections between VMs. Nil means plain TCP.
	PeerTLS *PeerTLS
	// CallerTLS configures TLS for connections from callers. Nil means plain TCP behind a load balancer that
	// terminates TLS.
	CallerTLS *KeyPair
	// PlacementPolicy is "corneldeal", or the name of a baseline for measurements. Default "corneldeal".
	PlacementPolicy string
	// DrainDelay is the time between failing the readiness probe and refusing new work. Default 2 s.
	DrainDelay time.Duration
	// MaxBodyBytes limits the size of a request body. Default 4 MiB.
	MaxBodyBytes int
	// MaxHeaderBytes limits the size of the request headers. Default 16 KiB.
	MaxHeaderBytes int
	// Workers limits the number of requests that are processed concurrently. Default 4096.
	Workers int
	// QueuePerWorkspace limits the number of queued requests of one workspace. Default 256.
	QueuePerWorkspace int
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string
	// TimelineEvents is the number of timeline events kept in memory. Default 16384.
	TimelineEvents int
}

// KeyPair holds the file names of a certificate and its private key.
type KeyPair struct {
	CertFile string
	KeyFile  string
}

// PeerTLS holds the file names for mutual TLS between VMs.
type PeerTLS struct {
	KeyPair
	// CAFile contains the certificates of the authorities that sign the certificates of VMs.
	CAFile string
}

// Problem is an error in a settings file.
type Problem struct {
	File string
	// Line is the line in the file, counted from 1, or 0 if it is not known.
	Line int
	// Key is the full name of the setting, or "-" if the problem concerns the whole file.
	Key     string
	Message string
	// Expected describes a valid value.
	Expected string
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; expected %s", p.File, p.Line, p.Key, p.Message, p.Expected)
}

// Load reads and checks a settings file. It returns all problems of the file.
func Load(file string) (Settings, []Problem) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []Problem{{File: file, Key: "-", Message: err.Error(), Expected: "a readable file"}}
	}
	return Parse(file, data)
}
