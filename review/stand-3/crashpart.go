//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// badPart is the part that crashes workers.
const badPart = "bad0bad0"

// playCrashPart: all gateways are killed at the same moment, again and again. Between two kills come two requests with a part that
// crashes workers, sent when all gateways are in touch. After the fifth crash the part must be refused.
func playCrashPart(rec *record, trouble bool) (broken bool, err error) {
	const (
		cycles   = 5
		cycle    = 8 * time.Second
		down     = time.Second
		inTouch  = 3 * time.Second
		restarts = 2 * time.Second
	)
	s, err := newSystem(rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	write := streamEvents(20, 20*time.Millisecond)
	serve := func(w *worker, rw http.ResponseWriter, r *http.Request) {
		parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
		for _, part := range parts[:len(parts)-1] {
			if !strings.HasPrefix(part, badPart+":") {
				continue
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			arrivals = append(arrivals, time.Now())
			rec.printf("%s runs %s and crashes: crash %d", w.id, r.Header.Get("Attempt-Id"), len(crashes))
			mu.Unlock()
			go func() {
				w.crash()
				time.Sleep(restarts)
				if err := w.start(); err != nil {
					rec.printf("%s does not start: %v", w.id, err)
					return
				}
				w.report()
				go w.reportRegularly(w.stop)
			}()
			<-r.Context().Done()
			return
		}
		write(w, rw, r)
	}
	for i := range 6 {
		if _, err := s.newWorker(fmt.Sprint("i-", i), "wordloom", "v1", serve); err != nil {
			return false, err
		}
	}
	if err := s.startGateways(3); err != nil {
		return false, err
	}
	// restarted is when the gateways were last started.
	restarted := time.Now()
	send := func(n int, chain string) {
		id := fmt.Sprint("request-", n)
		g := s.gateways[n%len(s.gateways)]
		req, _ := http.NewRequest(http.MethodPost, "http://"+g.caller+"/check/1", strings.NewReader("body of "+id))
		req.Host = "h.example"
		for name, value := range map[string]string{
			"Attempt-Id": id, "Key": "key-guild", "Model": "m", "Token-Counts": "640,20", "Deadline-Milliseconds": "5000",
			"Prompt-Prefix": fmt.Sprintf("c0ffee:300,%s%x:140", chain, n),
		} {
			req.Header.Set(name, value)
		}
		status, events := 0, 0
		if resp, err := newClient().Do(req); err == nil {
			body, _ := io.ReadAll(resp.Body)
			status, events = resp.StatusCode, strings.Count(string(body), "id: ")
			_ = resp.Body.Close()
		}
		if chain != "" {
			rec.printf("%s, with the part, at %s: status %d, %d events", id, g.name, status, events)
		}
	}
	var wg sync.WaitGroup
	end := time.Now().Add(cycles * cycle)
	wg.Go(func() {
		// Sound requests share the caller and the first part.
		for n := 1000; time.Now().Before(end); n++ {
			wg.Go(func() { send(n, "") })
			time.Sleep(80 * time.Millisecond)
		}
	})
	var late []time.Time
	for n := range cycles {
		begin := time.Now()
		if n > 0 {
			begin = restarted
		}
		for i, after := range []time.Duration{4 * time.Second, 6 * time.Second} {
			time.Sleep(time.Until(begin.Add(after)))
			rec.printf("the gateways have run for %.1f s", time.Since(restarted).Seconds())
			mu.Lock()
			before := len(arrivals)
			mu.Unlock()
			send(2*n+i, badPart+":100,")
			mu.Lock()
			if len(crashes) > 5 && len(arrivals) > before && time.Since(restarted) > inTouch && arrivals[before].Sub(crashes[4]) > inTouch {
				late = append(late, arrivals[before])
			}
			mu.Unlock()
		}
		if !trouble || n == cycles-1 {
			time.Sleep(time.Until(begin.Add(cycle)))
			continue
		}
		time.Sleep(time.Until(begin.Add(cycle - down)))
		rec.printf("all gateways are killed")
		for _, g := range s.gateways {
			_ = g.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, g := range s.gateways {
			<-g.exited
		}
		time.Sleep(down)
		for _, g := range s.gateways {
			if err := g.start(); err != nil {
				return false, err
			}
		}
		restarted = time.Now()
	}
	wg.Wait()
	rec.printf("%d requests with the part reached workers later than 3 s after the fifth crash, sent by gateways in touch; more than three "+
		"break the rule; %d crashes in all", len(late), len(crashes))
	return len(late) > 3, nil
}
