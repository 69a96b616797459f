package crashguard

import (
	"cmp"
	"maps"
	"slices"
)

// A crash accuses every part of every request that the endpoint had not answered, but only one of them can be its cause.
// The part at fault is in all of its crashes, an innocent one in few, so crashes that ended endpoints under a refused part
// with more crashes than another part do not count against the other one.

const (
	// endpointsToRefuseForGood is the number of endpoints that a part may crash before requests with it are sent no more, but
	// for those that tell it from other suspects. Between endpointsToRefuse and this number, single requests are sent as
	// probes.
	endpointsToRefuseForGood = 5
)

// refreshRefusedParts determines which parts are refused, if crashes of parts have changed.
func (t *Tally) refreshRefusedParts() {
	if !t.partsChanged {
		return
	}
	t.partsChanged = false
	before := t.refusedParts
	t.refusedParts = map[uint64]bool{}
	t.findRivals()
	// mostCrashes is the largest number of crashes of a refused part under which an endpoint ended, by endpoint.
	mostCrashes := map[string]int{}
	for _, fingerprint := range t.partsByCrashCount() {
		r := t.requests[fingerprint]
		count, unexplained := r.countedCrashes(), 0
		needed := count + 1
		if count >= endpointsToRefuseForGood {
			// One endpoint may have ended for another reason while it ran a probe.
			needed += maxCoincidences
		}
		for endpoint, cleared := range r.cleared {
			if !cleared && mostCrashes[endpoint] < needed {
				unexplained++
			}
		}
		if unexplained < endpointsToRefuse {
			continue
		}
		t.refusedParts[fingerprint] = true
		for endpoint, cleared := range r.cleared {
			if !cleared {
				mostCrashes[endpoint] = max(mostCrashes[endpoint], count)
			}
		}
	}
	for fingerprint := range t.refusedParts {
		if !before[fingerprint] {
			t.changedParts = append(t.changedParts, fingerprint)
		}
	}
	for fingerprint := range before {
		if !t.refusedParts[fingerprint] {
			t.changedParts = append(t.changedParts, fingerprint)
		}
	}
}

// partsByCrashCount returns the parts with enough crashes to be refused, those with the most crashes first.
func (t *Tally) partsByCrashCount() []uint64 {
	parts := slices.Collect(maps.Keys(t.suspectParts))
	slices.SortFunc(parts, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(t.requests[b].countedCrashes(), t.requests[a].countedCrashes()), cmp.Compare(a, b))
	})
	return parts
}

// TakeChangedParts returns the parts that are refused or no longer refused since the last call, sorted.
func (t *Tally) TakeChangedParts() []uint64 {
	t.refreshRefusedParts()
	changed := t.changedParts
	t.changedParts = nil
	slices.Sort(changed)
	return changed
}
