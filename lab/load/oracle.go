package load

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/pkg/route"
)

// resumeLimit bounds how often the oracle resumes one answer.
const resumeLimit = 20

// resumePause is the time between two attempts of one answer.
const resumePause = 20 * time.Millisecond

// oracle sends straight to the engine with the lowest expected time to first token, computed from the engines'
// exact state. It is the bound for what placement can reach under the same limits.
type oracle struct {
	client  *http.Client
	engines []*engine.Engine
	limits  map[string]*exactBucket

	// placing covers the choice of an engine until the engine has accepted the request, so that the next choice
	// sees it.
	placing sync.Mutex
}

func newOracle(p Profile, engines []*engine.Engine) *oracle {
	o := &oracle{client: newClient(), engines: engines, limits: map[string]*exactBucket{}}
	for _, w := range p.Workspaces {
		o.limits[w.Name] = &exactBucket{limit: p.Limit(w)}
	}
	return o
}

// exactBucket is the single bucket of a workspace. It starts empty.
type exactBucket struct {
	mu    sync.Mutex
	limit Limit
	level float64
	last  time.Duration
}

// longestTokenWait bounds the wait of a request for tokens, as in the router.
const longestTokenWait = time.Second

// take reserves the tokens and returns the time until they are there. It returns false, and reserves nothing, when
// that is longer than the bounded wait.
func (b *exactBucket) take(now time.Duration, tokens int64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level += (now - b.last).Seconds() * float64(b.limit.TokensPerSecond)
	b.level = min(b.level, float64(b.limit.BurstTokens))
	b.last = now
	missing := float64(tokens) - b.level
	wait := time.Duration(max(0, missing) / float64(b.limit.TokensPerSecond) * float64(time.Second))
	if wait > longestTokenWait {
		return 0, false
	}
	b.level -= float64(tokens)
	return wait, true
}

// send implements sender.
func (s *oracle) send(ctx context.Context, start time.Time, a *Arrival) Outcome {
	o := Outcome{Arrival: a, Sent: time.Since(start)}
	defer func() { o.Done = time.Since(start) }()
	if !a.chat() {
		return o
	}
	wait, ok := s.limits[a.Workspace].take(o.Sent, a.Tokens)
	if !ok || !sleepUntil(ctx, start.Add(o.Sent+wait)) {
		o.End = Refused
		o.Code = "rate_limited"
		o.RunState = "not_run"
		return o
	}
	got := &answer{}
	err := s.answer(ctx, a, got)
	if err == nil {
		err = got.check(a.Messages, a.MaxTokens)
	}
	o.take(got, err, start)
	return o
}

// answer resumes the stream on another engine as long as engines fail.
func (s *oracle) answer(ctx context.Context, a *Arrival, got *answer) error {
	seed := route.HashSeed(a.Workspace, Model, "", Version)
	prompt := route.EncodePrompt(a.Messages)
	hashes := route.BlockHashes(seed, prompt, BlockBytes)
	err := errCut
	for range resumeLimit {
		body := a.body()
		body.CacheSalt = strconv.FormatUint(seed, 10)
		body.Version = Version
		body.ResumeFrom = got.next
		err = s.attempt(ctx, hashes, body, got)
		var ref *refusedError
		if err == nil || errors.As(err, &ref) {
			return err
		}
		if !sleepUntil(ctx, time.Now().Add(resumePause)) {
			return ctx.Err()
		}
	}
	return err
}

func (s *oracle) attempt(ctx context.Context, hashes []uint64, body chatBody, got *answer) error {
	s.placing.Lock()
	var once sync.Once
	placed := func() { once.Do(s.placing.Unlock) }
	defer placed()
	e := s.best(hashes)
	if e == nil {
		return errCut
	}
	return stream(ctx, s.client, "http://"+e.Addr()+"/v1/chat/completions", http.Header{}, body.json(), got, placed)
}

// best returns the engine with the lowest expected time to first token, or nil if none is up.
func (s *oracle) best(hashes []uint64) *engine.Engine {
	var best *engine.Engine
	var lowest time.Duration
	for _, e := range s.engines {
		if !e.Up() {
			continue
		}
		if d := e.EstimateFirstToken(hashes); best == nil || d < lowest {
			best, lowest = e, d
		}
	}
	return best
}
