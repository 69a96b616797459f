//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a worker. It may end and start again under its id and at its address.
type worker struct {
	sys         *system
	id, service string
	zone        string
	// serve answers a request that this worker accepts.
	serve func(w *worker, rw http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	address  string
	software string
	born     int64
	sequence int64
	server   *http.Server
	// silent is set while the worker's reports don't reach the store.
	silent bool
	stop   chan struct{}
	runs   int
	// streams is the number of streams that the worker writes now.
	streams atomic.Int64
}

// newWorker starts a worker that reports to the store every heartbeat.
func (s *system) newWorker(id, service, software string, serve func(*worker, http.ResponseWriter, *http.Request)) (*worker, error) {
	w := &worker{sys: s, id: id, service: service, zone: "accra-a", software: software, serve: serve}
	if err := w.start(); err != nil {
		return nil, err
	}
	w.report()
	go w.reportRegularly(w.stop)
	return w, nil
}

// start starts a process of the worker, at its former address if it had one.
func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.born = time.Now().UnixMilli()
	w.sequence = 0
	w.stop = make(chan struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	server := w.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the process: its address refuses connections and its channels end.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.stop)
	_ = w.server.Close()
}

// reportRegularly reports to the store until the process ends.
func (w *worker) reportRegularly(stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.report()
		}
	}
}

// report writes the worker's entry, unless the store doesn't take it now.
func (w *worker) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return
	}
	w.sequence++
	w.sys.rec.printf("%s reports: software %s, born %d, sequence %d", w.id, w.software, w.born, w.sequence)
	w.sys.store.AppendJSON("keyed.servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.software, "slots": w.slots(), "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born, "stage": "both",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

// slots returns the number of requests that the worker runs at the same time.
func (w *worker) slots() int {
	if w.service == "orderbook" {
		return 6
	}
	return 128
}

// setSilent sets whether the worker's reports don't reach the store.
func (w *worker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// handle answers the calls and requests of the gateways.
func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/corneldeal/report":
		w.mu.Lock()
		born := w.born
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(rw, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,`+
			`"running":0,"kv_cache_used":0,"kv_cache_total":145812,"handles":0,"born":%d}`, born)
		return
	case "/corneldeal/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		rw.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(rw, `{"restart_epoch":1,"next":1,"lost":false,"events":[]}`)
		return
	case "/health":
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	if r.Header.Get("Attempt-Id") == "" {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rw.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	version := r.Header.Get("Expect-Version")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id || version != "" && version != "1" {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.serve(w, rw, r)
}

// sign sets the headers of an answer that the worker made.
func (w *worker) sign(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
	rw.Header().Set("Response-Signature", fmt.Sprintf("%s.%d", w.id, w.runs))
}

// streamEvents returns a function that answers with a stream of events, each of which tells the worker's software version.
func streamEvents(count int, pause time.Duration) func(*worker, http.ResponseWriter, *http.Request) {
	return func(w *worker, rw http.ResponseWriter, r *http.Request) {
		w.streams.Add(1)
		defer w.streams.Add(-1)
		_, _ = io.Copy(io.Discard, r.Body)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.mu.Lock()
		software := w.software
		w.mu.Unlock()
		w.sys.rec.printf("%s (software %s) runs %s from event %d on", w.id, software, r.Header.Get("Attempt-Id"), last+1)
		w.sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set("Weight-Versions", "1")
		for i := last + 1; i <= count; i++ {
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s %s\n\n", i, software, strings.Repeat(".", 80)); err != nil {
				return
			}
			if err := http.NewResponseController(rw).Flush(); err != nil {
				return
			}
		}
	}
}
