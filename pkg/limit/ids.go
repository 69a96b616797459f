package limit

import "time"

// idSet is a set of recently seen ids in two generations. An id is kept for at least idRetention and at most twice as
// long.
type idSet struct {
	current  map[string]struct{}
	previous map[string]struct{}
	// rotateAt is the time at which the current generation becomes the previous one.
	rotateAt time.Time
}

func newIDSet() idSet {
	return idSet{current: map[string]struct{}{}, previous: map[string]struct{}{}}
}

// add inserts the id. It returns Granted for a new id, Duplicate for an id in the set, and TooManyIDs if the set is
// full.
func (s *idSet) add(id string, now time.Time) Outcome {
	if now.After(s.rotateAt) {
		s.previous = s.current
		s.current = map[string]struct{}{}
		s.rotateAt = now.Add(idRetention)
	}
	_, current := s.current[id]
	_, previous := s.previous[id]
	if current || previous {
		return Duplicate
	}
	if len(s.current) >= maxIDs {
		return TooManyIDs
	}
	s.current[id] = struct{}{}
	return Granted
}
