// Package lease decides which VM owns a named resource, from the order of records on the control stream.
//
// Table replays the records; every VM that replays them reaches the same state. Manager adds what one VM knows
// besides the log: how fresh its evidence is, and which VMs the VM list shows. The package holds no I/O: time,
// evidence and jitter are passed in.
package lease

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Kind names a type of record.
type Kind string

// Kinds of records on the control stream.
const (
	// KindClaim asks for a resource under the current epoch plus one.
	KindClaim Kind = "claim"
	// KindRelease states that the named VM no longer acts under the epoch and never will again.
	KindRelease Kind = "release"
	// KindRenew repeats the state of a resource, so that it outlives the retention of the log.
	KindRenew Kind = "renew"
)

// ResourceOrders is the right to issue orders to engines.
const ResourceOrders = "orders"

const slotPrefix = "slot/"

// SlotResource returns the resource name of a limit slot.
func SlotResource(index int) string {
	return slotPrefix + strconv.Itoa(index)
}

// SlotIndex returns the index of a limit slot and whether the resource is one.
func SlotIndex(resource string) (int, bool) {
	text, ok := strings.CutPrefix(resource, slotPrefix)
	if !ok {
		return 0, false
	}
	index, err := strconv.Atoi(text)
	return index, err == nil && index >= 0
}

// Holder identifies one process of a VM.
type Holder struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Address is the peer address, which the process binds before it claims anything.
	Address string `json:"address,omitempty"`
}

// sameProcess reports whether both name one process.
func (h Holder) sameProcess(o Holder) bool {
	return h.VM == o.VM && h.Incarnation == o.Incarnation
}

// replaces reports whether h can run only after o has ended: one VM and one bound address.
func (h Holder) replaces(o Holder) bool {
	return h.VM == o.VM && h.Address == o.Address
}

// listKey identifies the process in the VM list, which names no incarnations.
func (h Holder) listKey() string {
	return h.VM + "@" + h.Address
}

// Displaced is an earlier holder that may not have read that it was displaced.
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
	// Read is the next offset that the author had not read, in claim and renew records.
	Read int64 `json:"read,omitempty"`
	// Partial states in a claim that the author cannot tell the state of the resource from the kept records. Its
	// epoch is Read plus one, which is larger than any epoch so far.
	Partial bool `json:"partial,omitempty"`
	// Fence is the offset of the claim, in a renew record.
	Fence int64 `json:"fence,omitempty"`
	// Released states in a renew record that nobody holds the resource.
	Released bool `json:"released,omitempty"`
	// Active states in a renew record that the holder has waited for all earlier holders to lapse.
	Active bool `json:"active,omitempty"`
	// Displaced lists in a renew record the earlier holders that may still act.
	Displaced []Displaced `json:"displaced,omitempty"`
}

// Encode returns the record as written to the log.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// A Record holds only strings, integers and booleans.
		panic("lease: record cannot be encoded: " + err.Error())
	}
	return data
}
