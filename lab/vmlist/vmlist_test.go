package vmlist

import (
	"testing"
	"time"
)

// A list without lag would hide that the router acts on old entries.
func TestListLags(t *testing.T) {
	s := New(Options{})
	t0 := time.Unix(1000, 0)
	s.set([]VM{{Name: "a"}}, t0)
	s.set(nil, t0.Add(time.Second))
	if l := s.at(t0.Add(1500*time.Millisecond), time.Second); len(l.VMs) != 1 || !l.AsOf.Equal(t0.Add(500*time.Millisecond)) {
		t.Fatalf("half a second after the change: %+v", l)
	}
	if l := s.at(t0.Add(2*time.Second), time.Second); len(l.VMs) != 0 {
		t.Fatalf("a second after the change: %+v", l)
	}
}
