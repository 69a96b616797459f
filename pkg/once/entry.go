package once

import "container/heap"

// entryID identifies an entry by workspace and idempotency key.
type entryID struct {
	workspace string
	key       string
}

// intent is one VM's claim to send the request of a key.
type intent struct {
	nonce       string
	digest      string
	vm          string
	incarnation string
	offset      int64
	acceptedMs  int64
	// windowEndMs is the time until which repeats are recognised. It depends on the intent alone, so that VMs agree
	// on it in whatever order they read the result and later intents.
	windowEndMs int64
	// loggedMs is the time of the newest log record that restores the intent, including its result if it has one.
	loggedMs int64
	// nextCarryMs is the earliest time at which to carry over the intent again.
	nextCarryMs int64
}

// holder returns the holder of the intent.
func (i *intent) holder() Holder {
	return Holder{VM: i.vm, Incarnation: i.incarnation, Nonce: i.nonce}
}

// entry holds the replayed state of one key.
type entry struct {
	id entryID
	// intents holds the non-void intents in offset order. A finished entry holds only the one that was sent.
	intents []intent
	// result is set once the entry is finished.
	result *Result
	// windowEndMs is the latest window end of the intents, or that of the sent intent once the entry is finished.
	windowEndMs int64
}

// finished reports whether a result is recorded.
func (e *entry) finished() bool {
	return e.result != nil
}

// intentIndex returns the index of the intent with the nonce, or -1.
func (e *entry) intentIndex(nonce string) int {
	for i := range e.intents {
		if e.intents[i].nonce == nonce {
			return i
		}
	}
	return -1
}

// insert adds an intent in offset order. The intent with the lowest offset is the one that may be sent.
func (e *entry) insert(in intent) {
	at := len(e.intents)
	for at > 0 && e.intents[at-1].offset > in.offset {
		at--
	}
	e.intents = append(e.intents, intent{})
	copy(e.intents[at+1:], e.intents[at:])
	e.intents[at] = in
	e.windowEndMs = max(e.windowEndMs, in.windowEndMs)
}

// remove deletes the intent at index i.
func (e *entry) remove(i int) {
	e.intents = append(e.intents[:i], e.intents[i+1:]...)
}

// expireBefore removes the intents and the result whose window ended before ms.
func (e *entry) expireBefore(ms int64) {
	if e.finished() {
		if e.windowEndMs < ms {
			e.result = nil
			e.intents = nil
		}
		return
	}
	unexpired := e.intents[:0]
	for _, in := range e.intents {
		if in.windowEndMs >= ms {
			unexpired = append(unexpired, in)
		}
	}
	e.intents = unexpired
}

// expiry is a time after which an item may have expired.
type expiry struct {
	atMs int64
	kind expiryKind
	// id identifies the entry of an expiryEntry.
	id entryID
	// nonce identifies the void of an expiryVoid or the local request of an expiryRequest.
	nonce string
}

// expiryKind is the type of item that an expiry refers to.
type expiryKind uint8

const (
	expiryEntry expiryKind = iota
	expiryVoid
	expiryRequest
)

// expiryHeap is a min-heap ordered by time.
type expiryHeap []expiry

func (d expiryHeap) Len() int           { return len(d) }
func (d expiryHeap) Less(i, j int) bool { return d[i].atMs < d[j].atMs }
func (d expiryHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *expiryHeap) Push(x any) { *d = append(*d, x.(expiry)) }

// Pop implements heap.Interface.
func (d *expiryHeap) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = expiry{}
	*d = old[:len(old)-1]
	return last
}

// add inserts an expiry.
func (d *expiryHeap) add(x expiry) { heap.Push(d, x) }

// popBefore removes and returns the earliest expiry if it lies before ms.
func (d *expiryHeap) popBefore(ms int64) (expiry, bool) {
	if len(*d) == 0 || (*d)[0].atMs >= ms {
		return expiry{}, false
	}
	return heap.Pop(d).(expiry), true
}
