// Package rollout decides how the traffic of a service moves to a new software version.
//
// An operator orders the roll-out of a target version. One VM, the holder of the order lease, decides with a Decider from
// the evidence of all VMs how much of the traffic goes to the target, and announces that as an Instruction. Every VM obeys
// the newest instruction with a Follower, judges answers with a Reference and counts them in a Tally. A Pool adds up the
// counts of all processes. The package does no I/O. Times are arguments and must come from a clock that keeps running while
// the VM is suspended, such as steady.Now.
package rollout

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/logpos"
)

// Order is an operator's order to move the traffic of a service to a software version.
type Order struct {
	// At is the position of the order's record. It identifies the order.
	At       logpos.Position
	Service  string
	Target   string
	Duration time.Duration
}

// Limits bound what a bad version may do to the requests of its service.
type Limits struct {
	// ExposureShare is the greatest share of the requests between the order and the end of its duration that may reach a bad
	// version, and ExposureSlack the number of requests that may reach it in addition.
	ExposureShare float64
	ExposureSlack float64
}

// State is the state of a roll-out as the operator sees it.
type State int

const (
	// Running means that the roll-out is not decided.
	Running State = iota + 1
	// Completed means that all traffic goes to the target and the old endpoints may stop.
	Completed
	// RolledBack means that no traffic goes to the target any more.
	RolledBack
)

// String returns the name of the state in records and logs.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled_back"
	}
	return "unknown"
}

// IsFinal reports whether the state never changes.
func (s State) IsFinal() bool {
	return s == Completed || s == RolledBack
}

// ParseState returns the state with a name. It reports false for an unknown name.
func ParseState(name string) (State, bool) {
	for _, s := range []State{Running, Completed, RolledBack} {
		if s.String() == name {
			return s, true
		}
	}
	return 0, false
}
