// Package logservice is the stand-in of the append-only log service.
//
// Each stream has dense offsets from 0. Records older than the retention expire.
package logservice

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// Defaults of the options.
const (
	// DefaultRetention is the time for which records are kept.
	DefaultRetention = time.Hour
	// DefaultAppendsPerSecond is the rate that appends are paced to.
	DefaultAppendsPerSecond = 400
)

const (
	// maxPacing bounds the time that one append waits for its turn; beyond it the answer is 503.
	maxPacing = 2 * time.Second
	// maxRead bounds the records of one answer.
	maxRead = 10000
	// maxWait bounds one long poll.
	maxWait = 60 * time.Second
)

// Options configure the stand-in.
type Options struct {
	// Listen is IP:port. Default 127.0.0.1:0.
	Listen string
	// Retention is the time for which records are kept. Default 1 h.
	Retention time.Duration
	// AppendsPerSecond paces append requests, however many records each holds. Default 400.
	AppendsPerSecond int
}

// Faults are the switches of the log service.
type Faults struct {
	// Streams limits the faults to streams whose name begins so. Empty means all streams.
	Streams string `json:"streams"`
	// Down answers 503 at once.
	Down bool `json:"down"`
	// Freeze gives no answer. The request has no effect; its connection closes when the switch is reset.
	Freeze bool `json:"freeze"`
	// DelayMs delays every request before it takes effect, in milliseconds.
	DelayMs int64 `json:"delay_ms"`
	// LoseReply lets each append take effect and closes its connection without an answer.
	LoseReply bool `json:"lose_reply"`
	// LoseNext does the same for this number of appends.
	LoseNext int `json:"lose_next"`
	// LateMs lets each append take effect after this time, in milliseconds, and never acknowledges it.
	LateMs int64 `json:"late_ms"`
	// AppendDown answers 503 to appends.
	AppendDown bool `json:"append_down"`
	// ReadDown answers 503 to reads.
	ReadDown bool `json:"read_down"`
}

