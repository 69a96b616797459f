// Package connlimit divides the connections that an endpoint accepts among the VMs, and decides whether a connection that
// an endpoint reset was refused for its limit.
//
// VMs do not negotiate. Each one computes its share from the set of VMs that it knows. A VM with a larger set never computes
// a larger share, so the shares add up to at most the usable part of the limit as long as the set of each VM contains all
// VMs that hold connections. Those that may be missing from it for a while (VMs that join while others are cut off from
// them, and the connections that a restarted VM left behind) are covered by the part that nobody uses. The package does no
// I/O; the time is passed in.
package connlimit

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// usableFraction is the part of a limit that the shares of all VMs add up to. The rest takes up the connections that
	// restarted VMs left behind and the shares of VMs that are not known everywhere yet.
	usableFraction = 0.8
	// joinDelay is the time after the start of a process in which its shares are zero. A digest takes up to 0.7 s to reach
	// all VMs, so by then they have reduced their shares, and an endpoint has dropped the connections of the process before.
	joinDelay = 3 * time.Second
)

// Endpoint is an endpoint with a connection limit.
type Endpoint struct {
	fleet.Incarnation
	// Address is the IP:port of the endpoint.
	Address string
	// Limit is the number of connections that the endpoint accepts from all VMs together.
	Limit int
}

// Members is what a VM knows about the VMs that may hold connections.
type Members struct {
	// Names are the VMs that may hold connections, sorted, with this one: the live ones, those that are stopping, and those
	// that fell silent but may only be cut off from this VM.
	Names []string
	// Unknown is set while this VM has neither read the list of VMs nor heard another one.
	Unknown bool
}

// entry is the state of one endpoint.
type entry struct {
	Endpoint
	key uint64
	// rank is this VM's rank among the members for the endpoint, as of the table's revision rankRevision.
	rank         int
	rankRevision int
	reduction    reduction
}

// Table holds the endpoints with a connection limit. It is not safe for concurrent use.
type Table struct {
	vm      string
	started time.Time
	members Members
	// revision increases with each change of the names of the members.
	revision int
	// entries are the endpoints by address.
	entries map[string]*entry
}

// New returns an empty table of a VM whose process started at the given time.
func New(vm string, started time.Time) *Table {
	return &Table{
		vm: vm, started: started, members: Members{Names: []string{vm}, Unknown: true}, entries: map[string]*entry{}, revision: 1,
	}
}

// SetMembers applies what this VM knows about the others. It reports whether the set of VMs changed.
func (t *Table) SetMembers(m Members) bool {
	t.members.Unknown = m.Unknown
	if slices.Equal(m.Names, t.members.Names) {
		return false
	}
	t.members.Names = m.Names
	t.revision++
	return true
}

// VMs returns the number of VMs that share the limits.
func (t *Table) VMs() int {
	return len(t.members.Names)
}

// Track adds an endpoint or applies a change of its limit or address. A new start of it ends the reduction of its share.
func (t *Table) Track(e Endpoint) {
	known := t.entries[e.Address]
	if known != nil && known.Incarnation == e.Incarnation {
		known.Limit = e.Limit
		return
	}
	t.entries[e.Address] = &entry{Endpoint: e, key: rendezvous.Key(e.ID)}
}

// Retain removes the endpoints for which keep returns false.
func (t *Table) Retain(keep func(e Endpoint) bool) {
	for address, e := range t.entries {
		if !keep(e.Endpoint) {
			delete(t.entries, address)
		}
	}
}

// Share returns the number of connections, idle ones included, that this VM may hold to the endpoint at an address. It
// reports false if the endpoint has no limit.
func (t *Table) Share(address string, now time.Time) (connections int, limited bool) {
	e := t.entries[address]
	if e == nil {
		return 0, false
	}
	return e.reduction.apply(t.fullShare(e, now), now), true
}

// fullShare returns this VM's share of the limit of an endpoint without the reduction after resets. The usable connections
// are dealt out in turn, in the order of the VMs' ranks.
func (t *Table) fullShare(e *entry, now time.Time) int {
	if t.members.Unknown || now.Sub(t.started) < joinDelay {
		return 0
	}
	if e.rankRevision != t.revision {
		e.rank = rendezvous.Rank(e.key, t.vm, t.members.Names)
		e.rankRevision = t.revision
	}
	usable := int(usableFraction * float64(e.Limit))
	if e.rank >= usable {
		return 0
	}
	return (usable-e.rank-1)/len(t.members.Names) + 1
}

// Usage summarizes the limits for the metrics page.
type Usage struct {
	// Endpoints is the number of endpoints with a limit.
	Endpoints int
	// Limits is the sum of the limits, and Shares that of this VM's shares, both in connections.
	Limits, Shares int
}

// Usage returns the sums over all endpoints.
func (t *Table) Usage(now time.Time) Usage {
	var u Usage
	for address, e := range t.entries {
		share, _ := t.Share(address, now)
		u.Endpoints++
		u.Limits += e.Limit
		u.Shares += share
	}
	return u
}
