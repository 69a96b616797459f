package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corneldeal/corneldeal/pkg/timeline"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// listOf returns a list with the time ms that shows self and the named VMs as live.
func listOf(ms int64, names ...string) List {
	l := List{AsOf: at(ms), VMs: []VM{{Name: "self", State: StateLive}}}
	for _, name := range names {
		l.VMs = append(l.VMs, VM{Name: name, State: StateLive})
	}
	return l
}

// heartbeat returns a heartbeat sent at ms by a VM that has applied the config stream up to next, with proof of the
// given age.
func heartbeat(vm string, ms, next int64, age time.Duration) *Heartbeat {
	return &Heartbeat{
		VM: vm, Incarnation: "1", Sent: timeline.Stamp{WallNs: at(ms).UnixNano()}, ConfigNext: next,
		Offsets: []StreamOffset{{Stream: StreamConfig, Next: next, Age: age}},
		Contact: age >= 0 && age < ContactWindow,
	}
}

// table returns the table of self with VMs a, b, c and d listed at time 0, and a read of the log at time 0.
func table() *Table {
	t := NewTable("self")
	t.ApplyList(listOf(0, "a", "b", "c", "d"), at(0), at(0))
	t.ObserveRead(at(0), 5)
	return t
}

func wantContact(t *testing.T, table *Table, ms int64, want Contact) {
	t.Helper()
	if got := table.Contact(at(ms)); got != want {
		t.Errorf("at %d ms: %v, want %v", ms, got, want)
	}
}

// TestContactRule guards against serving withdrawn keys on a VM that is cut off, and against refusing requests when
// only the log is down.
func TestContactRule(t *testing.T) {
	cut := table()
	wantContact(t, cut, 2999, InContact)
	wantContact(t, cut, 3000, Isolated)
	if cut.MustCloseStreams(at(4999)) || !cut.MustCloseStreams(at(5000)) {
		t.Error("streams must close 5 s after the last contact")
	}

	outage := table()
	outage.ApplyAnswer(heartbeat("a", 3400, 5, -1), at(3400), at(3401))
	wantContact(t, outage, 3500, Isolated)
	outage.ApplyAnswer(heartbeat("b", 3400, 5, 3100*time.Millisecond), at(3400), at(3401))
	wantContact(t, outage, 3500, Outage)
	wantContact(t, outage, 5400, Isolated)
	if outage.MustCloseStreams(at(8399)) || !outage.MustCloseStreams(at(8400)) {
		t.Error("streams must close 5 s after the outage was last seen")
	}

	half := NewTable("self")
	half.ApplyList(listOf(0, "a", "b", "c"), at(0), at(0))
	half.ApplyAnswer(heartbeat("a", 3400, 5, -1), at(3400), at(3401))
	wantContact(t, half, 3500, Isolated)
}

// TestContactLapsesTogether guards against every VM refusing requests for a moment when an outage begins, because the
// other VMs' last reports of contact have only just become stale.
func TestContactLapsesTogether(t *testing.T) {
	m := table()
	for _, vm := range []string{"a", "b", "c", "d"} {
		m.ApplyAnswer(heartbeat(vm, 2900, 5, 2900*time.Millisecond), at(2900), at(2901))
	}
	wantContact(t, m, 2999, InContact)
	wantContact(t, m, 3000, Outage)
}

