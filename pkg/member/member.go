// Package member keeps track of the VMs of the router from two sources: the platform's VM list, which lags, and
// heartbeats between the VMs.
package member

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/timeline"
)

const (
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the silence after which a peer counts as down: three lost heartbeats and a slow one.
	HeartbeatTimeout = 2 * time.Second
	// ContactWindow is the age at which knowledge of the log's end no longer counts as contact. It is the time
	// within which a configuration must be in force.
	ContactWindow = 3 * time.Second
	// CloseAfter is the time after the last contact at which an isolated VM closes running streams.
	CloseAfter = 5 * time.Second
	// ForgetAfter is the silence after which a VM that the list does not show is no longer counted for the
	// majority. It is longer than ContactWindow, so that an isolated VM stops forgetting before it would start.
	ForgetAfter = 10 * time.Second
	// dropAfter is the age at which the last traces of a VM are removed, to bound memory.
	dropAfter = time.Hour
	// supersededIncarnations is the number of earlier incarnations of a VM whose late heartbeats are recognised.
	supersededIncarnations = 8
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the platform's list.
const (
	StateLive    VMState = "live"
	StateLeaving VMState = "leaving"
)

// VM is an entry of the platform's list.
type VM struct {
	Name       string
	DataCentre string
	// CallerAddr is IP:port for callers.
	CallerAddr string
	// PeerAddr is IP:port for peers.
	PeerAddr string
	State    VMState
}

// List is one reading of the platform's VM list.
type List struct {
	// AsOf is the time by the platform's clock; a reading that is older than the last one is ignored.
	AsOf time.Time
	VMs  []VM
}

// shows tells whether the list shows a VM as live.
func (l *List) shows(name string) bool {
	return slices.ContainsFunc(l.VMs, func(vm VM) bool { return vm.Name == name && vm.State == StateLive })
}

// StreamOffset tells how far a VM has read a stream.
type StreamOffset struct {
	Stream string
	// Next is the first offset not read.
	Next int64
	// Age is the time since the VM knew that Next was the end of the stream, or negative where it never did.
	Age time.Duration
}

// EndpointLoad is the number of requests that a VM has in flight at an endpoint.
type EndpointLoad struct {
	Endpoint string
	InFlight int
	// Prefill is the expected time until the prompts of these requests are computed, counted from At.
	Prefill time.Duration
	// At is the time at which this VM received the number.
	At time.Time
}

// Heartbeat is what a VM tells about itself.
type Heartbeat struct {
	VM          string
	Incarnation string
	DataCentre  string
	// PeerAddr is IP:port for peers, or empty where the message does not tell.
	PeerAddr string
	// Sent is the sender's clock. A heartbeat sent before the newest one of its incarnation is ignored.
	Sent timeline.Stamp
	// ConfigNext is the first offset of the config stream not applied.
	ConfigNext int64
	// ConfigDigest is the digest of the configuration at ConfigNext.
	ConfigDigest string
	Offsets      []StreamOffset
	Loads        []EndpointLoad
	// Contact tells that the sender has contact with the log.
	Contact        bool
	LogReadable    bool
	VMListReadable bool
	ClaimPending   bool
	Draining       bool
	Slots          []string
}

// StreamConfig is the name of the stream whose reading decides on contact.
const StreamConfig = "config"

// configOffset returns how far the sender has read the config stream.
func (h *Heartbeat) configOffset() (StreamOffset, bool) {
	for _, o := range h.Offsets {
		if o.Stream == StreamConfig {
			return o, o.Age >= 0
		}
	}
	return StreamOffset{}, false
}
