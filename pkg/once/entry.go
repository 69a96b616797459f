package once

import "container/heap"

// entryID names an entry.
type entryID struct {
	workspace string
	key       string
}

// intent is one claim on a key.
type intent struct {
	nonce       string
	digest      string
	vm          string
	incarnation string
	offset      int64
	atMs        int64
	// untilMs is the time until which repeats are recognised. It depends on the intent alone, so that VMs agree on it
	// whatever the order in which they read the result and later intents.
	untilMs int64
	// loggedMs is the time of the newest log record that restores the intent, with its result if it has one.
	loggedMs int64
	// carryAfterMs is the time of the next try to carry the intent over.
	carryAfterMs int64
}

func (i *intent) holder() Holder {
	return Holder{VM: i.vm, Incarnation: i.incarnation, Nonce: i.nonce}
}

// entry is what the log says about one key.
type entry struct {
	id entryID
	// intents are the non-void intents by offset. A finished entry holds the one that was sent.
	intents []intent
	// result is set once the entry is finished.
	result *Result
	// untilMs is the time until which repeats are recognised.
	untilMs int64
}

func (e *entry) finished() bool {
	return e.result != nil
}

func (e *entry) index(nonce string) int {
	for i := range e.intents {
		if e.intents[i].nonce == nonce {
			return i
		}
	}
	return -1
}

// insert adds an intent by offset, which is the order that decides.
func (e *entry) insert(in intent) {
	at := len(e.intents)
	for at > 0 && e.intents[at-1].offset > in.offset {
		at--
	}
	e.intents = append(e.intents, intent{})
	copy(e.intents[at+1:], e.intents[at:])
	e.intents[at] = in
	e.untilMs = max(e.untilMs, in.untilMs)
}

func (e *entry) remove(i int) {
	e.intents = append(e.intents[:i], e.intents[i+1:]...)
}

// expireBefore removes what is no longer recognised at the given time.
func (e *entry) expireBefore(ms int64) {
	if e.finished() {
		if e.untilMs < ms {
			e.result = nil
			e.intents = nil
		}
		return
	}
	kept := e.intents[:0]
	for _, in := range e.intents {
		if in.untilMs >= ms {
			kept = append(kept, in)
		}
	}
	e.intents = kept
}

// deadline asks for a look at an item at a time.
type deadline struct {
	ms   int64
	kind deadlineKind
	// id is the entry.
	id entryID
	// nonce is the void or the local request.
	nonce string
}

type deadlineKind uint8

const (
	deadlineEntry deadlineKind = iota
	deadlineVoid
	deadlineOwn
)

// deadlines is a heap by time.
type deadlines []deadline

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].ms < d[j].ms }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = deadline{}
	*d = old[:len(old)-1]
	return last
}

func (d *deadlines) add(x deadline) { heap.Push(d, x) }

// due removes and returns the first deadline that lies before ms.
func (d *deadlines) due(ms int64) (deadline, bool) {
	if len(*d) == 0 || (*d)[0].ms >= ms {
		return deadline{}, false
	}
	return heap.Pop(d).(deadline), true
}
