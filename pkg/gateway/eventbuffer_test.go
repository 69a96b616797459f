package gateway

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// Guards against engines that send events without end on many streams at once and fill the memory of the VM, and against
// memory that is not given back.
func TestEventsWithoutEndStayWithinTheBudget(t *testing.T) {
	const limit, streams = 10 << 20, 40
	budget := &memoryBudget{limitBytes: limit}
	var buffers []*eventBuffer
	piece := bytes.Repeat([]byte("x"), streamReadBytes)
	refused, tooLong := 0, 0
	for range streams {
		b := newEventBuffer(budget)
		buffers = append(buffers, b)
		for {
			_, err := b.add(piece)
			if errors.Is(err, errNoAnswerMemory) {
				refused++
				break
			}
			if errors.Is(err, fasthttp.ErrBodyTooLarge) {
				tooLong++
				break
			}
		}
		if held := budget.heldBytes.Load(); held > limit {
			t.Fatalf("%d bytes are held, the limit is %d", held, limit)
		}
	}
	if refused == 0 || tooLong == 0 {
		t.Errorf("%d streams had no memory, %d events were too long, want some of both", refused, tooLong)
	}
	for _, b := range buffers {
		b.release()
	}
	if held := budget.heldBytes.Load(); held != 0 {
		t.Errorf("%d bytes are held after the streams have ended", held)
	}
}

// Guards against events that are lost, joined or split by the buffer, however the bytes arrive.
func TestEventBufferPassesEventsOnWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.SampledFrom([]byte("a\n")), 0, 300).Draw(t, "bytes")
		b := newEventBuffer(&memoryBudget{limitBytes: 1 << 20})
		var got []byte
		for rest := sent; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			complete, err := b.add(rest[:n])
			if err != nil {
				t.Fatal(err)
			}
			if complete > 0 && !bytes.HasSuffix(b.data[:complete], eventSeparator) {
				t.Fatalf("%q is passed on", b.data[:complete])
			}
			got = append(got, b.data[:complete]...)
			b.drop(complete)
			if bytes.Contains(b.data, eventSeparator) {
				t.Fatalf("a complete event stays in the buffer: %q", b.data)
			}
			rest = rest[n:]
		}
		if got = append(got, b.data...); !slices.Equal(got, sent) {
			t.Fatalf("got %q, want %q", got, sent)
		}
	})
}

// Guards against small answers that fail because answers without end hold all the memory for answers.
func TestSmallAnswersHaveMemoryBesideEndlessOnes(t *testing.T) {
	budget := &memoryBudget{limitBytes: 4 << 20}
	b := newEventBuffer(budget)
	for budget.reserveLarge(largeAnswerBytes) {
		b.reserved += largeAnswerBytes
	}
	if !budget.reserve(firstAnswerBytes) {
		t.Error("answers without end leave no memory for a small one")
	}
}
