package lease

import (
	"testing"
	"time"
)

var start = time.Unix(0, 0)

// reader is a manager that reads and appends to a shared log.
type reader struct {
	*Manager
	log *[][]byte
}

func newReader(vm, incarnation string, log *[][]byte) *reader {
	return &reader{NewManager(Holder{VM: vm, Incarnation: incarnation, Address: vm + ":1"}), log}
}

// read applies the log up to its end and observes that as evidence.
func (r *reader) read(now time.Time) {
	for i := r.Next(); i < int64(len(*r.log)); i++ {
		r.Apply(i, (*r.log)[i], now)
	}
	r.Observe(Evidence{Kind: OwnRead, At: now, Next: r.Next()}, now)
}

// step reads the log, plans for one slot and appends the planned records.
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

// TestLeaseExpiresWithoutEvidence guards against acting on evidence older than EvidenceTTL. The age counts from the start of a read,
// however slow the read is.
func TestLeaseExpiresWithoutEvidence(t *testing.T) {
	var log [][]byte
	r := newReader("a", "1", &log)
	r.step(start, View{})
	r.read(start)
	if !r.MayAct("slot/0", start.Add(EvidenceTTL-1)) || r.MayAct("slot/0", start.Add(EvidenceTTL)) {
		t.Fatal("the lease does not expire after EvidenceTTL")
	}
	late := start.Add(10 * time.Second)
	r.Observe(Evidence{Kind: OwnRead, At: start, Next: r.Next()}, late)
	if r.MayAct("slot/0", late) {
		t.Fatal("a read that started long ago counts as fresh")
	}
}

// TestReleaseStopsBeforeTheRecordIsRead guards against a VM that still acts while its release may already be in the
// log.
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

// TestRestartActsAtOnce guards against a restarted VM that waits for the lease of its own earlier process to expire.
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

// TestLostClaimIsRepeated guards against never repeating a claim whose append was lost, and against repeating it too
// early.
func TestLostClaimIsRepeated(t *testing.T) {
	var log [][]byte
	r := newReader("a", "1", &log)
	r.step(start, View{})
	log = nil
	if records := r.step(start.Add(ResendAfter/2), View{}); len(records) != 0 {
		t.Fatalf("repeated at once: %v", records)
	}
	if records := r.step(start.Add(ResendAfter), View{}); len(records) != 1 {
		t.Fatalf("not repeated: %v", records)
	}
}

// TestHolderRenewsBeforeExpiry guards against records that expire before the holder repeats its state, so that a VM
// that starts with the retained log does not see the holder.
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
