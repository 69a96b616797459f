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
	// StreamCount is the number of intent streams. It is part of the log format, because it maps keys to streams.
	StreamCount = 16
	// MaxResponseBytes is the largest response, headers and body, that is recorded in full. Only the status of larger
	// ones is kept.
	MaxResponseBytes = 64 << 10
	// MaxKeyBytes is the longest idempotency key. It limits the memory of an entry.
	MaxKeyBytes = 256
)

// Kind is the type of a record on the intent streams.
type Kind string

// Kinds of records on the intent streams.
const (
	// KindIntent claims the right to send the request of a key.
	KindIntent Kind = "intent"
	// KindResult records the outcome of a request that was sent.
	KindResult Kind = "result"
	// KindVoid withdraws an intent that was not sent. Only the holder appends it.
	KindVoid Kind = "void"
	// KindCarry repeats an entry before the log drops its records. It keeps the identity and offset of the original.
	KindCarry Kind = "carry"
)

// Header is one response header of a recorded result.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Result is the outcome of a request that was sent.
type Result struct {
	// Status is the HTTP status of the response, or zero if the outcome is unknown.
	Status int `json:"status"`
	// Headers are the response headers to repeat.
	Headers []Header `json:"headers,omitempty"`
	// Body is the response body. Finish drops headers and body that together exceed MaxResponseBytes.
	Body []byte `json:"body,omitempty"`
	// Truncated is set if headers and body were dropped. A repeat is then refused with run state run.
	Truncated bool `json:"truncated,omitempty"`
	// Unknown is set if the holder sent the request and got no complete response.
	Unknown bool `json:"unknown,omitempty"`
}

// size returns the number of bytes of headers and body.
func (r *Result) size() int {
	n := len(r.Body)
	for i := range r.Headers {
		n += len(r.Headers[i].Name) + len(r.Headers[i].Value)
	}
	return n
}

// truncate drops headers and body and keeps the status.
func (r *Result) truncate() {
	r.Headers = nil
	r.Body = nil
	r.Truncated = true
}

// Record is one record of an intent stream.
type Record struct {
	Kind Kind `json:"kind"`
	// Stream is the name of the stream that the record belongs to. It is not encoded.
	Stream string `json:"-"`
	// Workspace and Key identify the entry.
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Digest identifies the method, path and body of the request. It is empty in a void.
	Digest string `json:"digest,omitempty"`
	// VM and Incarnation identify the process that holds the intent.
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Nonce identifies the intent.
	Nonce string `json:"nonce"`
	// AcceptedMs is the time at which the holder accepted the request, in milliseconds since 1970.
	AcceptedMs int64 `json:"at_ms"`
	// WindowMs is the time after AcceptedMs for which repeats are recognised, in milliseconds. It is recorded so that
	// VMs with different settings agree on which intents have expired.
	WindowMs int64 `json:"window_ms"`
	// Offset is the offset of the intent in its stream. It is set in results and carried entries.
	Offset int64 `json:"offset,omitempty"`
	// Result is the outcome. It is set in results and carried finished entries.
	Result *Result `json:"result,omitempty"`
	// LoggedMs is the time at which a result or carried entry was created, in milliseconds since 1970.
	LoggedMs int64 `json:"logged_ms,omitempty"`
}

// Encode returns the record in the log's encoding.
func (r *Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Strings, integers and byte slices can always be encoded.
		panic(fmt.Sprintf("once: encode record: %v", err))
	}
	return data
}

// ParseRecord decodes and validates one record of the named stream. The error names what is missing or invalid.
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
			return Record{}, fmt.Errorf("result record with nonce %q has no result", r.Nonce)
		}
	default:
		return Record{}, fmt.Errorf("unknown record kind %q", r.Kind)
	}
	if r.Nonce == "" || r.Key == "" || r.VM == "" {
		return Record{}, fmt.Errorf("%s record lacks nonce, key or vm", r.Kind)
	}
	if expected := StreamOf(r.Workspace, r.Key); expected != stream {
		return Record{}, fmt.Errorf("record of stream %s found on stream %s", expected, stream)
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
	names := make([]string, StreamCount)
	for i := range names {
		names[i] = StreamName(i)
	}
	return names
}

// StreamOf returns the name of the stream that holds the records of a key.
func StreamOf(workspace, key string) string {
	// The length distinguishes ("a", "bc") from ("ab", "c").
	id := strconv.Itoa(len(workspace)) + ":" + workspace + key
	return StreamName(int(xxh3.HashString(id) % StreamCount))
}

// millis returns t in milliseconds since 1970.
func millis(t time.Time) int64 {
	return t.UnixMilli()
}
