package engine

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// weightTimeout bounds one load through the weight store.
const weightTimeout = 10 * time.Minute

// Order carries out an order. A load goes on in the background.
func (e *Engine) Order(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opt.ChecksFencing && o.Fence < e.fence {
		e.stats.RefusedOrders++
		return errOldFence
	}
	if !o.complete() {
		return errBadOrder
	}
	e.fence = max(e.fence, o.Fence)
	e.stats.Orders++
	defer e.reportLocked()
	switch o.Kind {
	case OrderLoad:
		e.loadLocked(Loaded{Model: o.Model, Version: o.Version})
	case OrderUnload:
		e.unloadLocked(o)
	case OrderRole:
		e.roleLocked(o.Role)
	case OrderAdapter:
		return e.adapterLocked(o)
	}
	return nil
}

func (o Order) complete() bool {
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

// same tells whether both name the same weights.
func (l Loaded) same(o Loaded) bool {
	return l.Model == o.Model && l.Version == o.Version
}

func (e *Engine) loadLocked(l Loaded) {
	if slices.ContainsFunc(e.loaded, l.same) || slices.ContainsFunc(e.loading, l.same) {
		return
	}
	e.loading = append(slices.Clone(e.loading), l)
	go e.load(l, e.generation)
}

func (e *Engine) load(l Loaded, generation uint64) {
	ok := e.fetch(l)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation {
		return
	}
	e.loading = slices.DeleteFunc(slices.Clone(e.loading), l.same)
	if ok {
		e.loaded = append(slices.Clone(e.loaded), l)
	}
	e.reportLocked()
}

// fetch takes the time of one load.
func (e *Engine) fetch(l Loaded) bool {
	if e.opt.WeightStore == "" {
		return e.opt.Weights.Load(e.opt.LoadTime, e.stop)
	}
	url := "http://" + e.opt.WeightStore + "/v1/weights/" + l.Model + "/" + l.Version
	status, _, err := fasthttp.GetTimeout(nil, url, weightTimeout)
	return err == nil && status == fasthttp.StatusOK
}

func (e *Engine) unloadLocked(o Order) {
	gone := Loaded{Model: o.Model, Version: o.Version}
	e.loaded = slices.DeleteFunc(slices.Clone(e.loaded), gone.same)
	removed := e.cache.removeOwner(o.Model, o.Version)
	e.opt.Ledger.held(removed, -1)
	e.events.add(EventRemoved, removed, e.faults.Get().EventDropRatio, time.Now())
}

// roleLocked changes the role, which empties the cache.
func (e *Engine) roleLocked(role string) {
	if e.role == role {
		return
	}
	e.role = role
	e.opt.Ledger.held(e.cache.clear(), -1)
	e.events.add(EventCleared, []uint64{}, e.faults.Get().EventDropRatio, time.Now())
}

// adapterLocked adds an adapter to the weights; an empty version means all versions of the model.
func (e *Engine) adapterLocked(o Order) error {
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
		return errNoModel
	}
	e.loaded = next
	return nil
}

// held returns the hashes that the cache holds, in the given order, up to the first that is missing.
func (e *Engine) held(hashes []uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return hashes[:e.cache.match(hashes)]
}

// imported stores blocks that came from the cache store under the incarnation that asked for them.
func (e *Engine) imported(hashes []uint64, owner Loaded, generation uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []uint64{}
	if e.generation != generation {
		return out
	}
	var held []*block
	var stored, evicted []uint64
	for _, h := range hashes {
		b, gone, added := e.cache.store(h, owner)
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
	e.opt.Ledger.held(evicted, -1)
	e.opt.Ledger.held(stored, 1)
	drop := e.faults.Get().EventDropRatio
	e.events.add(EventRemoved, evicted, drop, time.Now())
	e.events.add(EventStored, stored, drop, time.Now())
	e.reportLocked()
	return out
}

// currentGeneration identifies the incarnation.
func (e *Engine) currentGeneration() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generation
}

// importTime is the time to import the blocks.
func (e *Engine) importTime(blocks int) time.Duration {
	return e.opt.ImportCost * time.Duration(blocks)
}

// pause waits or returns false when the engine closes.
func (e *Engine) pause(d time.Duration) bool {
	return standin.Pause(d, e.stop)
}
