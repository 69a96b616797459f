package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

var start = time.UnixMilli(1_800_000_000_000)

// stream is a simulated intent stream that several tables read.
type stream struct {
	name    string
	records [][]byte
}

func (s *stream) append(records ...Record) {
	for i := range records {
		s.records = append(s.records, records[i].Encode())
	}
}

// read applies the records that the table has not read yet.
func (s *stream) read(t *testing.T, table *Table, now time.Time) {
	t.Helper()
	for offset := table.NextOffset(s.name); offset < int64(len(s.records)); offset++ {
		if a := table.Apply(s.name, offset, s.records[offset], now); a.Err != nil {
			t.Fatalf("offset %d: %v", offset, a.Err)
		}
	}
}

func newTable(vm string) *Table {
	return NewTable(Settings{VM: vm, Incarnation: vm + "-1"})
}

// bookingRequest returns a request for a fixed key.
func bookingRequest(nonce string) Request {
	return Request{Workspace: "w", Key: "k", Digest: "d", Nonce: nonce}
}

func wantAction(t *testing.T, d Decision, want Action) {
	t.Helper()
	if d.Action != want {
		t.Fatalf("action %v, want %v (refusal %v)", d.Action, want, d.Refusal)
	}
}

// Guards against two sends when the same key arrives at two VMs at once, and against a repeat that does not get the
// recorded result.
func TestLowestIntentSendsAndRepeatGetsItsResult(t *testing.T) {
	log := &stream{name: StreamOf("w", "k")}
	a, b := newTable("a"), newTable("b")
	_, first := a.Begin(bookingRequest("n1"), start)
	_, second := b.Begin(bookingRequest("n2"), start)
	log.append(first...)
	log.append(second...)
	log.read(t, a, start)
	log.read(t, b, start)
	wantAction(t, a.Decide("n1", start), Send)
	wantAction(t, a.Decide("n1", start), Wait)
	d := b.Decide("n2", start)
	wantAction(t, d, AskHolder)
	if d.Holder.Nonce != "n1" || a.Status("n1", "a-1") != StatusRunning {
		t.Fatalf("holder %+v, status %v", d.Holder, a.Status("n1", "a-1"))
	}
	log.append(a.Finish("n1", Result{Status: 201, Body: []byte("booked")}, start)...)
	log.read(t, b, start)
	d = b.Decide("n2", start)
	wantAction(t, d, Answer)
	if d.Result.Status != 201 || string(d.Result.Body) != "booked" {
		t.Fatalf("result %+v", d.Result)
	}
	d, _ = b.Begin(Request{Workspace: "w", Key: "k", Digest: "other", Nonce: "n3"}, start)
	wantAction(t, d, Refuse)
	if d.Refusal.Code != refusal.CodeKeyReused || d.Refusal.RunState != refusal.NotRun {
		t.Fatalf("refusal %v", d.Refusal)
	}
}

// Guards against a VM that voids another VM's intent, and against a repeat that runs after the holder restarted.
func TestOnlyTheHolderVoids(t *testing.T) {
	log := &stream{name: StreamOf("w", "k")}
	a, b := newTable("a"), newTable("b")
	_, first := a.Begin(bookingRequest("n1"), start)
	forged := first[0]
	forged.Kind, forged.VM, forged.Incarnation = KindVoid, "b", "b-1"
	_, second := b.Begin(bookingRequest("n2"), start)
	log.append(first[0], forged, second[0])
	log.read(t, a, start)
	log.read(t, b, start)
	wantAction(t, a.Decide("n1", start), Send)
	d := b.Decide("n2", start)
	wantAction(t, d, AskHolder)
	b.RecordHolderStatus("n2", d.Holder, NewTable(Settings{VM: "a", Incarnation: "a-2"}).Status("n1", "a-1"))
	d = b.Decide("n2", start)
	wantAction(t, d, Refuse)
	if d.Refusal.RunState != refusal.Unknown {
		t.Fatalf("refusal %v", d.Refusal)
	}
	voids := b.Unconfirmed(start)
	if len(voids) != 1 || voids[0].Kind != KindVoid || voids[0].Nonce != "n2" {
		t.Fatalf("unconfirmed %+v", voids)
	}
}

// Guards against running a request again, or repeating a truncated response, when the response is too large for the
// log.
func TestRepeatOfLargeAnswerIsRefusedAsRun(t *testing.T) {
	log := &stream{name: StreamOf("w", "k")}
	a := newTable("a")
	_, records := a.Begin(bookingRequest("n1"), start)
	log.append(records...)
	log.read(t, a, start)
	wantAction(t, a.Decide("n1", start), Send)
	log.append(a.Finish("n1", Result{Status: 200, Body: make([]byte, MaxResponseBytes+1)}, start)...)
	log.read(t, a, start)
	d, _ := a.Begin(bookingRequest("n2"), start)
	wantAction(t, d, Refuse)
	if d.Refusal.Code != refusal.CodeAnswerNotKept || d.Refusal.RunState != refusal.Run || len(log.records[1]) > 1024 {
		t.Fatalf("refusal %v, record of %d bytes", d.Refusal, len(log.records[1]))
	}
}

