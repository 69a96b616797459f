package limit

import "time"

// idSet remembers ids for a bounded time in two generations: an id is kept for at least remember and at most
// twice as long.
type idSet struct {
	young map[string]struct{}
	old   map[string]struct{}
	// turnAt is when the young generation becomes the old one.
	turnAt time.Time
}

func newIDSet() idSet {
	return idSet{young: map[string]struct{}{}, old: map[string]struct{}{}}
}

// add remembers the id. It returns Granted for a new one, Counted for a known one and Busy when the set is full.
func (s *idSet) add(id string, now time.Time) Outcome {
	if now.After(s.turnAt) {
		s.old = s.young
		s.young = map[string]struct{}{}
		s.turnAt = now.Add(remember)
	}
	_, young := s.young[id]
	_, old := s.old[id]
	if young || old {
		return Counted
	}
	if len(s.young) >= rememberMost {
		return Busy
	}
	s.young[id] = struct{}{}
	return Granted
}