// TestContactRelayed guards against proof of contact relayed by a peer that is older than it looks, or that comes from
// a peer with a change that is missing here.
func TestContactRelayed(t *testing.T) {
	relayed := table()
	relayed.ApplyAnswer(heartbeat("a", 3400, 5, time.Second), at(3400), at(3900))
	wantContact(t, relayed, 5399, InContact)
	wantContact(t, relayed, 5400, Isolated)

	behind := table()
	behind.ApplyAnswer(heartbeat("a", 3400, 6, 0), at(3400), at(3401))
	for _, vm := range []string{"b", "c", "d"} {
		behind.ApplyAnswer(heartbeat(vm, 3400, 5, -1), at(3400), at(3401))
	}
	wantContact(t, behind, 3500, Isolated)
	for _, vm := range []string{"a", "b", "c", "d"} {
		behind.ApplyAnswer(heartbeat(vm, 5000, 6, 0), at(5000), at(5001))
	}
	if !behind.MustCloseStreams(at(5002)) {
		t.Error("answers from VMs that are ahead keep the streams open")
	}
	behind.ApplyAnswer(heartbeat("a", 5000, 6, 1500*time.Millisecond), at(5000), at(5001))
	behind.ObserveConfig(6)
	wantContact(t, behind, 5500, InContact)

	received := table()
	received.ApplyHeartbeat(heartbeat("a", 100, 5, 0), at(4000))
	wantContact(t, received, 4000, Isolated)
}

// TestContactDoesNotEcho guards against two VMs that keep each other in contact after the log is gone.
func TestContactDoesNotEcho(t *testing.T) {
	one, two := NewTable("one"), NewTable("two")
	one.ObserveRead(at(0), 5)
	two.ObserveConfig(5)
	for ms := int64(0); ms < 10000; ms += 100 {
		two.ApplyAnswer(heartbeat("one", ms, 5, one.ContactAge(at(ms))), at(ms), at(ms+1))
		one.ApplyAnswer(heartbeat("two", ms, 5, two.ContactAge(at(ms+50))), at(ms+50), at(ms+51))
	}
	wantContact(t, one, 3000, Isolated)
	wantContact(t, two, 3000, Isolated)
}

// TestShortListForgetsNobody guards against a broken VM list that removes peers, or that turns an isolated VM into a
// majority of its own.
func TestShortListForgetsNobody(t *testing.T) {
	m := table()
	for _, vm := range []string{"a", "b", "c", "d"} {
		m.ApplyHeartbeat(heartbeat(vm, 20000, 5, -1), at(20000))
	}
	if m.ApplyList(listOf(-1), at(20000), at(20000)) {
		t.Error("an older list was applied")
	}
	if m.ApplyList(List{AsOf: at(20001)}, at(20001), at(20001)) {
		t.Error("an empty list was applied")
	}
	m.ObserveRead(at(20001), 5)
	m.ApplyList(listOf(20100), at(20100), at(20100))
	if n := len(m.Live(at(20200))); n != 4 {
		t.Errorf("%d live peers after a short list, want 4", n)
	}
	for ms := int64(20200); ms < 60000; ms += 1000 {
		m.ApplyList(listOf(ms), at(ms), at(ms))
	}
	wantContact(t, m, 60000, Isolated)
}

// TestGoneVMsAreForgotten guards against counting VMs that left long ago as missing voters.
func TestGoneVMsAreForgotten(t *testing.T) {
	m := table()
	m.ObserveRead(at(9500), 5)
	m.ApplyList(listOf(10001), at(10001), at(10001))
	wantContact(t, m, 13000, Outage)
	m.ObserveRead(at(3600000), 5)
	m.ApplyList(listOf(3600000), at(3600000), at(3600000))
	if n := len(m.peers); n != 0 {
		t.Errorf("%d VMs still in the table after an hour", n)
	}
}

// TestAbsenceOf guards against a takeover from a VM that is up or whose absence is not proven by later lists.
func TestAbsenceOf(t *testing.T) {
	m := NewTable("self")
	if _, ok := m.AbsenceOf("a"); ok {
		t.Error("absent before any list")
	}
	m.ApplyList(listOf(0, "a", "b"), at(0), at(0))
	if _, ok := m.AbsenceOf("a"); ok {
		t.Error("a listed VM is absent")
	}
	m.ApplyList(listOf(1000, "b"), at(1000), at(1000))
	m.ApplyList(listOf(1000, "b"), at(90000), at(90000))
	if got, _ := m.AbsenceOf("a"); got.Length() != 0 {
		t.Errorf("a frozen list proved an absence of %v", got.Length())
	}
	m.ApplyList(listOf(12000, "b"), at(12000), at(12000))
	if got, _ := m.AbsenceOf("a"); got.Length() != 11*time.Second {
		t.Errorf("absent for %v, want 11 s", got.Length())
	}
	m.ApplyHeartbeat(heartbeat("a", 5000, 0, -1), at(5000))
	if got, _ := m.AbsenceOf("a"); got.Length() != 7*time.Second {
		t.Errorf("absent for %v after a heartbeat, want 7 s", got.Length())
	}
	if read, live := m.SelfLive(); !live || !read.Equal(at(12000)) {
		t.Errorf("self listed as live %v at %v", live, read)
	}
	if got, ok := m.AbsenceOf("never-seen"); !ok || got.Length() != 12*time.Second {
		t.Errorf("unknown VM absent for %v", got.Length())
	}
}

