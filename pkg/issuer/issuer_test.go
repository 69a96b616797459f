package issuer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// orderGap is the least time between orders of two VMs.
const orderGap = 3 * time.Second

// Guards against engines with older weights being passed over for less loaded ones until their deadline for replacement
// has passed.
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

// Guards against orders of two holders that are less than the minimum gap apart.
func TestSuccessorWaitsForOlderHolder(t *testing.T) {
	for _, c := range []struct {
		name   string
		before Predecessor
		last   time.Time
		from   time.Time
	}{
		{"nobody before", NoPredecessor, time.Time{}, start},
		{"holder stopped", StoppedPredecessor, start.Add(-time.Second), start.Add(-time.Second + maxOrderTransit + orderGap)},
		{"holder unsure", UnknownPredecessor, time.Time{}, start.Add(ReadValidity + maxOrderTransit + orderGap)},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLease(orderGap)
			l.Claimed(7, c.before, c.last, start)
			held := Situation{Pending: true, Reachable: true, Holder: Claim{Holder: "v", Token: 7}}
			if c.from.After(start) && l.Next(held, c.from.Add(-time.Millisecond)) != Idle {
				t.Fatal("permits orders before the previous holder's orders have arrived")
			}
			if l.Next(held, c.from) != Act {
				t.Fatal("permits no orders after the wait has ended")
			}
		})
	}
}

// Guards against a holder that sends orders after a newer claim, or after a suspension that outlasted its last read.
func TestOldReadPermitsNoOrder(t *testing.T) {
	l := NewLease(orderGap)
	l.Claimed(7, NoPredecessor, time.Time{}, start)
	if !l.MayOrder(start) {
		t.Fatal("a new claim permits no order")
	}
	late := start.Add(ReadValidity)
	if l.MayOrder(late) {
		t.Fatal("an old read permits an order")
	}
	l.Confirmed(Claim{Holder: "w", Token: 8}, late)
	if l.MayOrder(late) {
		t.Fatal("a read that shows another claim permits an order")
	}
	l.Confirmed(Claim{Holder: "v", Token: 7}, late)
	if !l.MayOrder(late) {
		t.Fatal("a read that shows this VM's claim permits no order")
	}
	l.Fenced()
	if l.MayOrder(late) {
		t.Fatal("a fenced holder may send orders")
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
			if got := NewLease(orderGap).Next(s, start); got != c.want {
				t.Fatalf("step %d, want %d", got, c.want)
			}
		})
	}
}

// vm is a simulated gateway in TestOrdersNeverOverlap. A VM that is not alive has either announced its stop, or was
// killed, which leaves a lease without a claim.
type vm struct {
	lease *Lease
	alive bool
}

// Guards against overlapping holders: several VMs share one log and may be suspended between decision and send. Orders
// of different VMs must be at least the minimum gap apart, and tokens must not decrease.
func TestOrdersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		newest := Claim{Token: -1}
		vms := []*vm{}
		for range 3 {
			vms = append(vms, &vm{lease: NewLease(orderGap), alive: true})
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
				} else if h := int(newest.Holder[0] - 'a'); !vms[h].alive && vms[h].lease.Token() == newest.Token {
					before, last = StoppedPredecessor, vms[h].lease.LastOrder()
				}
				newest = Claim{Holder: name, Token: newest.Token + 1}
				v.lease.Claimed(newest.Token, before, last, now)
				v.alive = true
			case 1:
				began := now
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "read")) * time.Millisecond)
				v.lease.Confirmed(newest, began)
			case 2:
				if rapid.Bool().Draw(t, "killed") {
					v.lease = NewLease(orderGap)
				}
				v.alive = false
			case 3:
				if !v.alive || !v.lease.MayOrder(now) {
					continue
				}
				v.lease.Ordered(now)
				if lastBy >= 0 && lastBy != i && now.Sub(lastAt) < orderGap {
					t.Fatalf("VM %d sends an order %v after VM %d", i, now.Sub(lastAt), lastBy)
				}
				if v.lease.Token() < lastToken {
					t.Fatalf("token %d follows %d", v.lease.Token(), lastToken)
				}
				lastBy, lastToken, lastAt = i, v.lease.Token(), now
			}
		}
	})
}
