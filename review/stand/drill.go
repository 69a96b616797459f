//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// zones are the zones of the small site gtma-stitchdesk, and zoneVMs the machines in each.
var (
	zones   = []string{"accra-a", "accra-b", "accra-c"}
	zoneVMs = []int{3, 2, 2}
)

// route returns a route of the desired state.
func route(name, prefix, kind, service string, attempts int, timeoutMs float64, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMs,
		"target_latency_ms": 500, "priority": 1, "service": service, "attempts": attempts, "public": false,
		"resumable": resumable, "target_gap_ms": 400,
	}
}

// tenant returns a tenant of the desired state with one key.
func tenant(name, key string, isolated bool) map[string]any {
	return map[string]any{
		"name": name, "api_keys": []any{key}, "unit": "token_streaming", "uncached_tokens": 200, "isolated": isolated,
		"rate_per_s": 100_000, "burst": 1_000_000,
	}
}

// startSite starts the small site: a desired state, weights 1, workers and machines, and waits until all are ready.
func (l *lab) startSite(engines, plain int) error {
	l.config = map[string]any{
		"version": 0.0,
		"routes": []any{
			route("booking", "/book/", "unsafe", "orderbook", 1, 1500, false),
			route("lookup", "/look/", "safe", "orderbook", 2, 1500, false),
			route("draft", "/stream/draft/", "streaming", "wordloom", 2, 15000, true),
		},
		"services": []any{
			map[string]any{"name": "orderbook", "health_path": "/health", "connection_limit": 100},
			map[string]any{"name": "wordloom", "health_path": "/health", "connection_limit": 620, "engine": map[string]any{
				"slots": 128, "kv_cache_tokens": 145812, "token_kv_bytes": 35136, "link_mbps": 370000.0,
				"max_in_flight": 12, "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"limits": map[string]any{
			"max_header_bytes": 8192, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{tenant("kumasi", "key-kumasi", false), tenant("hotel", "key-hotel", false)},
	}
	l.publish(nil)
	l.nameWeights(1)
	for i := range engines {
		if _, err := l.addWorker(fmt.Sprint("i-engine-", i), "wordloom", zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for i := range plain {
		if _, err := l.addWorker(fmt.Sprint("i-plain-", i), "orderbook", zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for z, zone := range zones {
		for i := range zoneVMs[z] {
			if _, err := l.addVM(fmt.Sprint("front-", zone, "-", i+1), zone, true); err != nil {
				return err
			}
		}
	}
	l.line("%d machines, %d model workers and %d plain workers are started", len(l.vms), engines, plain)
	return l.awaitReady(l.vms...)
}

// weightsOf returns the version of the weights that a worker has, from the orders that it carried out.
func weightsOf(w *worker) int64 {
	version := int64(1)
	for _, order := range w.Orders() {
		version = max(version, order.Version)
	}
	return version
}

// behind returns the model workers that have older weights than the given ones.
func (l *lab) behind(version int64) (old, all int) {
	for _, w := range l.workers {
		if w.service != "wordloom" {
			continue
		}
		all++
		if weightsOf(w) < version {
			old++
		}
	}
	return old, all
}

// Figures of the drill. The pages set no length for the drill but "a moment" and "some seconds".
const (
	awayFor    = 300 * time.Millisecond
	copyAge    = 3 * time.Second
	versionMax = versionMs * time.Millisecond * 3 / 2
)

// drillCase restores the store from a copy while the machine that gives the orders is not the one that started last, and
// then names new weights.
func drillCase(l *lab, trouble bool) (bool, error) {
	if err := l.startSite(9, 3); err != nil {
		return false, err
	}
	traffic := l.startDrafts()
	time.Sleep(time.Second)
	l.nameWeights(2)
	if !l.await(30*time.Second, func() bool { old, _ := l.behind(2); return old == 0 }) {
		return false, fmt.Errorf("%w: weights 2 were not loaded before the disruption", errCannotRun)
	}
	l.line("all model workers have weights 2, ordered by %s", l.holders())
	added, err := l.addVM("front-accra-a-4", "accra-a", false)
	if err != nil {
		return false, err
	}
	if err := l.awaitReady(added); err != nil {
		return false, err
	}
	l.line("machine %s was added and is ready", added.name)
	time.Sleep(stabilityWindow)
	if trouble {
		saved := l.store.Copy()
		l.line("store: a copy is made")
		time.Sleep(copyAge)
		l.store.SetDown(true)
		time.Sleep(awayFor)
		l.store.Restore(saved)
		l.store.SetDown(false)
		l.line("store: back from the copy, %v old, after %v away", copyAge+awayFor, awayFor)
		l.rewriteOperator()
		for _, w := range l.workers {
			l.register(w)
		}
	} else {
		time.Sleep(copyAge + awayFor)
	}
	time.Sleep(stabilityWindow)
	time.Sleep(2 * time.Second)
	l.line("until now drafts %s", traffic.take())
	l.nameWeights(3)
	return l.judgeWeights(3, time.Now(), 0, traffic)
}

// holders counts the accepted orders by holder.
func (l *lab) holders() string {
	counts := map[string]int{}
	for _, w := range l.workers {
		for _, order := range w.Orders() {
			counts[fmt.Sprint(order.Holder, " for weights ", order.Version)]++
		}
	}
	return fmt.Sprint(counts)
}

// drafts are callers that send drafts all the time, and what they got since the last look.
type drafts struct {
	lab    *lab
	ended  chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	counts map[string]int
}

// startDrafts starts one caller for each machine.
func (l *lab) startDrafts() *drafts {
	d := &drafts{lab: l, ended: make(chan struct{}), counts: map[string]int{}}
	for i, v := range l.vms {
		d.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-d.ended:
					return
				case <-time.After(250 * time.Millisecond):
				}
				id := fmt.Sprintf("draft-%d-%d", i, n)
				l.line("sent %s to %s", id, v.name)
				a := v.send(request{
					id: id, line: "POST /stream/draft/x", key: "key-kumasi", tokens: "100,20",
					prompt: fmt.Sprintf("a1:60,b%d%04x:40", i+1, n), deadline: 5 * time.Second, body: "prompt",
				})
				l.line("got %s from %s: %v", id, v.name, a)
				d.mu.Lock()
				d.counts[fmt.Sprint(a.status)]++
				d.mu.Unlock()
			}
		})
	}
	return d
}

// take returns the number of answers by status since the last call.
func (d *drafts) take() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	text := fmt.Sprint("by status ", d.counts)
	d.counts = map[string]int{}
	return text
}

func (d *drafts) stop() {
	close(d.ended)
	d.wg.Wait()
}
