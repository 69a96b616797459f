package engine

import (
	"sync/atomic"
	"time"

	"github.com/corneldeal/corneldeal/pkg/route"
)

// sequence is one request from its acceptance to its last token.
type sequence struct {
	prompt   []byte
	salt     string
	hashes   []uint64
	owner    Loaded
	priority int
	arrival  uint64
	resume   int
	// end is the number of tokens of the whole answer.
	end int
	// tail is the compute time of the prompt bytes behind the last complete block and of the resumed tokens.
	tail time.Duration

	// The fields below belong to the engine's lock.

	started bool
	// work lists what the prompt still needs, in order.
	work []workItem
	// finished lists the blocks computed in the running step.
	finished []uint64
	held     []*block
	// unstored is set when a block found no room; blocks behind it are not stored either.
	unstored bool
	next     int

	cancelled atomic.Bool
	// cached is the number of prompt tokens found in the cache; it is set before the first token is sent.
	cached atomic.Int64
	// tokens carries the produced indices. It holds the whole answer, so the step loop never waits for a reader.
	tokens chan int
	// aborted closes when the engine crashes.
	aborted chan struct{}
}

// workItem is one piece of prompt to be computed.
type workItem struct {
	left time.Duration
	// hash is the block's hash; isBlock is false for a rest shorter than a block.
	hash    uint64
	isBlock bool
}

// newSequence prepares a request. owner names the weights that serve it and seed the start of its hash chain.
func newSequence(opt Options, req *ChatRequest, owner Loaded, seed uint64) *sequence {
	prompt := route.EncodePrompt(req.Messages)
	end := outputTokens(opt, req)
	resume := min(req.ResumeFrom, end)
	hashes := route.BlockHashes(seed, prompt, opt.BlockBytes)
	rest := len(prompt) - len(hashes)*opt.BlockBytes + resume*bytesPerToken
	return &sequence{
		prompt:   prompt,
		salt:     req.CacheSalt,
		hashes:   hashes,
		owner:    owner,
		priority: req.Priority,
		resume:   resume,
		end:      end,
		tail:     opt.MissCost * time.Duration(rest) / time.Duration(opt.BlockBytes),
		next:     resume,
		tokens:   make(chan int, end-resume+1),
		aborted:  make(chan struct{}),
	}
}

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

// begin turns the missing blocks and the rest into work.
func (q *sequence) begin(hits int, cost time.Duration) {
	q.started = true
	for _, h := range q.hashes[hits:] {
		q.work = append(q.work, workItem{left: cost, hash: h, isBlock: true})
	}
	if q.tail > 0 {
		q.work = append(q.work, workItem{left: q.tail})
	}
}

// compute spends up to the budget on the prompt and returns the time spent.
func (q *sequence) compute(budget time.Duration) time.Duration {
	var spent time.Duration
	for len(q.work) > 0 && spent < budget {
		w := &q.work[0]
		d := min(w.left, budget-spent)
		w.left -= d
		spent += d
		if w.left > 0 {
			break
		}
		if w.isBlock {
			q.finished = append(q.finished, w.hash)
		}
		q.work = q.work[1:]
	}
	return spent
}

// left is the compute time that the started prompt still needs.
func (q *sequence) left() time.Duration {
	var sum time.Duration
	for _, w := range q.work {
		sum += w.left
	}
	return sum
}

// before tells whether q is served before o: by priority, then by arrival.
func (q *sequence) before(o *sequence) bool {
	if q.priority != o.priority {
		return q.priority > o.priority
	}
	return q.arrival < o.arrival
}
