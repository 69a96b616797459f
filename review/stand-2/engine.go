//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is one start of a model worker. Its events name the version of its software. It does what the pages say of a sound
// worker: it runs no request for another instance or another version of the weights, and drops a run when its channel closes.
type engine struct {
	id, software, address string
	born                  int64
	events                int
	pause                 time.Duration
	record                *record

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	beats    int64
	// refuse, if not nil, returns the lines of a head that turns a request away, or an empty text.
	refuse func(id string) string
	// arrivals are the requests that were meant for this worker.
	arrivals []arrival
}

// arrival is a request that reached a worker.
type arrival struct {
	id string
	at time.Time
	// ran is set if the worker ran it.
	ran bool
}

// startEngine starts a worker.
func startEngine(r *record, id, software, address string, events int, pause time.Duration) (*engine, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, software: software, address: l.Addr().String(), born: time.Now().UnixMilli(), events: events, pause: pause,
		record: r, listener: l, conns: map[net.Conn]bool{},
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			if e.closed {
				_ = c.Close()
			}
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return e, nil
}

// registration is the worker's entry in the store.
func (e *engine) registration(service, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	return map[string]any{
		"service": service, "address": e.address, "zone": "z", "version": e.software, "slots": 128, "state": state,
		"cold_remaining_ms": 0, "sequence": e.beats, "born": e.born, "stage": "both",
		"models": []map[string]any{{"name": "m", "version": 1}},
	}
}

// stop ends the worker's process.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
}

// serve answers the requests on a channel one after the other.
func (e *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := make([]byte, max(req.ContentLength, 0))
		for n := 0; n < len(body); {
			k, err := req.Body.Read(body[n:])
			n += k
			if err != nil && n < len(body) {
				return
			}
		}
		if e.answer(c, req) != nil {
			return
		}
	}
}

var errBroken = errors.New("the channel is broken")

// answer answers one request.
func (e *engine) answer(c net.Conn, req *http.Request) error {
	switch req.URL.Path {
	case "/corneldeal/report":
		return whole(c, 200, "Content-Type: application/json\r\n", `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0}`)
	case "/corneldeal/kv-events":
		time.Sleep(time.Second)
		return whole(c, 200, "Content-Type: application/json\r\n", fmt.Sprintf(`{"restart_epoch":%d,"next":1,"lost":false,"events":[]}`, e.born))
	}
	id := req.Header.Get("Attempt-Id")
	if expected := req.Header.Get("Expect-Instance"); expected != e.id {
		return whole(c, 421, "Attempt-Id: "+id+"\r\nInstance-Id: "+e.id+"\r\n", "")
	}
	if version := req.Header.Get("Expect-Version"); version != "" && version != "1" {
		return whole(c, 421, "Attempt-Id: "+id+"\r\nInstance-Id: "+e.id+"\r\n", "")
	}
	x := arrival{id: id, at: time.Now()}
	refusal := ""
	if e.refuse != nil {
		refusal = e.refuse(id)
	}
	x.ran = refusal == ""
	e.mu.Lock()
	e.arrivals = append(e.arrivals, x)
	e.mu.Unlock()
	if refusal != "" {
		e.record.event("%s turns %s away: %q", e.id, id, refusal)
		return whole(c, 503, "Not-Executed: 1\r\nAttempt-Id: "+id+"\r\n"+refusal, "")
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	e.record.event("%s (software %s, born %d) runs %s from event %d on", e.id, e.software, e.born, id, last+1)
	return e.stream(c, id, last)
}

// stream writes the events after the last one that the requester has.
func (e *engine) stream(c net.Conn, id string, last int) error {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nWeight-Versions: 1\r\n" +
		"Attempt-Id: " + id + "\r\nResponse-Signature: s." + e.id + "\r\n\r\n"
	if _, err := c.Write([]byte(head)); err != nil {
		return errBroken
	}
	for i := last + 1; i <= e.events; i++ {
		time.Sleep(e.pause)
		event := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, e.software, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return errBroken
		}
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err
}

// whole writes an answer that is no stream.
func whole(c net.Conn, status int, headers, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), headers, body)
	return err
}

// fleet is the workers of a service, which write their entries again and again.
type fleet struct {
	s       *system
	service string

	mu      sync.Mutex
	running map[string]*engine
	silent  map[string]bool
	closed  bool
}

// newFleet returns a service without workers.
func (s *system) newFleet(service string) *fleet {
	f := &fleet{s: s, service: service, running: map[string]*engine{}, silent: map[string]bool{}}
	go func() {
		for {
			time.Sleep(heartbeat)
			f.mu.Lock()
			if f.closed {
				f.mu.Unlock()
				return
			}
			for id, e := range f.running {
				if !f.silent[id] {
					f.write(e)
				}
			}
			f.mu.Unlock()
		}
	}()
	return f
}

// write writes a worker's entry. The caller holds the lock.
func (f *fleet) write(e *engine) {
	data, err := json.Marshal(e.registration(f.service, "ready"))
	if err != nil {
		panic(err)
	}
	f.s.store.Append("keyed.servers", e.id, data)
}

// add starts and registers a worker.
func (f *fleet) add(id, software, address string, events int, pause time.Duration) (*engine, error) {
	e, err := startEngine(f.s.record, id, software, address, events, pause)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[id] = e
	f.write(e)
	f.s.record.event("worker %s starts at %s with software %s, born %d", id, e.address, software, e.born)
	return e, nil
}

// stop ends a worker's process. Its entry stays until it is silent for three heartbeats, or it starts again.
func (f *fleet) stop(id string) *engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.running[id]
	delete(f.running, id)
	f.s.record.event("worker %s of software %s ends", id, e.software)
	e.stop()
	return e
}

// setSilent cuts a worker from the store, or ends that.
func (f *fleet) setSilent(id string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[id] = silent
	if !silent {
		f.write(f.running[id])
	}
	f.s.record.event("worker %s is cut from the store: %t", id, silent)
}

// remove removes the entry of a worker that has been silent.
func (f *fleet) remove(id string) {
	f.s.store.Append("keyed.servers", id, nil)
	f.s.record.event("the store removes the entry of %s", id)
}

// close ends all workers.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, e := range f.running {
		e.stop()
	}
}
