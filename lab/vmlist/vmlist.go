// Package vmlist is the stand-in of the platform's lagging list of VMs.
package vmlist

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// VM is one entry of the list.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	CallerAddr string `json:"caller_addr"`
	PeerAddr   string `json:"peer_addr"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// List is the answer of GET /v1/vms and the body of POST /v1/vms.
type List struct {
	// AsOf is the time at which the list held, in RFC 3339 form with nanoseconds, UTC.
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// Options configure the stand-in.
type Options struct {
	// Listen is IP:port. Default 127.0.0.1:0.
	Listen string
	// Lag is the age of the answers. The first list that was set is served at once.
	Lag time.Duration
	// VMs is the first list.
	VMs []VM
}

// Faults are the switches of the VM list.
type Faults struct {
	// Down answers 503 at once.
	Down bool `json:"down"`
	// Freeze gives no answer; connections close when the switch is reset.
	Freeze bool `json:"freeze"`
	// LagMs replaces the lag when it is above zero, in milliseconds.
	LagMs int64 `json:"lag_ms"`
}

// Service is the VM list.
type Service struct {
	opt Options
	standin.Host[Faults]

	mu sync.Mutex
	// history holds lists by the time they were set, oldest first, never empty.
	history []List
}

// New returns a service that does not listen yet.
func New(opt Options) *Service {
	return &Service{
		opt:     opt,
		history: []List{{VMs: opt.VMs}},
	}
}

// Start listens and serves.
func (s *Service) Start() error {
	return s.Listen(s.opt.Listen, s.handle)
}

// Set replaces the list. Readers see it after the lag.
func (s *Service) Set(vms []VM) {
	s.set(vms, time.Now())
}

func (s *Service) set(vms []VM, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := List{AsOf: now, VMs: vms}
	if len(s.history) == 1 && len(s.history[0].VMs) == 0 {
		s.history[0] = next
		return
	}
	s.history = append(s.history, next)
}

// at returns the list that held lag ago.
func (s *Service) at(now time.Time, lag time.Duration) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := now.Add(-lag)
	newest := 0
	for i, l := range s.history {
		if !l.AsOf.After(asOf) {
			newest = i
		}
	}
	out := List{AsOf: asOf.UTC(), VMs: s.history[newest].VMs}
	if out.VMs == nil {
		out.VMs = []VM{}
	}
	return out
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok")
	case "/faults":
		s.Switches.Serve(ctx)
	case "/v1/vms":
		s.handleVMs(ctx)
	default:
		standin.Refuse(ctx, fasthttp.StatusNotFound, "not_found", "no such path")
	}
}

func (s *Service) handleVMs(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var l List
		if err := json.Unmarshal(ctx.PostBody(), &l); err != nil {
			standin.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
			return
		}
		s.Set(l.VMs)
		standin.Answer(ctx, fasthttp.StatusOK, l)
		return
	}
	f := s.Switches.Get()
	switch {
	case f.Freeze:
		s.Switches.Until(s.Stopped, func(now Faults) bool { return now.Freeze })
		standin.CloseUnanswered(ctx)
	case f.Down:
		standin.Refuse(ctx, fasthttp.StatusServiceUnavailable, "unavailable", "the VM list is down")
	default:
		lag := s.opt.Lag
		if f.LagMs > 0 {
			lag = standin.Millis(f.LagMs)
		}
		standin.Answer(ctx, fasthttp.StatusOK, s.at(time.Now(), lag))
	}
}
