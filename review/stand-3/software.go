//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// playSoftware: during an outage of the store a worker crashes and starts again under its id with a newer software version; after
// the outage, before its entry is back, another worker crashes. The requesters' streams must not go on at the newer version.
func playSoftware(rec *record, trouble bool) (broken bool, err error) {
	const outage = 4500 * time.Millisecond
	s, err := newSystem(rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	workers := map[string]*worker{}
	for id, software := range map[string]string{"i-one": "v1", "i-two": "v1", "i-three": "v2"} {
		w, err := s.newWorker(id, "wordloom", software, streamEvents(100, 110*time.Millisecond))
		if err != nil {
			return false, err
		}
		workers[id] = w
	}
	if err := s.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	one, two := workers["i-one"], workers["i-two"]
	var wg sync.WaitGroup
	var mu sync.Mutex
	var streams []*stream
	begin := func(count int, name string) {
		for i := range count {
			st := &stream{id: fmt.Sprint(name, "-", i)}
			mu.Lock()
			streams = append(streams, st)
			mu.Unlock()
			wg.Go(func() { s.follow(st, i) })
			time.Sleep(25 * time.Millisecond)
		}
	}
	begin(24, "before")
	time.Sleep(500 * time.Millisecond)

	zero := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(zero.Add(d))) }
	if trouble {
		rec.printf("the store is down (busy) for %v", outage)
		s.store.SetDown(true)
		for _, w := range workers {
			w.setSilent(true)
		}
	}
	at(200 * time.Millisecond)
	rec.printf("i-one crashes")
	one.crash()
	at(850 * time.Millisecond)
	one.software = "v2"
	if err := one.start(); err != nil {
		return false, err
	}
	rec.printf("i-one has started again under its id, with software v2")
	one.report()
	// Its reports come every heartbeat from here on: the first after the outage at 5.65 s.
	go one.reportRegularly(one.stop)
	at(2 * time.Second)
	begin(12, "during")
	at(outage)
	if trouble {
		s.store.SetDown(false)
		for _, w := range workers {
			w.setSilent(false)
		}
		rec.printf("the store is back")
	}
	at(5350 * time.Millisecond)
	rec.printf("i-two crashes")
	two.crash()
	wg.Wait()

	return rec.judgeSoftware(streams), nil
}

// follow reads a stream, and takes it up once again at another gateway if its channel ends early.
func (s *system) follow(st *stream, number int) {
	c := newClient()
	ends := time.Now().Add(15 * time.Second)
	for try := range 2 {
		g := s.gateways[(number+try)%len(s.gateways)]
		attempt := fmt.Sprint(st.id, "-try-", try+1)
		left := time.Until(ends)
		if left <= 0 {
			return
		}
		err := st.read(c, g.caller, attempt, left)
		s.rec.printf("%s at %s: status %d, %d events so far, complete %v, %v", attempt, g.name, st.status, st.events, st.complete, err)
		if st.complete {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}
