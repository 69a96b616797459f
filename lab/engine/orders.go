package engine

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// weightTimeout limits one load through the weight store.
const weightTimeout = 10 * time.Minute

// ApplyOrder carries out an order. A load continues in the background.
func (e *Engine) ApplyOrder(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opt.ChecksFencing && o.Fence < e.fence {
		e.stats.RefusedOrders++
		return errStaleFence
	}
	if !o.hasRequiredFields() {
		return errIncompleteOrder
	}
	e.fence = max(e.fence, o.Fence)
	e.stats.Orders++
	defer e.recordStateLocked()
	switch o.Kind {
	case OrderLoad:
		e.startLoadLocked(LoadedModel{Model: o.Model, Version: o.Version})
	case OrderUnload:
		e.unloadLocked(o)
	case OrderRole:
		e.setRoleLocked(o.Role)
	case OrderAdapter:
		return e.addAdapterLocked(o)
	}
	return nil
}

// hasRequiredFields reports whether the kind is known and the fields that it requires are set.
func (o Order) hasRequiredFields() bool {
	switch o.Kind {
	case OrderLoad, OrderUnload:
		return o.Model != "" && o.Version != ""
	case OrderRole:
		return o.Role != ""
	case OrderAdapter:
		return o.Model != "" && o.Adapter != ""
	default:
		return false
	}
}

// sameVersion reports whether both have the same model and version; adapters are not compared.
func (l LoadedModel) sameVersion(o LoadedModel) bool {
	return l.Model == o.Model && l.Version == o.Version
}

// startLoadLocked starts loading the weights, unless they are loaded or loading already.
func (e *Engine) startLoadLocked(l LoadedModel) {
	if slices.ContainsFunc(e.loaded, l.sameVersion) || slices.ContainsFunc(e.loading, l.sameVersion) {
		return
	}
	e.loading = append(slices.Clone(e.loading), l)
	go e.runLoad(l, e.generation)
}

// runLoad waits for the load and marks the weights as loaded, unless the load failed or the engine crashed.
func (e *Engine) runLoad(l LoadedModel, generation uint64) {
	ok := e.waitForLoad(l)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation {
		return
	}
	e.loading = slices.DeleteFunc(slices.Clone(e.loading), l.sameVersion)
	if ok {
		e.loaded = append(slices.Clone(e.loaded), l)
	}
	e.recordStateLocked()
}

// waitForLoad blocks for the time of one load and reports whether the load succeeded.
func (e *Engine) waitForLoad(l LoadedModel) bool {
	if e.opt.WeightStore == "" {
		return e.opt.Weights.Load(e.opt.LoadTime, e.stop)
	}
	url := "http://" + e.opt.WeightStore + "/v1/weights/" + l.Model + "/" + l.Version
	status, _, err := fasthttp.GetTimeout(nil, url, weightTimeout)
	return err == nil && status == fasthttp.StatusOK
}

// unloadLocked removes the weights and the blocks computed with them.
func (e *Engine) unloadLocked(o Order) {
	gone := LoadedModel{Model: o.Model, Version: o.Version}
	e.loaded = slices.DeleteFunc(slices.Clone(e.loaded), gone.sameVersion)
	removed := e.cache.removeWeights(o.Model, o.Version)
	e.opt.Ledger.addHolders(removed, -1)
	e.events.add(EventRemoved, removed, e.faults.Get().EventDropRatio, time.Now())
}

// setRoleLocked changes the role, which clears the cache.
func (e *Engine) setRoleLocked(role string) {
	if e.role == role {
		return
	}
	e.role = role
	e.opt.Ledger.addHolders(e.cache.clear(), -1)
	e.events.add(EventCleared, []uint64{}, e.faults.Get().EventDropRatio, time.Now())
}

// addAdapterLocked adds an adapter to the loaded weights; an empty version selects all versions of the model.
func (e *Engine) addAdapterLocked(o Order) error {
	found := false
	next := slices.Clone(e.loaded)
	for i, l := range next {
		if l.Model != o.Model || o.Version != "" && l.Version != o.Version {
			continue
		}
		found = true
		if !slices.Contains(l.Adapters, o.Adapter) {
			next[i].Adapters = append(slices.Clone(l.Adapters), o.Adapter)
		}
	}
	if !found {
		return errModelNotLoaded
	}
	e.loaded = next
	return nil
}

// cachedPrefix returns the leading hashes whose blocks are cached.
func (e *Engine) cachedPrefix(hashes []uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return hashes[:e.cache.match(hashes)]
}

// storeImported caches blocks that were read from the cache store and returns the hashes now cached, up to the first
// that found no space. It stores nothing if the engine has restarted since the given generation.
func (e *Engine) storeImported(hashes []uint64, weights LoadedModel, generation uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []uint64{}
	if e.generation != generation {
		return out
	}
	var held []*block
	var stored, evicted []uint64
	for _, h := range hashes {
		b, gone, added := e.cache.store(h, weights)
		if b == nil {
			break
		}
		held = append(held, b)
		evicted = append(evicted, gone...)
		out = append(out, h)
		if added {
			stored = append(stored, h)
		}
	}
	e.cache.release(held)
	e.opt.Ledger.addHolders(evicted, -1)
	e.opt.Ledger.addHolders(stored, 1)
	drop := e.faults.Get().EventDropRatio
	e.events.add(EventRemoved, evicted, drop, time.Now())
	e.events.add(EventStored, stored, drop, time.Now())
	e.recordStateLocked()
	return out
}

// currentGeneration returns the generation of the current incarnation.
func (e *Engine) currentGeneration() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generation
}

// importTime returns the time to import this number of blocks.
func (e *Engine) importTime(blocks int) time.Duration {
	return e.opt.ImportCost * time.Duration(blocks)
}

// pause waits for the duration and reports false if the engine closes first.
func (e *Engine) pause(d time.Duration) bool {
	return standin.Pause(d, e.stop)
}
