// Package lease decides which VM owns a named resource, from the order of records on the control stream.
//
// Every VM that replays the records with a Table reaches the same state. A Manager adds what one VM observes besides
// the log: the age of its evidence, and which VMs the VM list shows. The package does no I/O: time, evidence and jitter
// are passed in.
//
// A holder may act while its newest evidence that no other VM may act is younger than EvidenceTTL. There are four
// sources of evidence, in the order of EvidenceKind: its own read of the log, a peer's read of the log, a read of the
// VM list, and a poll of peers. A list read counts only while the log is unreachable, and a poll only if the polled
// peers can read neither the log nor the VM list.
package lease

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Kind is the type of a record.
type Kind string

// Kinds of records on the control stream.
const (
	// KindClaim requests a resource under the current epoch plus one.
	KindClaim Kind = "claim"
	// KindRelease states that the named process no longer acts under the epoch and never will again.
	KindRelease Kind = "release"
	// KindRenew repeats the state of a resource, so that the state outlives the retention of the log.
	KindRenew Kind = "renew"
)

// ResourceOrders is the resource whose holder may issue orders to engines.
const ResourceOrders = "orders"

const slotPrefix = "slot/"

// SlotResource returns the resource name of a limit slot.
func SlotResource(index int) string {
	return slotPrefix + strconv.Itoa(index)
}

// SlotIndex returns the index of a limit slot and reports whether the resource is a slot.
func SlotIndex(resource string) (int, bool) {
	text, ok := strings.CutPrefix(resource, slotPrefix)
	if !ok {
		return 0, false
	}
	index, err := strconv.Atoi(text)
	return index, err == nil && index >= 0
}

// Holder identifies one process on a VM.
type Holder struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Address is the peer address, which the process binds before it claims a resource.
	Address string `json:"address,omitempty"`
}

// sameProcess reports whether both identify the same process.
func (h Holder) sameProcess(o Holder) bool {
	return h.VM == o.VM && h.Incarnation == o.Incarnation
}

// replaces reports whether h can run only after o has ended, since both have the same VM and bind the same address.
func (h Holder) replaces(o Holder) bool {
	return h.VM == o.VM && h.Address == o.Address
}

// listKey returns the key of the process in the VM list, which contains no incarnations.
func (h Holder) listKey() string {
	return h.VM + "@" + h.Address
}

// Displaced is an earlier holder that may not yet have read the claim that displaced it.
type Displaced struct {
	Holder
	Epoch int64 `json:"epoch"`
}

// Record is one record on the control stream.
type Record struct {
	Kind     Kind   `json:"kind"`
	Resource string `json:"resource"`
	Epoch    int64  `json:"epoch"`
	Holder
	// Read is the first offset that the author had not read, in claim and renew records.
	Read int64 `json:"read,omitempty"`
	// Partial states in a claim that the retained records do not show the author the state of the resource. The epoch
	// is then Read plus one, which is larger than any epoch so far.
	Partial bool `json:"partial,omitempty"`
	// Fence is the offset of the claim, in a renew record.
	Fence int64 `json:"fence,omitempty"`
	// Released states in a renew record that no process holds the resource.
	Released bool `json:"released,omitempty"`
	// Active states in a renew record that the holder has waited until the leases of all earlier holders expired.
	Active bool `json:"active,omitempty"`
	// Displaced lists in a renew record the earlier holders that may still act.
	Displaced []Displaced `json:"displaced,omitempty"`
}

// Encode returns the record in JSON, as written to the log.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Strings, integers and booleans always encode.
		panic("lease: record cannot be encoded: " + err.Error())
	}
	return data
}
