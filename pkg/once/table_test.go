package once

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

var start = time.UnixMilli(1_800_000_000_000)

// stream is a simulated log of one key's stream that several tables read.
type stream struct {
	name    string
	records [][]byte
}

func (s *stream) append(records ...Record) {
	for i := range records {
		s.records = append(s.records, records[i].Encode())
	}
}

func (s *stream) read(t *testing.T, table *Table, now time.Time) {
	t.Helper()
	for offset := table.Next(s.name); offset < int64(len(s.records)); offset++ {
		if a := table.Apply(s.name, offset, s.records[offset], now); a.Err != nil {
			t.Fatalf("offset %d: %v", offset, a.Err)
		}
	}
}

func newTable(vm string) *Table {
	return NewTable(Settings{VM: vm, Incarnation: vm + "-1"})
}

func booking(nonce string) Request {
	return Request{Workspace: "w", Key: "k", Digest: "d", Nonce: nonce}
}

func wantAction(t *testing.T, d Decision, want Action) {
	t.Helper()
	if d.Action != want {
		t.Fatalf("action %v, want %v (refusal %v)", d.Action, want, d.Refusal)
	}
}

// Guards against two sends when the same key arrives at two VMs at once, and against a repeat that is not answered
// with the recorded result.
func TestLowestIntentSendsAndRepeatGetsItsResult(t *testing.T) {
	log := &stream{name: StreamOf("w", "k")}
	a, b := newTable("a"), newTable("b")
	_, first := a.Begin(booking("n1"), start)
	_, second := b.Begin(booking("n2"), start)
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
