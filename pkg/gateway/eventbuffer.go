package gateway

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// eventSeparator is the blank line that ends an event.
var eventSeparator = []byte("\n\n")

// eventBuffer holds what has arrived of a stream and was not forwarded yet. An endpoint may send an event without end on many
// streams at once, so what exceeds one read is taken from the budget of answers.
type eventBuffer struct {
	budget *memoryBudget
	data   []byte
	// reserved is the size taken from the budget.
	reserved int
}

// newEventBuffer returns an empty buffer. Its release must be called.
func newEventBuffer(budget *memoryBudget) *eventBuffer {
	return &eventBuffer{budget: budget, data: make([]byte, 0, streamReadBytes)}
}

// add appends what was read. It returns the length of the complete events at the beginning of data, or an error if an event is
// too long or the budget is used up.
func (b *eventBuffer) add(piece []byte) (complete int, err error) {
	if err := b.grow(len(piece)); err != nil {
		return 0, err
	}
	// What was there before holds no separator, but may end with half of one.
	from := max(len(b.data)-len(eventSeparator)+1, 0)
	b.data = append(b.data, piece...)
	end := bytes.LastIndex(b.data[from:], eventSeparator)
	if end >= 0 {
		return from + end + len(eventSeparator), nil
	}
	if len(b.data) > maxEventBytes {
		return 0, fasthttp.ErrBodyTooLarge
	}
	return 0, nil
}

// grow makes room for more bytes.
func (b *eventBuffer) grow(more int) error {
	needed := len(b.data) + more
	if needed <= cap(b.data) {
		return nil
	}
	size := max(2*cap(b.data), needed)
	if !b.budget.grow(size-streamReadBytes-b.reserved, size) {
		return errNoAnswerMemory
	}
	b.reserved = size - streamReadBytes
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

// drop removes the first n bytes, and the memory that a long event took.
func (b *eventBuffer) drop(n int) {
	rest := b.data[n:]
	if b.reserved > 0 && len(rest) <= streamReadBytes {
		b.release()
		b.data = append(make([]byte, 0, streamReadBytes), rest...)
		return
	}
	b.data = append(b.data[:0], rest...)
}

// release returns the reserved size to the budget.
func (b *eventBuffer) release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}
