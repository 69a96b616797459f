package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/corneldeal/corneldeal/lab/deploy"
)

// attemptsAfterKill bounds how often a caller sends a request whose VM was killed.
const attemptsAfterKill = 3

// idleConnections keeps connections to each VM open between requests.
const idleConnections = 256

// newClient returns a client without a time limit; the context bounds each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}}
}

// balancer gives requests to VMs in turn, as the platform's balancer does, and skips killed ones.
type balancer struct {
	vms  []*deploy.VM
	next atomic.Uint64
}

func (b *balancer) pick() *deploy.VM {
	for range b.vms {
		v := b.vms[b.next.Add(1)%uint64(len(b.vms))]
		if !v.Killed() {
			return v
		}
	}
	return b.vms[0]
}

// viaRouter sends requests to the router as callers do.
type viaRouter struct {
	client *http.Client
	vms    *balancer
	// keys holds the key of each workspace.
	keys map[string]string
}

func (s *viaRouter) header(a *Arrival) http.Header {
	h := http.Header{}
	h.Set("Authorization", "Bearer "+s.keys[a.Workspace])
	h.Set("Content-Type", "application/json")
	if a.Booking != "" {
		h.Set("Idempotency-Key", a.Booking)
	}
	return h
}

// send implements sender. A request whose VM was killed is sent again, as callers do.
func (s *viaRouter) send(ctx context.Context, start time.Time, a *Arrival) Outcome {
	o := Outcome{Arrival: a, Sent: time.Since(start)}
	for range attemptsAfterKill {
		vm := s.vms.pick()
		s.attempt(ctx, start, vm, &o)
		if o.End != Broken || !vm.Killed() {
			break
		}
		o.Resent = true
		o.End = Lost
	}
	o.Done = time.Since(start)
	return o
}

func (s *viaRouter) attempt(ctx context.Context, start time.Time, vm *deploy.VM, o *Outcome) {
	if !o.Arrival.chat() {
		s.call(ctx, vm, o)
		return
	}
	got := &answer{}
	err := stream(ctx, s.client, "http://"+vm.Caller+"/v1/chat/completions", s.header(o.Arrival), o.Arrival.body().json(), got, nil)
	if err == nil {
		err = got.check(o.Arrival.Messages, o.Arrival.MaxTokens)
	}
	o.take(got, err, start)
}

// take sets the outcome of one attempt.
func (o *Outcome) take(got *answer, err error, start time.Time) {
	if !got.first.IsZero() && o.First == 0 {
		o.First = got.first.Sub(start)
	}
	o.Gaps = got.gaps
	o.Cached = got.cached
	o.End = Complete
	o.Fault = ""
	var ref *refusedError
	switch {
	case errors.As(err, &ref):
		o.End = Refused
		o.Status = ref.status
		o.Code = ref.code
		o.RunState = ref.runState
	case err != nil:
		o.End = Broken
		o.Fault = err.Error()
	}
}

// call sends a lookup or a booking.
func (s *viaRouter) call(ctx context.Context, vm *deploy.VM, o *Outcome) {
	method, path, body := http.MethodGet, o.Arrival.Lookup, ""
	if o.Arrival.Booking != "" {
		method, path, body = http.MethodPost, "book", o.Arrival.Booking
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Caller+ServicePrefix+"/"+path, strings.NewReader(body))
	if err != nil {
		o.take(&answer{}, err, time.Time{})
		return
	}
	req.Header = s.header(o.Arrival)
	resp, err := s.client.Do(req)
	if err != nil {
		o.take(&answer{}, err, time.Time{})
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		o.take(&answer{}, readRefusal(resp), time.Time{})
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	o.take(&answer{}, err, time.Time{})
}
