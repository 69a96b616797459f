// Package weightstore is the stand-in of the rate-limited weight store.
package weightstore

import (
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// DefaultLoadTime is the time of one load while at most two run.
const DefaultLoadTime = 2 * time.Second

// Options configure the stand-in.
type Options struct {
	// Listen is IP:port. Default 127.0.0.1:0.
	Listen string
	// LoadTime is the time of one load while at most two run. Default 2 s.
	LoadTime time.Duration
}

// Faults are the switches of the weight store.
type Faults struct {
	// Down answers 503 at once.
	Down bool `json:"down"`
	// Freeze gives no answer; connections close when the switch is reset.
	Freeze bool `json:"freeze"`
}

// Reply is the answer of a finished load.
type Reply struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Stats are counters since the start.
type Stats struct {
	Done    int64 `json:"done"`
	Loading int   `json:"loading"`
	MaxAt   int   `json:"max_at_once"`
}

// Store is the weight store.
type Store struct {
	opt Options
	standin.Host[Faults]
	shared *Bandwidth

	mu    sync.Mutex
	done  int64
	maxAt int
}

// New returns a store that does not listen yet.
func New(opt Options) *Store {
	if opt.LoadTime <= 0 {
		opt.LoadTime = DefaultLoadTime
	}
	return &Store{opt: opt, shared: NewBandwidth()}
}

// Start listens and serves.
func (s *Store) Start() error {
	return s.Listen(s.opt.Listen, s.handle)
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Done: s.done, Loading: s.shared.Loads(), MaxAt: s.maxAt}
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/healthz":
		ctx.SetBodyString("ok")
	case path == "/faults":
		s.Switches.Serve(ctx)
	case path == "/stats":
		standin.Answer(ctx, fasthttp.StatusOK, s.Stats())
	case strings.HasPrefix(path, "/v1/weights/"):
		s.fetch(ctx, strings.TrimPrefix(path, "/v1/weights/"))
	default:
		standin.Refuse(ctx, fasthttp.StatusNotFound, "not_found", "no such path")
	}
}

// fetch answers GET /v1/weights/MODEL/VERSION when the load is over.
func (s *Store) fetch(ctx *fasthttp.RequestCtx, name string) {
	model, version, ok := strings.Cut(name, "/")
	if !ok || model == "" || version == "" {
		standin.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", "use /v1/weights/MODEL/VERSION")
		return
	}
	switch f := s.Switches.Get(); {
	case f.Freeze:
		s.Switches.Until(s.Stopped, func(now Faults) bool { return now.Freeze })
		standin.CloseUnanswered(ctx)
		return
	case f.Down:
		standin.Refuse(ctx, fasthttp.StatusServiceUnavailable, "unavailable", "the weight store is down")
		return
	}
	if !s.load() {
		standin.CloseUnanswered(ctx)
		return
	}
	standin.Answer(ctx, fasthttp.StatusOK, Reply{Model: model, Version: version})
}

func (s *Store) load() bool {
	s.mu.Lock()
	s.maxAt = max(s.maxAt, s.shared.Loads()+1)
	s.mu.Unlock()
	if !s.shared.Load(s.opt.LoadTime, s.Stopped) {
		return false
	}
	s.mu.Lock()
	s.done++
	s.mu.Unlock()
	return true
}
