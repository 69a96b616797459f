// Package cachestore is the stand-in of the KV cache store.
//
// It keeps block hashes under the seed of their chain, not their contents.
package cachestore

import (
	"container/list"
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// DefaultBlocks is the number of blocks that the store keeps.
const DefaultBlocks = 100000

// Options configure the stand-in.
type Options struct {
	// Listen is IP:port. Default 127.0.0.1:0.
	Listen string
	// Blocks is the number of blocks kept; the least recently used one is evicted. Default 100,000.
	Blocks int
	// BlockDelayUs is the transfer time of one block, in microseconds.
	BlockDelayUs int64
}

// Faults are the switches of the cache store.
type Faults struct {
	// Down answers 503 at once.
	Down bool `json:"down"`
	// Freeze gives no answer; connections close when the switch is reset.
	Freeze bool `json:"freeze"`
	// WrongSeed answers reads with another seed, as if entries had been mixed up.
	WrongSeed bool `json:"wrong_seed"`
}

// Blocks is the body of every request and answer: hashes under one seed.
type Blocks struct {
	// Seed is the start of the hash chain in decimal.
	Seed   string   `json:"seed"`
	Hashes []uint64 `json:"hashes"`
}

type key struct {
	seed string
	hash uint64
}

// Store is the KV cache store.
type Store struct {
	opt Options
	standin.Host[Faults]

	mu     sync.Mutex
	blocks map[key]*list.Element
	order  *list.List
}

// New returns a store that does not listen yet.
func New(opt Options) *Store {
	if opt.Blocks <= 0 {
		opt.Blocks = DefaultBlocks
	}
	return &Store{
		opt:    opt,
		blocks: map[key]*list.Element{},
		order:  list.New(),
	}
}

// Start listens and serves.
func (s *Store) Start() error {
	return s.Listen(s.opt.Listen, s.handle)
}

// Put keeps the hashes under the seed.
func (s *Store) Put(b Blocks) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range b.Hashes {
		s.putLocked(key{b.Seed, h})
	}
}

func (s *Store) putLocked(k key) {
	if e := s.blocks[k]; e != nil {
		s.order.MoveToBack(e)
		return
	}
	if len(s.blocks) >= s.opt.Blocks {
		oldest := s.order.Remove(s.order.Front()).(key)
		delete(s.blocks, oldest)
	}
	s.blocks[k] = s.order.PushBack(k)
}

// Match returns the leading hashes that are kept under the seed.
func (s *Store) Match(b Blocks) Blocks {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Blocks{Seed: b.Seed, Hashes: []uint64{}}
	for _, h := range b.Hashes {
		e := s.blocks[key{b.Seed, h}]
		if e == nil {
			break
		}
		s.order.MoveToBack(e)
		out.Hashes = append(out.Hashes, h)
	}
	return out
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok")
	case "/faults":
		s.Switches.Serve(ctx)
	case "/v1/blocks/put", "/v1/blocks/get", "/v1/blocks/match":
		s.handleBlocks(ctx)
	default:
		standin.Refuse(ctx, fasthttp.StatusNotFound, "not_found", "no such path")
	}
}

// handleBlocks answers put (keeps), get (reads, takes the transfer time) and match (looks up only).
func (s *Store) handleBlocks(ctx *fasthttp.RequestCtx) {
	f := s.Switches.Get()
	switch {
	case f.Freeze:
		s.Switches.Until(s.Stopped, func(now Faults) bool { return now.Freeze })
		standin.CloseUnanswered(ctx)
		return
	case f.Down:
		standin.Refuse(ctx, fasthttp.StatusServiceUnavailable, "unavailable", "the cache store is down")
		return
	}
	var b Blocks
	if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
		standin.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	path := string(ctx.Path())
	out := b
	if path == "/v1/blocks/put" {
		s.Put(b)
	} else {
		out = s.Match(b)
	}
	if path != "/v1/blocks/match" {
		standin.Pause(standin.Micros(s.opt.BlockDelayUs*int64(len(out.Hashes))), s.Stopped)
	}
	if f.WrongSeed {
		out.Seed = "0"
	}
	standin.Answer(ctx, fasthttp.StatusOK, out)
}
