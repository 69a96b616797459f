//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["upgrade"] = upgrade }

const (
	// upgradeWorkers is the number of workers, and upgradeRestarts that of those that start again at once: 4 of 14, within a share
	// of 0.3. There are upgradeRounds such restarts, upgradeGap apart.
	upgradeWorkers, upgradeRestarts, upgradeRounds = 14, 4, 2
	upgradeGap                                     = 8 * time.Second
	// upgradeDown is the time from the end of a worker's process to its next start, and resumePause that after which a requester
	// takes up a stream that broke off.
	upgradeDown, resumePause = 100 * time.Millisecond, 150 * time.Millisecond
	// streamsPerSecond is the rate of new streams at all machines together.
	streamsPerSecond = 60
)

// follow sends a request for a stream, and takes the stream up again at another machine if it breaks off. It returns the events
// that came.
func follow(q *requesters, s *system, n int) (events string, tries int) {
	x := request{
		kind: "draft", method: "POST", target: fmt.Sprint("/stream/draft/", n), key: "key-1", tokens: "100,20",
		prompt: fmt.Sprintf("a1:50,b%x:30,%x:20", n%24, 0x100000+n), body: fmt.Sprint("prompt ", n), deadline: 8 * time.Second,
	}
	a := q.send(s.gateways[n%len(s.gateways)], x)
	first := a.id
	for tries = 1; ; tries++ {
		if end := strings.LastIndex(a.body, "\n\n"); a.status == 200 && end >= 0 {
			events += a.body[:end+2]
		}
		if a.status == 200 && a.complete || events == "" || tries > 1 {
			return events, tries
		}
		time.Sleep(resumePause)
		x.extra = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", strings.Count(events, "\n\n"), first)
		a = q.send(s.gateways[(n+tries)%len(s.gateways)], x)
	}
}

// upgrade restarts some workers in place, under their ids, with other software.
func upgrade(r *record) (bool, error) {
	s, err := newSystem(r, largeConfig())
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.newFleet("llm")
	defer f.close()
	const events, pause = 40, 100 * time.Millisecond
	for i := range upgradeWorkers {
		if _, err := f.add(fmt.Sprint("i-", i+1), "v1", "127.0.0.1:0", events, pause); err != nil {
			return false, err
		}
	}
	if err := s.startGateways(smallSite); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	q := &requesters{s: s}
	began := time.Now().Add(500 * time.Millisecond)
	end := began.Add((upgradeRounds+1)*upgradeGap - time.Second)
	if s.trouble {
		for round := range upgradeRounds {
			time.AfterFunc(time.Until(began.Add(time.Duration(round+1)*upgradeGap)), func() {
				for i := range upgradeRestarts {
					e := f.stop(fmt.Sprint("i-", round*upgradeRestarts+i+1))
					time.AfterFunc(upgradeDown, func() {
						if _, err := f.add(e.id, "v2", e.address, events, pause); err != nil {
							r.event("worker %s did not start: %v", e.id, err)
						}
					})
				}
			})
		}
	}
	type result struct {
		n      int
		events string
		tries  int
	}
	results := make(chan result, 10_000)
	every(began, end, time.Second/streamsPerSecond, func(n int) {
		q.sending.Go(func() {
			events, tries := follow(q, s, n)
			results <- result{n, events, tries}
		})
	})
	q.sending.Wait()
	close(results)
	streams, resumed, mixed := 0, 0, 0
	for x := range results {
		streams++
		resumed += min(x.tries-1, 1)
		if strings.Contains(x.events, "data: v1 ") && strings.Contains(x.events, "data: v2 ") {
			mixed++
			r.event("stream %d holds events of both versions:\n%s", x.n, x.events)
		}
	}
	text := fmt.Sprintf("ORDER: of %d streams, %d taken up again by their requesters, %d hold events of workers of two software versions (allowed 2)",
		streams, resumed, mixed)
	r.event("%s", text)
	fmt.Println(text)
	return mixed > 2, nil
}
