// Package once runs a non-idempotent request at most once per idempotency key.
//
// All VMs replay the same intent streams. The lowest non-void intent of a key is the only one whose holder may
// send the request. The package holds no I/O: records to append are returned, records read are passed in.
package once

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// Streams is the number of intent streams. It is part of the log format.
	Streams = 16
	// MaxBodyBytes is the largest answer, body and headers, that is recorded. Of larger ones only the status is.
	MaxBodyBytes = 64 << 10
	// MaxKeyBytes is the longest idempotency key. It bounds the memory of an entry.
	MaxKeyBytes = 256
)

// Kind tells what a record says about an intent.
type Kind string

// Kinds of records on the intent streams.
const (
	// KindIntent claims the right to send the request of a key.
	KindIntent Kind = "intent"
	// KindResult records the outcome of a request that was sent.
	KindResult Kind = "result"
	// KindVoid withdraws an intent that was not sent. Only the holder appends it.
	KindVoid Kind = "void"
	// KindCarry repeats an entry before the log drops its records. Identity and order are those of the original.
	KindCarry Kind = "carry"
)

// Header is one response header that is part of a recorded answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Result is the outcome of a request that was sent.
type Result struct {
	// Status is the HTTP status of the answer. Zero where the outcome is unknown.
	Status int `json:"status"`
	// Headers are the response headers to repeat.
	Headers []Header `json:"headers,omitempty"`
	// Body is the answer body. Finish keeps body and headers of at most MaxBodyBytes.
	Body []byte `json:"body,omitempty"`
	// Truncated tells that the body was too large to be kept; a repeat is refused with run state run.
	Truncated bool `json:"truncated,omitempty"`
	// Unknown tells that the holder sent the request and got no complete answer.
	Unknown bool `json:"unknown,omitempty"`
}

// size is the number of bytes that a recorded answer holds.
func (r *Result) size() int {
	n := len(r.Body)
	for i := range r.Headers {
		n += len(r.Headers[i].Name) + len(r.Headers[i].Value)
	}
	return n
}

// truncate keeps the status alone.
func (r *Result) truncate() {
	r.Headers = nil
	r.Body = nil
	r.Truncated = true
}

// Record is one record of an intent stream.
type Record struct {
	Kind Kind `json:"kind"`
	// Stream is where the record belongs. It is not part of the data.
	Stream string `json:"-"`
	// Workspace and Key name the entry.
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Digest identifies the body of the request. Empty in a void.
	Digest string `json:"digest,omitempty"`
	// VM and Incarnation name the holder.
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Nonce identifies the intent.
	Nonce string `json:"nonce"`
	// AtMs is the time at which the holder accepted the request, in milliseconds since 1970.
	AtMs int64 `json:"at_ms"`
	// WindowMs is the time for which repeats are recognised, in milliseconds after AtMs. It stands in the record so that VMs
	// with different settings agree on which intents have expired.
	WindowMs int64 `json:"window_ms"`
	// Offset is the offset of the intent in a result or a carried entry.
	Offset int64 `json:"offset,omitempty"`
	// Result is the outcome in a result or a carried finished entry.
	Result *Result `json:"result,omitempty"`
	// LoggedMs is the time at which a result or a carried entry was written, in milliseconds since 1970.
	LoggedMs int64 `json:"logged_ms,omitempty"`
}

// Encode returns the data of the record as it stands in the log.
func (r *Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Strings, integers and byte slices always encode.
		panic(fmt.Sprintf("once: encode record: %v", err))
	}
	return data
}

// ParseRecord reads the data of one record of a stream. The error names what is missing.
func ParseRecord(stream string, data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode intent record: %w", err)
	}
	r.Stream = stream
	switch r.Kind {
	case KindIntent, KindVoid, KindCarry:
	case KindResult:
		if r.Result == nil {
			return Record{}, fmt.Errorf("result record of nonce %q has no result", r.Nonce)
		}
	default:
		return Record{}, fmt.Errorf("unknown record kind %q", r.Kind)
	}
	if r.Nonce == "" || r.Key == "" || r.VM == "" {
		return Record{}, fmt.Errorf("%s record lacks nonce, key or vm", r.Kind)
	}
	if own := StreamOf(r.Workspace, r.Key); own != stream {
		return Record{}, fmt.Errorf("record of stream %s stands on %s", own, stream)
	}
	return r, nil
}

// StreamName returns the name of the intent stream with the given index.
func StreamName(i int) string {
	if i < 10 {
		return "intent-0" + strconv.Itoa(i)
	}
	return "intent-" + strconv.Itoa(i)
}

// StreamNames returns the names of all intent streams.
func StreamNames() []string {
	names := make([]string, Streams)
	for i := range names {
		names[i] = StreamName(i)
	}
	return names
}

// StreamOf returns the stream that holds the records of a key.
func StreamOf(workspace, key string) string {
	// The length keeps ("a", "bc") and ("ab", "c") apart.
	id := strconv.Itoa(len(workspace)) + ":" + workspace + key
	return StreamName(int(xxh3.HashString(id) % Streams))
}

func millis(t time.Time) int64 {
	return t.UnixMilli()
}
