// Package service is the stand-in of a plain service, such as bookings or orders.
package service

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// Headers that the service reads or writes.
const (
	HeaderAttempt     = "X-Attempt-Id"
	HeaderIdempotency = "Idempotency-Key"
)

// Options configure the stand-in.
type Options struct {
	// Listen is IP:port. Default 127.0.0.1:0.
	Listen string
	// Name is echoed in the answers.
	Name string
	// DelayMs is the time of one call, in milliseconds.
	DelayMs int64
}

// Faults are the switches of a plain service.
type Faults struct {
	// Down answers 503 at once, without effect.
	Down bool `json:"down"`
	// Freeze gives no answer and has no effect; connections close when the switch is reset.
	Freeze bool `json:"freeze"`
	// DelayMs delays each call before its effect, in milliseconds.
	DelayMs int64 `json:"delay_ms"`
	// ReplyDelayMs delays each answer after the effect, in milliseconds.
	ReplyDelayMs int64 `json:"reply_delay_ms"`
	// CrashBefore closes the connection before the effect.
	CrashBefore bool `json:"crash_before"`
	// CrashAfter closes the connection after the effect.
	CrashAfter bool `json:"crash_after"`
	// CrashNext bounds the crashes of CrashBefore and CrashAfter; 0 means no bound.
	CrashNext int `json:"crash_next"`
	// Status replaces the status of the answer; the call still takes effect.
	Status int `json:"status"`
	// Cross answers with the attempt id of an earlier call.
	Cross bool `json:"cross"`
	// Poison crashes every call whose body contains this text, before the effect.
	Poison string `json:"poison"`
}

// Reply is the answer of a call.
type Reply struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query"`
	// BodyDigest is the hexadecimal SHA-256 of the body.
	BodyDigest string `json:"body_digest"`
	BodyBytes  int    `json:"body_bytes"`
	// Runs counts the runs of this idempotency key, or of this body when there is no key.
	Runs    int64  `json:"runs"`
	Attempt string `json:"attempt"`
}

// Service is a plain service.
type Service struct {
	opt Options
	standin.Host[Faults]
	tally *standin.Tally

	mu          sync.Mutex
	lastAttempt string
}

// New returns a service that does not listen yet.
func New(opt Options) *Service {
	return &Service{
		opt:   opt,
		tally: standin.NewTally(),
	}
}

// Start listens and serves.
func (s *Service) Start() error {
	return s.Listen(s.opt.Listen, s.handle)
}

// Stats returns the counts of runs and headers.
func (s *Service) Stats() standin.TallyReport { return s.tally.Report() }

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok")
	case "/faults":
		s.Switches.Serve(ctx)
	case "/stats":
		standin.Answer(ctx, fasthttp.StatusOK, s.Stats())
	default:
		s.call(ctx)
	}
}

func (s *Service) call(ctx *fasthttp.RequestCtx) {
	s.tally.Seen(&ctx.Request.Header)
	f := s.Switches.Get()
	if f.Freeze {
		s.Switches.Until(s.Stopped, func(now Faults) bool { return now.Freeze })
		standin.CloseUnanswered(ctx)
		return
	}
	if f.Down {
		standin.Refuse(ctx, fasthttp.StatusServiceUnavailable, "unavailable", "the service is down")
		return
	}
	standin.Pause(standin.Millis(s.opt.DelayMs+f.DelayMs), s.Stopped)
	if f.poisoned(ctx.PostBody()) || f.CrashBefore && s.crashes() {
		standin.CloseUnanswered(ctx)
		return
	}
	reply := s.run(ctx)
	standin.Pause(standin.Millis(f.ReplyDelayMs), s.Stopped)
	if f.CrashAfter && s.crashes() {
		standin.CloseUnanswered(ctx)
		return
	}
	s.answer(ctx, reply, f)
}

// run takes the effect of the call.
func (s *Service) run(ctx *fasthttp.RequestCtx) Reply {
	sum := sha256.Sum256(ctx.PostBody())
	reply := Reply{
		Service:    s.opt.Name,
		Method:     string(ctx.Method()),
		Path:       string(ctx.Path()),
		Query:      string(ctx.QueryArgs().QueryString()),
		BodyDigest: hex.EncodeToString(sum[:]),
		BodyBytes:  len(ctx.PostBody()),
		Attempt:    string(ctx.Request.Header.Peek(HeaderAttempt)),
	}
	key := string(ctx.Request.Header.Peek(HeaderIdempotency))
	if key == "" {
		reply.Runs = s.tally.Ran("body:" + reply.BodyDigest)
		return reply
	}
	reply.Runs = s.tally.Ran("key:" + key)
	return reply
}

func (s *Service) answer(ctx *fasthttp.RequestCtx, reply Reply, f Faults) {
	status := fasthttp.StatusOK
	if f.Status != 0 {
		status = f.Status
	}
	echoed := s.swapAttempt(reply.Attempt)
	if !f.Cross {
		echoed = reply.Attempt
	}
	ctx.Response.Header.Set(HeaderAttempt, echoed)
	standin.Answer(ctx, status, reply)
}

// swapAttempt remembers the attempt and returns the one before.
func (s *Service) swapAttempt(attempt string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier := s.lastAttempt
	s.lastAttempt = attempt
	if earlier == "" {
		return "another-attempt"
	}
	return earlier
}

// crashes reports whether a crash is due and counts it.
func (s *Service) crashes() bool {
	crash := false
	s.Switches.Update(func(f *Faults) {
		crash = f.CrashBefore || f.CrashAfter
		if f.CrashNext == 0 {
			return
		}
		f.CrashNext--
		if f.CrashNext == 0 {
			f.CrashBefore = false
			f.CrashAfter = false
		}
	})
	return crash
}

func (f Faults) poisoned(body []byte) bool {
	return f.Poison != "" && bytes.Contains(body, []byte(f.Poison))
}
