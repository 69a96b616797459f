package lease

import (
	"testing"
	"time"
)

var start = time.Unix(0, 0)

// reader is one VM that reads a shared log.
type reader struct {
	*Manager
	log *[][]byte
}

func newReader(vm, incarnation string, log *[][]byte) *reader {
	return &reader{NewManager(Holder{VM: vm, Incarnation: incarnation, Address: vm + ":1"}), log}
}

// read applies the log and gives evidence E1.
func (r *reader) read(now time.Time) {
	for i := r.Next(); i < int64(len(*r.log)); i++ {
		r.Apply(i, (*r.log)[i], now)
	}
	r.Observe(Evidence{Kind: OwnRead, At: now, Next: r.Next()}, now)
}

// step reads, plans one slot and appends.
func (r *reader) step(now time.Time, v View) []Record {
	r.read(now)
	v.Slots = 1
	v.Live = []string{r.self.VM}
	records := r.Plan(now, v)
	for _, record := range records {
		*r.log = append(*r.log, record.Encode())
	}
	return records
}

// TestHolderForfeits guards against acting on evidence older than F, also counted from the start of a slow read.
func TestHolderForfeits(t *testing.T) {
	var log [][]byte
	r := newReader("a", "1", &log)
	r.step(start, View{})
	r.read(start)
	if !r.MayAct("slot/0", start.Add(Forfeit-1)) || r.MayAct("slot/0", start.Add(Forfeit)) {
		t.Fatal("the lease does not lapse after F")
	}
	late := start.Add(10 * time.Second)
	r.Observe(Evidence{Kind: OwnRead, At: start, Next: r.Next()}, late)
	if r.MayAct("slot/0", late) {
		t.Fatal("a read that started long ago counts as fresh")
	}
}

// TestReleaseStopsBeforeTheRecordIsRead guards against a VM that acts on while its release may stand in the log.
func TestReleaseStopsBeforeTheRecordIsRead(t *testing.T) {
	var log [][]byte
	r := newReader("a", "1", &log)
	r.step(start, View{})
	r.read(start)
	r.Plan(start, View{Slots: 1, Live: []string{"a"}, Draining: true})
	if r.MayAct("slot/0", start) {
		t.Fatal("acts after it planned a release")
	}
}

// TestRestartActsAtOnce guards against a restarted VM that waits for its own earlier process.
func TestRestartActsAtOnce(t *testing.T) {
	var log [][]byte
	first := newReader("a", "1", &log)
	first.step(start, View{})
	second := newReader("a", "2", &log)
	second.step(start, View{})
	second.read(start)
	if !second.MayAct("slot/0", start) || second.Fence("slot/0") != 1 {
		t.Fatal("the new process does not hold the slot")
	}
}

// TestLostClaimIsRepeated guards against a claim whose append was lost for good, and against repeating it too early.
func TestLostClaimIsRepeated(t *testing.T) {
	var log [][]byte
	r := newReader("a", "1", &log)
	r.step(start, View{})
	log = nil
	if records := r.step(start.Add(RepeatAfter/2), View{}); len(records) != 0 {
		t.Fatalf("repeats at once: %v", records)
	}
	if records := r.step(start.Add(RepeatAfter), View{}); len(records) != 1 {
		t.Fatalf("does not repeat: %v", records)
	}
}

// TestHolderRenewsBeforeExpiry guards against a holder that a VM with a shortened log does not see.
func TestHolderRenewsBeforeExpiry(t *testing.T) {
	var log [][]byte
	r := newReader("a", "1", &log)
	view := View{Retention: time.Minute}
	for now := start; now.Before(start.Add(15 * time.Second)); now = now.Add(time.Second) {
		r.step(now, view)
	}
	late := newReader("b", "1", &log)
	late.Reset(1)
	late.read(start.Add(15 * time.Second))
	s, known := late.State("slot/0")
	if !known || s.Assumed || s.Holder.VM != "a" || s.Fence != 0 {
		t.Fatalf("state %+v, known %v", s, known)
	}
}

func BenchmarkControlApply(b *testing.B) {
	r := NewManager(Holder{VM: "a", Incarnation: "1", Address: "10.0.0.1:1"})
	renew := Record{Kind: KindRenew, Resource: "slot/0", Epoch: 1, Holder: r.self, Active: true}.Encode()
	b.ReportAllocs()
	for i := int64(0); b.Loop(); i++ {
		r.Apply(i, renew, start)
	}
}
