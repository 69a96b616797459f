//go:build review2

package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["retryafter"] = retryAfter }

// retryAfter has a worker ask every machine to wait, and then be cut from the store for so long that its entry is removed.
func retryAfter(r *record) (bool, error) {
	s, err := newSystem(r, largeConfig())
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.newFleet("llm")
	defer f.close()
	var needy *engine
	for i := range 5 {
		e, err := f.add(fmt.Sprint("i-", i+1), "v1", "127.0.0.1:0", 10, 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		needy = e
	}
	const wait = 30 * time.Second
	var inNeed atomic.Bool
	needy.refuse = func(string) string {
		if inNeed.Load() {
			return fmt.Sprintf("Retry-After: %d\r\n", int(wait.Seconds()))
		}
		return ""
	}
	if err := s.startGateways(3); err != nil {
		return false, err
	}
	q := &requesters{s: s}
	began := time.Now().Add(500 * time.Millisecond)
	end := began.Add(34 * time.Second)
	// The worker turns requests away for two seconds, and asks all machines to wait.
	time.AfterFunc(time.Until(began.Add(3*time.Second)), func() { r.event("%s is in need", needy.id); inNeed.Store(true) })
	time.AfterFunc(time.Until(began.Add(5*time.Second)), func() { r.event("%s is no longer in need", needy.id); inNeed.Store(false) })
	if s.trouble {
		time.AfterFunc(time.Until(began.Add(6*time.Second)), func() {
			f.setSilent(needy.id, true)
			time.AfterFunc(registrationExpiry, func() { f.remove(needy.id) })
			time.AfterFunc(5*time.Second, func() { f.setSilent(needy.id, false) })
		})
	}
	every(began, end, 25*time.Millisecond, func(n int) {
		x := chat("chat", fmt.Sprintf("a%x:1200,b%x:2000,%x:300", n%8, n%380, 0x100000+n), n)
		x.tokens = "3500,20"
		q.goSend(s.gateways[n%3], x)
	})
	q.sending.Wait()
	machines := map[string]string{}
	for _, a := range q.list() {
		machines[a.id] = a.machine
	}
	askedAt, late := map[string]time.Time{}, map[string]int{}
	needy.mu.Lock()
	defer needy.mu.Unlock()
	for _, x := range needy.arrivals {
		machine := machines[x.id]
		asked, known := askedAt[machine]
		switch {
		case known && x.at.Sub(asked) > 500*time.Millisecond && x.at.Sub(asked) < wait:
			late[machine]++
		case !x.ran && !known:
			askedAt[machine] = x.at
		}
	}
	most := 0
	for _, n := range late {
		most = max(most, n)
	}
	text := fmt.Sprintf("BUDGET: %d machines were asked to wait %v; requests that reached the worker from 0.5 s later until the end of that time, by machine: %v (allowed 2)",
		len(askedAt), wait, late)
	r.event("%s", text)
	fmt.Println(text)
	return most > 2, nil
}
