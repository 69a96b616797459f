//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { cases["suspects"] = suspects }

// suspects sends sound requests that share their caller and their first part with requests that crash workers.
func suspects(r *record) (bool, error) {
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
	const machines = 3
	if err := s.startGateways(machines); err != nil {
		return false, err
	}
	q := &requesters{s: s}
	began := time.Now().Add(500 * time.Millisecond)
	end := began.Add(87 * time.Second)
	badFrom := began.Add(23600 * time.Millisecond)
	// Other callers' prompts, which begin with another part.
	q.sending.Go(func() {
		every(began, end, 100*time.Millisecond, func(n int) {
			q.goSend(s.gateways[n%machines], chat("other", fmt.Sprintf("c2:50,d%x:30,%x:20", n%24, 0x100000+n), n))
		})
	})
	q.sending.Go(func() {
		every(badFrom, end, 600*time.Millisecond, func(n int) {
			q.goSend(s.gateways[n%machines], chat("bad", fmt.Sprintf("a1:50,dead:30,%x:20", 0x200000+n), n))
		})
	})
	// Six sound requests at once, every 7 s.
	every(began, end, 7*time.Second, func(n int) {
		for i := range 6 {
			k := 6*n + i
			q.goSend(s.gateways[k%machines], chat("sound", fmt.Sprintf("a1:50,b%x:30,%x:20", k%7, 0x300000+k), k))
		}
	})
	q.sending.Wait()
	crashes := p.crashTimes()
	last := badFrom
	if len(crashes) > 0 {
		last = crashes[min(len(crashes), 5)-1]
	}
	share := func(from, to time.Time) (float64, int) {
		began, count := 0, 0
		for _, a := range q.list() {
			if a.kind != "sound" || a.sent.Before(from) || !a.sent.Before(to) {
				continue
			}
			count++
			if a.status == 200 {
				began++
			}
		}
		return float64(began) / float64(max(count, 1)), count
	}
	before, countBefore := share(began, badFrom)
	after, countAfter := share(last.Add(2*stabilityWindow), end)
	isBroken := countBefore >= 20 && countAfter >= 20 && after < before/2
	text := fmt.Sprintf("LOST: %d crashes in %.1f s; sound requests that began at the first attempt: %.2f of %d before the part came, %.2f of %d from %v after the fifth crash (or the last, if fewer) on",
		len(crashes), last.Sub(badFrom).Seconds(), before, countBefore, after, countAfter, 2*stabilityWindow)
	r.event("%s", text)
	fmt.Println(text)
	return isBroken, nil
}
