package engine

import (
	"sync/atomic"
	"time"

	"github.com/corneldeal/corneldeal/pkg/route"
)

// sequence is one request from its acceptance to its last token.
type sequence struct {
	prompt     []byte
	salt       string
	hashes     []uint64
	weights    LoadedModel
	priority   int
	arrival    uint64
	resumeFrom int
	// outputLen is the number of tokens of the whole answer.
	outputLen int
	// tailCost is the compute time of the prompt bytes after the last complete block and of the resumed tokens.
	tailCost time.Duration

	// The fields from started to next are guarded by Engine.mu.

	started bool
	// pending lists the parts of the prompt that are not computed yet, in order.
	pending []workItem
	// computed lists the blocks computed in the current step.
	computed []uint64
	// held lists the cached blocks that the request references.
	held []*block
	// cacheFull is set when the cache had no space for a block; later blocks are not stored either.
	cacheFull bool
	// next is the index of the next output token.
	next int

	cancelled atomic.Bool
	// cached is the number of prompt tokens found in the cache; it is set before the first token is sent.
	cached atomic.Int64
	// tokens receives the indices of the produced tokens. Its buffer has space for the whole answer, so the step loop
	// never waits for a reader.
	tokens chan int
	// aborted closes when the engine crashes.
	aborted chan struct{}
}

// workItem is one part of a prompt that has to be computed.
type workItem struct {
	remaining time.Duration
	// hash is the block's hash; isBlock is false for a part shorter than a block, which has no hash.
	hash    uint64
	isBlock bool
}

// newSequence returns the sequence of a request that is served with the weights; seed starts its hash chain.
func newSequence(opt Options, req *ChatRequest, weights LoadedModel, seed uint64) *sequence {
	prompt := route.EncodePrompt(req.Messages)
	outputLen := outputTokens(opt, req)
	resumeFrom := min(req.ResumeFrom, outputLen)
	hashes := route.BlockHashes(seed, prompt, opt.BlockBytes)
	rest := len(prompt) - len(hashes)*opt.BlockBytes + resumeFrom*bytesPerToken
	return &sequence{
		prompt:     prompt,
		salt:       req.CacheSalt,
		hashes:     hashes,
		weights:    weights,
		priority:   req.Priority,
		resumeFrom: resumeFrom,
		outputLen:  outputLen,
		tailCost:   opt.MissCost * time.Duration(rest) / time.Duration(opt.BlockBytes),
		next:       resumeFrom,
		tokens:     make(chan int, outputLen-resumeFrom+1),
		aborted:    make(chan struct{}),
	}
}

// outputTokens returns the number of tokens of the whole answer.
func outputTokens(opt Options, req *ChatRequest) int {
	n := max(req.MaxTokens, req.MaxCompletionTokens)
	if n <= 0 {
		n = DefaultOutputTokens
	}
	if opt.OutputTokens > 0 {
		n = min(n, opt.OutputTokens)
	}
	return min(n, maxOutputTokens)
}

// startPrefill queues the blocks after the cache hits and the tail for computing. cost is the time per block.
func (q *sequence) startPrefill(hits int, cost time.Duration) {
	q.started = true
	for _, h := range q.hashes[hits:] {
		q.pending = append(q.pending, workItem{remaining: cost, hash: h, isBlock: true})
	}
	if q.tailCost > 0 {
		q.pending = append(q.pending, workItem{remaining: q.tailCost})
	}
}

// compute spends up to budget on the pending parts of the prompt and returns the time spent.
func (q *sequence) compute(budget time.Duration) time.Duration {
	var spent time.Duration
	for len(q.pending) > 0 && spent < budget {
		w := &q.pending[0]
		d := min(w.remaining, budget-spent)
		w.remaining -= d
		spent += d
		if w.remaining > 0 {
			break
		}
		if w.isBlock {
			q.computed = append(q.computed, w.hash)
		}
		q.pending = q.pending[1:]
	}
	return spent
}

// remaining returns the compute time that the started prompt still needs.
func (q *sequence) remaining() time.Duration {
	var sum time.Duration
	for _, w := range q.pending {
		sum += w.remaining
	}
	return sum
}

// servedBefore reports whether q is served before o: by priority, then by arrival.
func (q *sequence) servedBefore(o *sequence) bool {
	if q.priority != o.priority {
		return q.priority > o.priority
	}
	return q.arrival < o.arrival
}
