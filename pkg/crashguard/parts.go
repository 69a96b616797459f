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
	// maxStoredRivals limits the parts that are stored since they explain crashes under refused ones.
	maxStoredRivals = 16
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
	t.updateStoredParts(before)
}

// partsByCrashCount returns the parts with enough crashes to be refused, those with the most crashes first.
func (t *Tally) partsByCrashCount() []uint64 {
	parts := slices.Collect(maps.Keys(t.suspectParts))
	t.sortByCrashCount(parts)
	return parts
}

// sortByCrashCount sorts parts, those with the most crashes first.
func (t *Tally) sortByCrashCount(parts []uint64) {
	slices.SortFunc(parts, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(t.requests[b].countedCrashes(), t.requests[a].countedCrashes()), cmp.Compare(a, b))
	})
}

// updateStoredParts determines the parts whose crashes are to be stored: those that are refused, and those that explain crashes
// under them as well, since without these the others would seem to be at fault. Before are the parts that were refused.
func (t *Tally) updateStoredParts(before map[uint64]bool) {
	stored := maps.Clone(t.refusedParts)
	for _, part := range t.rivalsOfRefused() {
		stored[part] = true
	}
	for part := range stored {
		if !t.storedParts[part] || t.refusedParts[part] != before[part] {
			t.changedParts = append(t.changedParts, part)
		}
	}
	for part := range t.storedParts {
		if !stored[part] {
			t.changedParts = append(t.changedParts, part)
		}
	}
	t.storedParts = stored
}

// rivalsOfRefused returns the parts, at most maxStoredRivals, that are not refused and may explain crashes under refused ones:
// those with the most crashes.
func (t *Tally) rivalsOfRefused() []uint64 {
	found := map[uint64]bool{}
	for part := range t.refusedParts {
		for endpoint, cleared := range t.requests[part].cleared {
			if cleared {
				continue
			}
			for _, rival := range t.rivalsByEndpoint[endpoint] {
				if !t.refusedParts[rival] {
					found[rival] = true
				}
			}
		}
	}
	rivals := slices.Collect(maps.Keys(found))
	t.sortByCrashCount(rivals)
	return rivals[:min(len(rivals), maxStoredRivals)]
}

// IsStored reports whether the crashes of a request are to be stored, since all VMs may lose their memory at once.
func (t *Tally) IsStored(fingerprint uint64) bool {
	if IsPart(fingerprint) {
		t.refreshRefusedParts()
		return t.storedParts[fingerprint]
	}
	return t.IsRefused(fingerprint)
}

// TakeChangedParts returns the parts that are refused, or are to be stored, or no longer so since the last call, sorted.
func (t *Tally) TakeChangedParts() []uint64 {
	t.refreshRefusedParts()
	changed := t.changedParts
	t.changedParts = nil
	slices.Sort(changed)
	return changed
}
