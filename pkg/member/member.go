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
	// HeartbeatTimeout is the time without a heartbeat after which a peer counts as down: three lost heartbeats and a
	// slow one.
	HeartbeatTimeout = 2 * time.Second
	// ContactWindow is the age at which proof of having applied the end of the config stream no longer counts as
	// contact. It is the time within which a configuration must be in force.
	ContactWindow = 3 * time.Second
	// CloseAfter is the time after the last contact at which an isolated VM closes running streams.
	CloseAfter = 5 * time.Second
	// VoterTimeout is the time without a heartbeat or list entry after which a VM no longer counts for the majority. It
	// is longer than ContactWindow, so that a VM that becomes isolated stops removing voters before it would remove the
	// first.
	VoterTimeout = 10 * time.Second
	// removeAfter is the time without a heartbeat or list entry after which a VM is removed from the table, to bound
	// memory.
	removeAfter = time.Hour
	// maxEarlierIncarnations is the number of earlier incarnations of a VM whose late heartbeats are recognised.
	maxEarlierIncarnations = 8
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the platform's list.
const (
	StateLive    VMState = "live"
	StateLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name       string
	DataCentre string
	// CallerAddr is the IP:port for callers.
	CallerAddr string
	// PeerAddr is the IP:port for peers.
	PeerAddr string
	State    VMState
}

// List is the content of the platform's VM list at one read.
type List struct {
	// AsOf is the time of the list by the platform's clock. A list older than the last one is ignored.
	AsOf time.Time
	VMs  []VM
}

// listsLive reports whether the list shows a VM as live.
func (l *List) listsLive(name string) bool {
	return slices.ContainsFunc(l.VMs, func(vm VM) bool { return vm.Name == name && vm.State == StateLive })
}

// StreamOffset is the position up to which a VM has read a stream.
type StreamOffset struct {
	Stream string
	// Next is the first offset not read.
	Next int64
	// Age is the time since the VM had proof that Next was the end of the stream, or negative if it never had.
	Age time.Duration
}

// EndpointLoad is the load of one VM's requests on an endpoint.
type EndpointLoad struct {
	Endpoint string
	InFlight int
	// Prefill is the expected time until the prompts of these requests are computed, counted from At.
	Prefill time.Duration
	// At is the time at which this VM received the load.
	At time.Time
}

// Heartbeat is the state that a VM reports about itself.
type Heartbeat struct {
	VM          string
	Incarnation string
	DataCentre  string
	// PeerAddr is the IP:port for peers, or empty if the message does not contain it.
	PeerAddr string
	// Sent is the time of sending by the sender's clock. A heartbeat sent before the newest one of its incarnation is
	// ignored.
	Sent timeline.Stamp
	// ConfigNext is the first offset of the config stream not applied.
	ConfigNext int64
	// ConfigDigest is the digest of the configuration at ConfigNext.
	ConfigDigest string
	Offsets      []StreamOffset
	Loads        []EndpointLoad
	// Contact reports whether the sender is in contact with the log.
	Contact        bool
	LogReadable    bool
	VMListReadable bool
	ClaimPending   bool
	Draining       bool
	Slots          []string
}

// StreamConfig is the name of the config stream, whose offsets determine contact.
const StreamConfig = "config"

// configOffset returns the sender's offset in the config stream and reports whether it was ever proven to be the end.
func (h *Heartbeat) configOffset() (StreamOffset, bool) {
	for _, o := range h.Offsets {
		if o.Stream == StreamConfig {
			return o, o.Age >= 0
		}
	}
	return StreamOffset{}, false
}
