package issuer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const lease = 3 * time.Second

// Guards against engines with older weights being passed over for less loaded ones until their time was up.
func TestOldestWeightsGoFirst(t *testing.T) {
	engines := []Engine{
		{ID: "a", DataCentre: "x", Version: 2, Load: 0},
		{ID: "b", DataCentre: "y", Version: 1, Load: 50},
		{ID: "c", DataCentre: "z", Version: 1, Load: 40},
		{ID: "d", DataCentre: "z", Version: 2, Load: 1},
	}
	got := Choose(engines, 3, Loads{AtOnce: 2})
	if len(got) != 2 || got[0] != "c" || got[1] != "b" {
		t.Fatalf("chose %v, want the two engines with version 1", got)
	}
}

func TestChooseSpreadsOverDataCentres(t *testing.T) {
	engines := []Engine{
		{ID: "a", DataCentre: "x", Version: 1, Phase: Loading},
		{ID: "b", DataCentre: "x", Version: 1},
		{ID: "c", DataCentre: "y", Version: 1, Load: 9},
	}
	if got := Choose(engines, 2, Loads{AtOnce: 2}); len(got) != 1 || got[0] != "c" {
		t.Fatalf("chose %v, want the engine in the other data centre", got)
	}
}

// Guards against orders of two holders within the lease.
func TestSuccessorWaitsForOlderHolder(t *testing.T) {
	for _, c := range []struct {
		name   string
		before Predecessor
		last   time.Time
		from   time.Time
	}{
		{"nobody before", NoPredecessor, time.Time{}, start},
		{"holder stopped", StoppedPredecessor, start.Add(-time.Second), start.Add(-time.Second + orderFlight + lease)},
		{"holder unsure", UnknownPredecessor, time.Time{}, start.Add(HoldFor + orderFlight + lease)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewLease(lease)
			r.Claimed(7, c.before, c.last, start)
			held := Situation{Pending: true, Reachable: true, Holder: Claim{Holder: "v", Token: 7}}
			if c.from.After(start) && r.Next(held, c.from.Add(-time.Millisecond)) != Idle {
				t.Fatal("acts before the older holder's orders have arrived")
			}
			if r.Next(held, c.from) != Act {
				t.Fatal("does not act when it may")
			}
		})
	}
}

// Guards against a holder that goes on after a newer claim, or on an old read after a suspension.
func TestOldReadPermitsNoOrder(t *testing.T) {
	r := NewLease(lease)
	r.Claimed(7, NoPredecessor, time.Time{}, start)
	if !r.MayOrder(start) {
		t.Fatal("a fresh claim permits orders")
	}
	late := start.Add(HoldFor)
	if r.MayOrder(late) {
		t.Fatal("an old read permits an order")
	}
	r.Confirmed(Claim{Holder: "w", Token: 8}, late)
	if r.MayOrder(late) {
		t.Fatal("a read that shows another claim permits an order")
	}
	r.Confirmed(Claim{Holder: "v", Token: 7}, late)
	if !r.MayOrder(late) {
		t.Fatal("a read that shows the own claim permits orders")
	}
	r.Fenced()
	if r.MayOrder(late) {
		t.Fatal("a fenced holder gives orders")
	}
}

func TestOnlyFirstAbleVMClaims(t *testing.T) {
	base := Situation{Pending: true, Reachable: true, Holder: Claim{Token: -1}, First: true}
	for _, c := range []struct {
		name   string
		change func(*Situation)
		want   Step
	}{
		{"first", func(*Situation) {}, Acquire},
		{"nothing due", func(s *Situation) { s.Pending = false }, Idle},
		{"store away", func(s *Situation) { s.Reachable = false }, Idle},
		{"another is first", func(s *Situation) { s.First = false }, Idle},
		{"holder able", func(s *Situation) { s.HolderActive = true }, Idle},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := base
			c.change(&s)
			if got := NewLease(lease).Next(s, start); got != c.want {
				t.Fatalf("step %d, want %d", got, c.want)
			}
		})
	}
}

// vm is one simulated gateway in TestOrdersNeverOverlap. One that is not alive has stopped and said so, or was killed,
// which leaves a right without a claim.
type vm struct {
	right *Lease
	alive bool
}

// Drives several VMs over one log with suspensions between decision and send. Orders of different VMs must be a lease
// apart, and tokens must not fall.
func TestOrdersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		newest := Claim{Token: -1}
		vms := []*vm{}
		for range 3 {
			vms = append(vms, &vm{right: NewLease(lease), alive: true})
		}
		lastBy, lastToken, lastAt := -1, int64(-1), time.Time{}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			v := vms[i]
			name := string(rune('a' + i))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				before, last := UnknownPredecessor, time.Time{}
				if newest.Token < 0 {
					before = NoPredecessor
				} else if h := int(newest.Holder[0] - 'a'); !vms[h].alive && vms[h].right.Token() == newest.Token {
					before, last = StoppedPredecessor, vms[h].right.LastOrder()
				}
				newest = Claim{Holder: name, Token: newest.Token + 1}
				v.right.Claimed(newest.Token, before, last, now)
				v.alive = true
			case 1:
				began := now
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "read")) * time.Millisecond)
				v.right.Confirmed(newest, began)
			case 2:
				if rapid.Bool().Draw(t, "killed") {
					v.right = NewLease(lease)
				}
				v.alive = false
			case 3:
				if !v.alive || !v.right.MayOrder(now) {
					continue
				}
				v.right.Ordered(now)
				if lastBy >= 0 && lastBy != i && now.Sub(lastAt) < lease {
					t.Fatalf("VM %d orders %v after VM %d", i, now.Sub(lastAt), lastBy)
				}
				if v.right.Token() < lastToken {
					t.Fatalf("token %d after %d", v.right.Token(), lastToken)
				}
				lastBy, lastToken, lastAt = i, v.right.Token(), now
			}
		}
	})
}
