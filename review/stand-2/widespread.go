//go:build review2

package main

import (
	"fmt"
	"time"

	"github.com/corneldeal/corneldeal/platform/standin"
)

func init() { cases["widespread"] = widespread }

// chat is a request for a stream with a prompt.
func chat(kind, prompt string, n int) request {
	return request{
		kind: kind, method: "POST", target: fmt.Sprint("/stream/chat/", n), key: "key-1", prompt: prompt, tokens: "100,20",
		body: fmt.Sprint("prompt ", n), deadline: 5 * time.Second,
	}
}

// every calls f at a steady rate from a time until another.
func every(from, to time.Time, interval time.Duration, f func(n int)) {
	time.Sleep(time.Until(from))
	for n := 0; time.Now().Before(to); n++ {
		f(n)
		time.Sleep(time.Until(from.Add(time.Duration(n+1) * interval)))
	}
}

// startCrashing starts engines of which each crashes that begins to write an answer on the part "dead", if there is trouble.
func (s *system) startCrashing(count int) (*pool, error) {
	var crash *standin.Crash
	if s.trouble {
		crash = &standin.Crash{Part: "dead"}
	}
	return s.startPool("llm", count, 3*time.Second, crash, func(e *standin.Endpoint) { e.SetStream(5, 20*time.Millisecond) })
}

// widespread sends most requests with the part to a machine that gets few others.
func widespread(r *record) (bool, error) {
	s, err := newSystem(r, largeConfig())
	if err != nil {
		return false, err
	}
	defer s.close()
	p, err := s.startCrashing(12)
	if err != nil {
		return false, err
	}
	defer p.close()
	if err := s.startGateways(3); err != nil {
		return false, err
	}
	q := &requesters{s: s}
	began := time.Now().Add(500 * time.Millisecond)
	end := began.Add(60 * time.Second)
	badFrom := began.Add(5 * time.Second)
	// Requests with the part come at all machines, one a second at each. Sound ones come at the other two, and seldom at the first.
	q.sending.Go(func() {
		every(began, end, 100*time.Millisecond, func(n int) {
			q.goSend(s.gateways[1+n%2], chat("sound", fmt.Sprintf("a1:50,b%x:30,%x:20", n%24, 0x100000+n), n))
		})
	})
	q.sending.Go(func() {
		every(badFrom, end, 333*time.Millisecond, func(n int) {
			q.goSend(s.gateways[n%3], chat("bad", fmt.Sprintf("a1:50,dead:30,%x:20", 0x200000+n), n))
		})
	})
	every(began, end, 8*time.Second, func(n int) {
		q.goSend(s.gateways[0], chat("sound", fmt.Sprintf("a1:50,b%x:30,%x:20", n%24, 0x300000+n), n))
	})
	q.sending.Wait()
	crashes := p.crashTimes()
	late := 0
	if len(crashes) >= 5 {
		for _, at := range crashes {
			if at.Sub(crashes[4]) > stabilityWindow {
				late++
			}
		}
	}
	cut := 0
	for _, a := range q.list() {
		if a.kind == "sound" && a.status == 200 && !a.complete {
			cut++
		}
	}
	text := fmt.Sprintf("BUDGET: %d crashes; %d requests with the part reached workers later than %v after the fifth (allowed 3); %d sound streams were cut",
		len(crashes), late, stabilityWindow, cut)
	r.event("%s", text)
	fmt.Println(text)
	return late > 3, nil
}
