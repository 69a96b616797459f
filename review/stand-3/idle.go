//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// idleDown is the time for which a worker is down that crashes.
	idleDown = 900 * time.Millisecond
	// idleGap is the time from the start of the first worker to the crash of the second one.
	idleGap = 100 * time.Millisecond
	// busyStreams is the least number of streams on the second worker that crashes.
	busyStreams = 10
)

// playIdle: a worker on which no stream runs crashes and starts again under its id with a newer software version. Right after that,
// a worker of the older version with many streams crashes. The streams must not go on at the newer version.
func playIdle(rec *record, trouble bool) (broken bool, err error) {
	s, err := newSystem(rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	var older []*worker
	for i, software := range []string{"v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2", "v2"} {
		w, err := s.newWorker(fmt.Sprint("i-", i), "wordloom", software, streamEvents(100, 60*time.Millisecond))
		if err != nil {
			return false, err
		}
		if software == "v1" {
			older = append(older, w)
		}
		// The reports of the workers are spread over the heartbeat.
		time.Sleep(heartbeat / 9)
	}
	if err := s.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	zero := time.Now()
	var wg sync.WaitGroup
	restarted := make(chan error, 1)
	wg.Go(func() {
		time.Sleep(6 * time.Second)
		restarted <- s.restartIdleAndBusy(older, trouble)
	})
	var streams []*stream
	for n := 0; time.Since(zero) < 10*time.Second; n++ {
		st := &stream{id: fmt.Sprint("s-", n)}
		streams = append(streams, st)
		wg.Go(func() { s.follow(st, n) })
		time.Sleep(time.Second / 15)
	}
	wg.Wait()
	if err := <-restarted; err != nil {
		return false, err
	}
	return rec.judgeSoftware(streams), nil
}

// restartIdleAndBusy lets a worker without streams and then the one with most streams crash and start again, with software v2 if
// trouble is set.
func (s *system) restartIdleAndBusy(older []*worker, trouble bool) error {
	var idle, busy *worker
	for began := time.Now(); idle == nil || busy == nil; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 3*time.Second {
			return fmt.Errorf("%w: no worker without streams, or none with many", errCannotRun)
		}
		idle, busy = idleAndBusy(older)
	}
	for _, w := range []*worker{idle, busy} {
		s.rec.printf("%s crashes with %d streams", w.id, w.streams.Load())
		w.crash()
		time.Sleep(idleDown)
		if trouble {
			w.mu.Lock()
			w.software = "v2"
			w.mu.Unlock()
		}
		if err := w.start(); err != nil {
			return err
		}
		s.rec.printf("%s has started again under its id, with software %s", w.id, w.software)
		w.report()
		go w.reportRegularly(w.stop)
		time.Sleep(idleGap)
	}
	return nil
}

// idleAndBusy returns a worker without streams, and the one with most streams if these are many.
func idleAndBusy(workers []*worker) (idle, busy *worker) {
	most := int64(busyStreams - 1)
	for _, w := range workers {
		n := w.streams.Load()
		if n == 0 {
			idle = w
		}
		if n > most {
			busy, most = w, n
		}
	}
	return idle, busy
}