// TestLateHeartbeats guards against a late heartbeat that restores what a VM reported earlier or before its restart.
func TestLateHeartbeats(t *testing.T) {
	m := table()
	m.ApplyHeartbeat(heartbeat("a", 200, 7, -1), at(200))
	m.ApplyHeartbeat(heartbeat("a", 100, 6, -1), at(300))
	if got := m.Behind(7, at(300)); len(got) != 0 {
		t.Errorf("behind after a late heartbeat: %v", got)
	}
	restarted := heartbeat("a", 50, 0, -1)
	restarted.Incarnation = "2"
	m.ApplyHeartbeat(restarted, at(400))
	if m.ApplyHeartbeat(heartbeat("a", 500, 7, -1), at(500)) {
		t.Error("a heartbeat of an earlier incarnation was applied")
	}
	if got := m.Behind(7, at(500)); len(got) != 1 {
		t.Errorf("behind: %v, want a", got)
	}
	if m.NewestOffset(StreamConfig) != 7 {
		t.Errorf("newest offset %d", m.NewestOffset(StreamConfig))
	}
}

// TestInFlightMatchesLivePeers guards against load sums that keep the requests of peers that are down or count a peer
// twice.
func TestInFlightMatchesLivePeers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := NewTable("self")
		now := int64(0)
		model := map[string]*Heartbeat{}
		heartbeatAt := map[string]int64{}
		rt.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(rt *rapid.T) {
				vm := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "vm")
				h := heartbeat(vm, now, 0, -1)
				for _, e := range []string{"e1", "e2"} {
					h.Loads = append(h.Loads, EndpointLoad{Endpoint: e, InFlight: rapid.IntRange(0, 5).Draw(rt, e)})
				}
				m.ApplyHeartbeat(h, at(now))
				model[vm], heartbeatAt[vm] = h, now
			},
			"wait": func(rt *rapid.T) { now += rapid.Int64Range(1, 1500).Draw(rt, "ms") },
			"": func(rt *rapid.T) {
				for i, endpoint := range []string{"e1", "e2"} {
					want := 0
					for vm, h := range model {
						if now-heartbeatAt[vm] < HeartbeatTimeout.Milliseconds() {
							want += h.Loads[i].InFlight
						}
					}
					if got := m.InFlight(endpoint, at(now)); got != want {
						rt.Fatalf("%s: %d in flight, want %d", endpoint, got, want)
					}
				}
			},
		})
	})
}

// BenchmarkHeartbeatApply measures one heartbeat among 20 peers, whose cost grows per endpoint load. The target is 120
// endpoints per data centre.
func BenchmarkHeartbeatApply(b *testing.B) {
	const peers = 20
	for _, endpoints := range []int{0, 120, 1200} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			m := NewTable("self")
			var beats []*Heartbeat
			for i := range peers {
				h := heartbeat(fmt.Sprintf("vm-%d", i), 0, 0, 0)
				for e := range endpoints {
					h.Loads = append(h.Loads, EndpointLoad{Endpoint: fmt.Sprintf("engine-%d", e), InFlight: e % 5})
				}
				beats = append(beats, h)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				m.ApplyAnswer(beats[i%peers], at(int64(i)), at(int64(i)))
				i++
			}
		})
	}
}
