//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// slowPiece bytes are read every slowPause by a requester that reads slowly.
	slowPiece = 64
	slowPause = 50 * time.Millisecond
	// slowBuffer is the size of its receive buffer in bytes, so that the rest waits at the gateway.
	slowBuffer = 2048
)

// errReset is what a requester sees when its channel is reset.
var errReset = errors.New("channel reset")

// slowChannel is the channel of a requester that reads slowly, which the link may reset.
type slowChannel struct {
	net.Conn
	mu    sync.Mutex
	reset bool
}

// Read implements net.Conn.
func (c *slowChannel) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	c.mu.Lock()
	reset := c.reset
	c.mu.Unlock()
	if reset {
		return 0, errReset
	}
	return c.Conn.Read(p[:min(len(p), slowPiece)])
}

// resetNow resets the channel at both ends. What is on the way is lost.
func (c *slowChannel) resetNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = true
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Conn.Close()
}

// dialSlow opens a channel with a small receive buffer.
func dialSlow(ctx context.Context, address string) (*slowChannel, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		})
		return errors.Join(err, failed)
	}}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &slowChannel{Conn: c}, nil
}

// playSlowReader: requesters read their streams slowly. Half of the channels of one gateway are reset 13 s after the begin, and their
// requesters take the streams up again at another gateway. They must not go on at another software version.
func playSlowReader(rec *record, trouble bool) (broken bool, err error) {
	const (
		slow    = 40
		resetAt = 13 * time.Second
	)
	s, err := newSystem(rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	for i, software := range []string{"v1", "v1", "v1", "v2", "v2", "v2"} {
		if _, err := s.newWorker(fmt.Sprint("i-", i), "wordloom", software, streamEvents(160, 8*time.Millisecond)); err != nil {
			return false, err
		}
	}
	if _, err := s.newWorker("i-b", "wordloom-b", "v1", streamEvents(160, 8*time.Millisecond)); err != nil {
		return false, err
	}
	if err := s.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	zero := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var streams []*stream
	channels := make([]*slowChannel, slow)
	for i := range slow {
		st := &stream{id: fmt.Sprint("slow-", i)}
		streams = append(streams, st)
		c := &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				channel, err := dialSlow(ctx, address)
				if err != nil {
					return nil, err
				}
				mu.Lock()
				defer mu.Unlock()
				channels[i] = channel
				return channel, nil
			},
		}}
		wg.Go(func() { s.followSlowly(st, c, zero.Add(15*time.Second)) })
	}
	// Other requesters begin streams at all gateways meanwhile, on a route that is split between two services.
	for n := 0; time.Since(zero) < resetAt; n++ {
		st := &stream{id: fmt.Sprint("usual-", n), split: true}
		mu.Lock()
		streams = append(streams, st)
		mu.Unlock()
		wg.Go(func() { s.follow(st, n) })
		time.Sleep(40 * time.Millisecond)
	}
	if trouble {
		rec.printf("every second channel of %s is reset", s.gateways[0].name)
		mu.Lock()
		for i, c := range channels {
			if c != nil && i%2 == 0 {
				c.resetNow()
			}
		}
		mu.Unlock()
	}
	wg.Wait()
	return rec.judgeSoftware(streams), nil
}

// followSlowly reads a stream slowly at the first gateway, and takes it up once again at the second one if its channel is reset.
func (s *system) followSlowly(st *stream, slow *http.Client, ends time.Time) {
	for try := range 2 {
		c, g := slow, s.gateways[0]
		if try > 0 {
			c, g = newClient(), s.gateways[1]
		}
		attempt := fmt.Sprint(st.id, "-try-", try+1)
		err := st.read(c, g.caller, attempt, time.Until(ends))
		s.rec.printf("%s at %s: status %d, %d events so far, complete %v, %v", attempt, g.name, st.status, st.events, st.complete, err)
		if st.complete || time.Now().After(ends) {
			return
		}
	}
}

// judgeSoftware records what the requesters have, and reports whether more than two streams hold events of two software versions.
func (r *record) judgeSoftware(streams []*stream) (broken bool) {
	joined := 0
	for _, st := range streams {
		r.printf("%s: %d events, last %s, software %s, complete %v, last status %d", st.id, st.events, st.lastEvent,
			strings.Join(st.software, " then "), st.complete, st.status)
		if len(slices.Compact(slices.Sorted(slices.Values(st.software)))) > 1 {
			joined++
		}
	}
	r.printf("%d of %d streams hold events of two software versions; more than two break the rule", joined, len(streams))
	return joined > 2
}