// Record is one entry of a stream.
type Record struct {
	Offset int64           `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records []json.RawMessage `json:"records"`
}

// AppendReply is the answer of an append.
type AppendReply struct {
	First int64 `json:"first"`
}

// ReadReply is the answer of a read.
type ReadReply struct {
	Records []Record `json:"records"`
	// Start is the oldest offset kept.
	Start int64 `json:"start"`
	// End is the next offset.
	End int64 `json:"end"`
}

// Service is the log service.
type Service struct {
	opt Options
	standin.Host[Faults]

	mu       sync.Mutex
	streams  map[string]*stream
	nextTurn time.Time
	appends  int64
	reads    int64
}

// stream holds the records of one name, oldest first.
type stream struct {
	start   int64
	records []Record
	at      []time.Time
	grown   chan struct{}
}

// New returns a service that does not listen yet.
func New(opt Options) *Service {
	if opt.Retention <= 0 {
		opt.Retention = DefaultRetention
	}
	if opt.AppendsPerSecond <= 0 {
		opt.AppendsPerSecond = DefaultAppendsPerSecond
	}
	return &Service{
		opt:     opt,
		streams: map[string]*stream{},
	}
}

// Start listens and serves.
func (s *Service) Start() error {
	return s.Listen(s.opt.Listen, s.handle)
}

// Append adds records without faults or pacing and returns the first offset.
func (s *Service) Append(name string, records ...json.RawMessage) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendLocked(name, records)
}

// Records returns all records that are kept in the stream.
func (s *Service) Records(name string) []Record {
	reply, _ := s.read(name, 0, maxRead)
	return reply.Records
}

// Stats counts requests that took effect.
type Stats struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
	// Ends holds the next offset of each stream.
	Ends map[string]int64 `json:"ends"`
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Stats{Appends: s.appends, Reads: s.reads, Ends: map[string]int64{}}
	for name, st := range s.streams {
		out.Ends[name] = st.end()
	}
	return out
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/healthz":
		ctx.SetBodyString("ok")
	case "/faults":
		s.Switches.Serve(ctx)
	case "/stats":
		standin.Answer(ctx, fasthttp.StatusOK, s.Stats())
	default:
		s.handleStream(ctx, path)
	}
}

func (s *Service) handleStream(ctx *fasthttp.RequestCtx, path string) {
	name, ok := strings.CutPrefix(path, "/v1/streams/")
	name, ok2 := strings.CutSuffix(name, "/records")
	if !ok || !ok2 || name == "" || strings.Contains(name, "/") {
		standin.Refuse(ctx, fasthttp.StatusNotFound, "not_found", "no such path")
		return
	}
	f := s.Switches.Get().on(name)
	switch {
	case f.Freeze:
		s.Switches.Until(s.Stopped, func(now Faults) bool { return now.on(name).Freeze })
		standin.CloseUnanswered(ctx)
		return
	case f.Down:
		unavailable(ctx)
		return
	case !standin.Pause(standin.Millis(f.DelayMs), s.Stopped):
		standin.CloseUnanswered(ctx)
		return
	}
	switch {
	case ctx.IsPost():
		s.handleAppend(ctx, name, f)
	case ctx.IsGet():
		s.handleRead(ctx, name, f)
	default:
		standin.Refuse(ctx, fasthttp.StatusMethodNotAllowed, "method", "use GET or POST")
	}
}

// on returns the switches that apply to the stream.
func (f Faults) on(name string) Faults {
	if strings.HasPrefix(name, f.Streams) {
		return f
	}
	return Faults{}
}

func unavailable(ctx *fasthttp.RequestCtx) {
	standin.Refuse(ctx, fasthttp.StatusServiceUnavailable, "unavailable", "the log service is down")
}

func (s *Service) handleAppend(ctx *fasthttp.RequestCtx, name string, f Faults) {
	if f.AppendDown {
		unavailable(ctx)
		return
	}
	var req AppendRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil || len(req.Records) == 0 {
		standin.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", "body must hold records")
		return
	}
	records := copied(req.Records)
	if f.LateMs > 0 {
		if standin.Pause(standin.Millis(f.LateMs), s.Stopped) {
			s.Append(name, records...)
		}
		standin.CloseUnanswered(ctx)
		return
	}
	wait, ok := s.takeTurn(time.Now())
	if !ok {
		standin.Refuse(ctx, fasthttp.StatusServiceUnavailable, "overloaded", "too many appends")
		return
	}
	if !standin.Pause(wait, s.Stopped) {
		standin.CloseUnanswered(ctx)
		return
	}
	first := s.Append(name, records...)
	if f.LoseReply || s.loseOne(name) {
		standin.CloseUnanswered(ctx)
		return
	}
	standin.Answer(ctx, fasthttp.StatusOK, AppendReply{First: first})
}

// copied detaches the records from the request buffer, which is reused.
func copied(in []json.RawMessage) []json.RawMessage {
	out := make([]json.RawMessage, len(in))
	for i, r := range in {
		out[i] = append(json.RawMessage(nil), r...)
	}
	return out
}

// loseOne consumes one of the counted lost replies.
func (s *Service) loseOne(name string) bool {
	lost := false
	s.Switches.Update(func(f *Faults) {
		if f.on(name).LoseNext > 0 {
			f.LoseNext--
			lost = true
		}
	})
	return lost
}

// takeTurn returns the time to wait for the paced append rate, or false if that is too long.
func (s *Service) takeTurn(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextTurn.Before(now) {
		s.nextTurn = now
	}
	wait := s.nextTurn.Sub(now)
	if wait > maxPacing {
		return 0, false
	}
	s.nextTurn = s.nextTurn.Add(time.Second / time.Duration(s.opt.AppendsPerSecond))
	return wait, true
}

func (s *Service) appendLocked(name string, records []json.RawMessage) int64 {
	st := s.streamLocked(name)
	first := st.end()
	now := time.Now()
	for i, data := range records {
		st.records = append(st.records, Record{Offset: first + int64(i), Data: data})
		st.at = append(st.at, now)
	}
	close(st.grown)
	st.grown = make(chan struct{})
	s.appends++
	return first
}

func (s *Service) streamLocked(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *stream) end() int64 {
	return st.start + int64(len(st.records))
}

// expire drops records that were appended before the given time.
func (st *stream) expire(before time.Time) {
	n := 0
	for n < len(st.at) && st.at[n].Before(before) {
		n++
	}
	st.start += int64(n)
	st.records = st.records[n:]
	st.at = st.at[n:]
}

func (s *Service) handleRead(ctx *fasthttp.RequestCtx, name string, f Faults) {
	if f.ReadDown {
		unavailable(ctx)
		return
	}
	args := ctx.QueryArgs()
	from := int64(args.GetUintOrZero("from"))
	limit := args.GetUintOrZero("max")
	if limit <= 0 || limit > maxRead {
		limit = maxRead
	}
	wait := min(standin.Millis(int64(args.GetUintOrZero("wait_ms"))), maxWait)
	reply := s.poll(name, from, limit, time.Now().Add(wait))
	now := s.Switches.Get().on(name)
	switch {
	case now.Freeze:
		s.Switches.Until(s.Stopped, func(f Faults) bool { return f.on(name).Freeze })
		standin.CloseUnanswered(ctx)
	case now.Down || now.ReadDown:
		unavailable(ctx)
	default:
		standin.Answer(ctx, fasthttp.StatusOK, reply)
	}
}

// poll reads until the stream has grown beyond from or the deadline is over. A fault that begins meanwhile
// ends the poll at once.
func (s *Service) poll(name string, from int64, limit int, deadline time.Time) ReadReply {
	for {
		reply, grown := s.read(name, from, limit)
		left := time.Until(deadline)
		if reply.End > from || left <= 0 {
			return reply
		}
		if !s.await(name, grown, left) {
			return reply
		}
	}
}

// await waits for growth. It returns false when a fault begins or the service closes.
func (s *Service) await(name string, grown <-chan struct{}, left time.Duration) bool {
	fault := s.Switches.Changed()
	f := s.Switches.Get().on(name)
	if f.Down || f.ReadDown || f.Freeze {
		return false
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-grown:
	case <-t.C:
	case <-fault:
	case <-s.Stopped:
		return false
	}
	return true
}

// read returns records from the offset and a channel that closes when the stream grows.
func (s *Service) read(name string, from int64, limit int) (ReadReply, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamLocked(name)
	st.expire(time.Now().Add(-s.opt.Retention))
	s.reads++
	from = max(from, st.start)
	reply := ReadReply{Records: []Record{}, Start: st.start, End: st.end()}
	if from < reply.End {
		last := min(from+int64(limit), reply.End)
		reply.Records = append(reply.Records, st.records[from-st.start:last-st.start]...)
	}
	return reply, st.grown
}
