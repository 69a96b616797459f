// Package precedence decides which VM acts when one of them has to, for instance to order weights or to write a record
// that concerns the whole system.
//
// All VMs rank the same keys in the same total order, so among VMs that know the same peers exactly one is the first.
// Views may differ while VMs start, stop or are cut off. Therefore a duty that stays undone is taken over by the VMs of
// the next ranks, each after a longer time, whether or not it knows VMs that precede it. Duties that must not be done
// twice need a guard of their own, such as a conditional append. The package does no I/O.
package precedence

import (
	"cmp"
	"time"
)

const (
	// SettledUptime is the uptime from which a VM precedes VMs that started before it.
	SettledUptime = 2 * time.Second
	// takeoverInterval is the time after which the VM of the next rank takes over a duty. A report that the duty is done
	// reaches all VMs sooner.
	takeoverInterval = 2 * time.Second
	// steppedRanks is the number of ranks that are takeoverInterval apart. Those after them are takeoverSpread apart, so
	// that hundreds of VMs that all know VMs before them do not act in the same moment.
	steppedRanks   = 2
	takeoverSpread = 10 * time.Millisecond
)

// Key is the place of a VM in the order.
type Key struct {
	// VM is the name.
	VM string
	// StartedUnixMs is the time of day of the process's start by its own clock, in milliseconds. It stays the same for the
	// life of the process, so that all VMs compare the same value. A clock that is wrong changes only which VM is preferred.
	StartedUnixMs int64
	// Settled is set from SettledUptime on.
	Settled bool
}

// Precedes reports whether k comes before other. In a rolling restart, VMs that have restarted keep running, so of two
// settled VMs the one that started later comes first. A VM that is not settled may fail at its start and comes after all
// that are.
func (k Key) Precedes(other Key) bool {
	if k.Settled != other.Settled {
		return k.Settled
	}
	return cmp.Or(cmp.Compare(other.StartedUnixMs, k.StartedUnixMs), cmp.Compare(k.VM, other.VM)) < 0
}

// TakeoverDelay returns the time after which the VM of a rank does a duty that is still undone. The rank of a VM is the number
// of the VMs that precede it.
func TakeoverDelay(rank int) time.Duration {
	steps := min(rank, steppedRanks)
	return time.Duration(steps)*takeoverInterval + time.Duration(rank-steps)*takeoverSpread
}

// MaxTakeoverDelay returns the longest TakeoverDelay in a system of that many VMs.
func MaxTakeoverDelay(vms int) time.Duration {
	return TakeoverDelay(max(vms-1, 0))
}