// Guards against memory that grows with the number of keys. Beyond the limits responses are dropped and new keys are
// refused as not run; after the window and the margin every item is removed.
func TestMemoryIsBounded(t *testing.T) {
	table := NewTable(Settings{VM: "a", Incarnation: "a-1", MaxEntries: 10, MaxResultBytes: 3000})
	offsets := make(map[string]int64)
	for i := range 10 {
		nonce := fmt.Sprint(i)
		_, records := table.Begin(Request{Workspace: "w", Key: nonce, Digest: "d", Nonce: nonce}, start)
		name := records[0].Stream
		table.Apply(name, offsets[name], records[0].Encode(), start)
		wantAction(t, table.Decide(nonce, start), Send)
		result := table.Finish(nonce, Result{Status: 200, Body: make([]byte, 1000)}, start)
		table.Apply(name, offsets[name]+1, result[0].Encode(), start)
		offsets[name] += 2
	}
	if table.responseBytes > 3000 {
		t.Fatalf("%d bytes of responses", table.responseBytes)
	}
	d, _ := table.Begin(Request{Workspace: "w", Key: "new", Digest: "d", Nonce: "new"}, start)
	wantAction(t, d, Refuse)
	if d.Refusal.Code != refusal.CodeOverloaded || d.Refusal.RunState != refusal.NotRun {
		t.Fatalf("refusal %v", d.Refusal)
	}
	table.expire(start.Add(33 * time.Minute))
	if n := len(table.entries) + len(table.requests) + len(table.voids) + len(table.expiries) + len(table.responseOrder); n != 0 {
		t.Fatalf("%d items left", n)
	}
}

// Guards against accepting a UUIDv7 key whose entry has expired.
func TestExpiredUUIDv7KeyIsRefused(t *testing.T) {
	a := newTable("a")
	req := Request{Workspace: "w", Key: simUUIDv7Key, Digest: "d", Nonce: "n1"}
	d, _ := a.Begin(req, start.Add(30*time.Minute))
	wantAction(t, d, Wait)
	req.Nonce = "n2"
	d, _ = a.Begin(req, start.Add(30*time.Minute+time.Millisecond))
	wantAction(t, d, Refuse)
	// An earlier request with the key may have run, so "not run" would let the caller run it twice.
	if d.Refusal.Code != refusal.CodeKeyExpired || d.Refusal.RunState != refusal.Unknown {
		t.Fatalf("refusal %v", d.Refusal)
	}
}

// Guards against exceeding the log service's append rate, losing or needlessly delaying records, and a queue that
// grows while the log is down.
func TestBatcherLimitsAppendRate(t *testing.T) {
	batcher := NewBatcher(BatcherSettings{MaxQueued: 4000})
	now, appends, records := start, 0, 0
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		r := Record{Kind: KindIntent, Stream: StreamName(i % StreamCount), Nonce: fmt.Sprint(i)}
		batcher.Add(&r, now)
		if !batcher.Add(&r, now) {
			t.Fatalf("record %d does not fit", i)
		}
		for b, ok := batcher.TakeBatch(now); ok; b, ok = batcher.TakeBatch(now) {
			appends++
			records += len(b.Data)
			batcher.Done(b.Stream)
		}
	}
	// 5 s at 30 appends a second plus a burst of 8 allow 158 appends.
	if appends > 158 || records+batcher.Queued() != 5000 || batcher.Queued() > 1000 {
		t.Fatalf("%d appends of %d records, %d wait", appends, records, batcher.Queued())
	}
	if next, ok := batcher.NextDue(now); !ok || next.Sub(now) > 40*time.Millisecond {
		t.Fatalf("next batch at %v", next.Sub(now))
	}
	for i := range 4000 {
		batcher.Add(&Record{Kind: KindVoid, Stream: StreamName(0), Nonce: fmt.Sprint(i)}, now)
	}
	if batcher.Queued() != 4000 {
		t.Fatalf("%d records wait", batcher.Queued())
	}
}

// BenchmarkIntentApply measures replaying the intent and the result of one request with a response body of 500 bytes.
func BenchmarkIntentApply(b *testing.B) {
	table := newTable("reader")
	body := make([]byte, 500)
	offsets := make(map[string]int64)
	type pair struct {
		stream         string
		intent, result []byte
	}
	pairs := make([]pair, b.N)
	for i := range pairs {
		key := fmt.Sprintf("key-%d", i)
		r := Record{Kind: KindIntent, Workspace: "w", Key: key, Digest: "d", VM: "a", Incarnation: "a-1", Nonce: key}
		r.AcceptedMs, r.WindowMs = millis(start), time.Minute.Milliseconds()
		pairs[i].stream, pairs[i].intent = StreamOf("w", key), r.Encode()
		r.Kind, r.Result = KindResult, &Result{Status: 200, Body: body}
		pairs[i].result = r.Encode()
	}
	b.ResetTimer()
	b.ReportAllocs()
	for i := range pairs {
		// At 1000 requests a second the table reaches its steady state of one window.
		now := start.Add(time.Duration(i) * time.Millisecond)
		p := &pairs[i]
		table.Apply(p.stream, offsets[p.stream], p.intent, now)
		table.Apply(p.stream, offsets[p.stream]+1, p.result, now)
		offsets[p.stream] += 2
	}
}

// BenchmarkDecide measures one local request from Begin to Finish, with its records read back.
func BenchmarkDecide(b *testing.B) {
	table := newTable("a")
	offsets := make(map[string]int64)
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		nonce := fmt.Sprint(i)
		_, records := table.Begin(Request{Workspace: "w", Key: nonce, Digest: "d", Nonce: nonce}, now)
		name := records[0].Stream
		table.Apply(name, offsets[name], records[0].Encode(), now)
		if table.Decide(nonce, now).Action != Send {
			b.Fatal("not sent")
		}
		result := table.Finish(nonce, Result{Status: 200}, now)
		table.Apply(name, offsets[name]+1, result[0].Encode(), now)
		offsets[name] += 2
	}
}
