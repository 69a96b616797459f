//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ownWorker is a stand-in of a model worker that can start again at its address and under its id.
type ownWorker struct {
	lab      *lab
	id, zone string
	address  string

	mu       sync.Mutex
	software string
	born     int64
	beats    int64
	server   *http.Server
	up       bool
}

// Streams of the workers, and the roll-out: workers are restarted one after the other, with the gap of the site's release.
const (
	streamEvents = 30
	eventPause   = 60 * time.Millisecond
	releaseGap   = time.Second
	downFor      = 600 * time.Millisecond
)

// addOwnWorker starts a worker with a version of its software. It registers when it starts and with each heartbeat.
func (l *lab) addOwnWorker(id, zone, software string) (*ownWorker, error) {
	w := &ownWorker{lab: l, id: id, zone: zone, software: software, address: "127.0.0.1:0"}
	if err := w.start(); err != nil {
		return nil, err
	}
	l.wg.Go(func() {
		for l.sleep(heartbeat) {
			w.register()
		}
		w.end()
	})
	return w, nil
}

// start begins a boot of the worker: it listens at its address and registers.
func (w *ownWorker) start() error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /corneldeal/report", func(out http.ResponseWriter, _ *http.Request) {
		out.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(out, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0}`)
	})
	mux.HandleFunc("GET /corneldeal/kv-events", func(out http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
		}
		out.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(out, `{"restart_epoch":1,"next":1,"lost":false,"events":[]}`)
	})
	mux.HandleFunc("/", w.serve)
	w.mu.Lock()
	w.address = listener.Addr().String()
	w.born, w.beats, w.up = time.Now().UnixMilli(), 0, true
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.register()
	return nil
}

// end ends the boot: its channels close at once.
func (w *ownWorker) end() {
	w.mu.Lock()
	server := w.server
	w.up = false
	w.mu.Unlock()
	_ = server.Close()
}

// register writes the entry of the worker, if it is up.
func (w *ownWorker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.beats++
	w.lab.store.AppendJSON("keyed.servers", w.id, map[string]any{
		"service": "wordloom", "address": w.address, "zone": w.zone, "version": w.software, "slots": 128, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.beats, "born": w.born, "stage": "both",
		"models": []map[string]any{{"name": "m", "version": 1}},
	})
}

// restart ends the boot and begins another one with a version of the software.
func (w *ownWorker) restart(software string) error {
	w.lab.line("worker %s ends", w.id)
	w.end()
	time.Sleep(downFor)
	w.mu.Lock()
	w.software = software
	w.mu.Unlock()
	err := w.start()
	w.lab.line("worker %s starts again at %s with software %s, and registers", w.id, w.address, software)
	return err
}

// serve runs a request: a stream whose events tell the software that made them.
func (w *ownWorker) serve(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	software := w.software
	w.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	h := out.Header()
	h.Set("Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != w.id || r.Header.Get("Expect-Version") != "1" {
		h.Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.lab.line("run %s at %s, software %s, from event %d", id, w.id, software, first)
	h.Set("Response-Signature", "s."+w.id)
	h.Set("Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	flusher, _ := out.(http.Flusher)
	for i := first; i <= streamEvents; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: made by %s\n\n", i, software); err != nil {
			return
		}
		flusher.Flush()
	}
}

// versionsIn returns the number of events in a body that each version of the software made.
func versionsIn(body string) (old, new int) {
	return strings.Count(body, "made by r1\n"), strings.Count(body, "made by r2\n")
}

// rolloutCase restarts the model workers one after the other under their ids, with a newer version of their software.
func rolloutCase(l *lab, trouble bool) (bool, error) {
	if err := l.startSite(0, 3); err != nil {
		return false, err
	}
	var engines []*ownWorker
	for i := range 9 {
		w, err := l.addOwnWorker(fmt.Sprint("i-engine-", i), zones[i%len(zones)], "r1")
		if err != nil {
			return false, err
		}
		engines = append(engines, w)
	}
	time.Sleep(stabilityWindow)
	software := "r1"
	if trouble {
		software = "r2"
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	joined, ended := 0, map[string]int{}
	var callers sync.WaitGroup
	for i := range 84 {
		v := l.vms[i%len(l.vms)]
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("draft-%d-%d", i, n)
				q := request{id: id, line: "POST /stream/draft/x", key: "key-kumasi", tokens: "100,40",
					prompt: fmt.Sprintf("a1:60,b%d%04x:40", i+1, n), deadline: 15 * time.Second, body: "prompt"}
				l.line("sent %s to %s", id, v.name)
				a := v.send(q)
				body := a.body
				old, new := versionsIn(body)
				l.line("got %s from %s: %v; %d events of r1, %d of r2", id, v.name, a, old, new)
				if last := strings.Count(body, "\n\n"); a.status == http.StatusOK && !a.complete && last > 0 {
					// A requester takes a broken stream up once, on a new channel at another machine.
					next := l.vms[(i+1)%len(l.vms)]
					q.id += "-again"
					q.more = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, id)
					l.line("sent %s to %s, from event %d", q.id, next.name, last+1)
					a = next.send(q)
					body += a.body
					old, new = versionsIn(body)
					l.line("got %s from %s: %v; %d events of r1, %d of r2 over both tries", q.id, next.name, a, old, new)
				}
				mu.Lock()
				ended[fmt.Sprint(a.status, " complete ", a.complete)]++
				if old > 0 && new > 0 {
					joined++
					l.line("%s holds events of two software versions", id)
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, w := range engines {
		if err := w.restart(software); err != nil {
			return false, err
		}
		time.Sleep(releaseGap - downFor)
	}
	time.Sleep(3 * time.Second)
	cancel()
	callers.Wait()
	data, _ := json.Marshal(ended)
	l.line("answers: %s", data)
	l.line("%d streams hold events of two software versions (allowed: 2)", joined)
	return joined > 2, nil
}
