package affinity

import "slices"

// A process names its streams in several records, the segments, each under a key of its own. New streams go to the open
// segment. A full one is closed and is not written again while its streams expire, so that a write holds few of the streams of
// a process however long their callers may take them up. The key of a segment without streams is used again.

const (
	// segmentStreams is the number of streams from which a segment is closed.
	segmentStreams = 1024
	// sparseShare is the divisor of that number up to which a closed segment is merged into the open one.
	sparseShare = 4
)

// segment is one record of this process.
type segment struct {
	// key is the number of its key, and writer that which orders the records of the process, see Record.
	key, writer int
	streams     map[StreamID]struct{}
	// changed is the revision of the last change, and durable the newest one that the store holds.
	changed, durable int64
}

// isWritten reports whether the store holds the segment as it is.
func (s *segment) isWritten() bool {
	return s.changed <= s.durable
}

// retiredKey is the key of a segment that was given up. It may be used again once the store holds the records that name the
// streams which the segment named, as of the revision.
type retiredKey struct {
	key      int
	revision int64
}

// segments are the records of this process.
type segments struct {
	// open is the segment to which streams are added, and all holds it and the closed ones.
	open *segment
	all  map[*segment]struct{}
	// size is the number of streams from which a segment is closed.
	size int
	// streams is the number of streams in all segments.
	streams int
	// revision increases with each change of a segment.
	revision int64
	// keys and writers count the numbers given out. free are keys to be used again.
	keys, writers int
	free          []int
	retired       []retiredKey
	// opened is set once a segment was opened, until takeSparse is called.
	opened bool
}

func newSegments() segments {
	return segments{all: map[*segment]struct{}{}, size: segmentStreams}
}

// add has the open segment name a stream that another segment, or none, named before. It returns the segment and the revision
// from which it names the stream.
func (s *segments) add(id StreamID, before *segment) (to *segment, revision int64) {
	if s.open == nil || len(s.open.streams) >= s.size && before != s.open {
		s.openNext()
	}
	to = s.open
	if before != to {
		to.streams[id] = struct{}{}
		s.streams++
	}
	s.change(to)
	if before != nil && before != to {
		s.remove(id, before)
	}
	return to, to.changed
}

// touch has the open segment written again.
func (s *segments) touch() {
	if s.open == nil {
		s.openNext()
	}
	s.change(s.open)
}

// change records that a segment has to be written.
func (s *segments) change(to *segment) {
	s.revision++
	to.changed = s.revision
}

// remove removes a stream from a segment. A closed segment without streams is given up.
func (s *segments) remove(id StreamID, from *segment) {
	delete(from.streams, id)
	s.streams--
	if len(from.streams) > 0 || from == s.open {
		return
	}
	delete(s.all, from)
	s.retired = append(s.retired, retiredKey{key: from.key, revision: s.revision})
}

// openNext closes the open segment and opens another one.
func (s *segments) openNext() {
	s.writers++
	s.open = &segment{key: s.nextKey(), writer: s.writers, streams: map[StreamID]struct{}{}}
	s.all[s.open] = struct{}{}
	s.opened = true
}

// nextKey returns a key that no segment uses.
func (s *segments) nextKey() int {
	s.retired = slices.DeleteFunc(s.retired, func(r retiredKey) bool {
		if !s.isDurable(r.revision) {
			return false
		}
		s.free = append(s.free, r.key)
		return true
	})
	if n := len(s.free); n > 0 {
		key := s.free[n-1]
		s.free = s.free[:n-1]
		return key
	}
	s.keys++
	return s.keys
}

// isDurable reports whether the store holds all segments as of a revision.
func (s *segments) isDurable(revision int64) bool {
	for each := range s.all {
		if !each.isWritten() && each.durable < revision {
			return false
		}
	}
	return true
}

// abandonKey gives up a key after a write without an answer, which may take effect after later ones. The segment that has it
// goes on under another one.
func (s *segments) abandonKey(key int) {
	isKey := func(other int) bool { return other == key }
	s.free = slices.DeleteFunc(s.free, isKey)
	s.retired = slices.DeleteFunc(s.retired, func(r retiredKey) bool { return isKey(r.key) })
	for each := range s.all {
		if !isKey(each.key) {
			continue
		}
		s.keys++
		s.writers++
		each.key, each.writer = s.keys, s.writers
		s.change(each)
	}
}

// takeSparse returns, once after a segment was opened, the closed segment with the fewest streams. There is none if all are
// more than a quarter full, so the number of segments is bounded by that of the streams.
func (s *segments) takeSparse() *segment {
	if !s.opened {
		return nil
	}
	s.opened = false
	var found *segment
	for candidate := range s.all {
		if candidate == s.open || len(candidate.streams) > s.size/sparseShare {
			continue
		}
		if found == nil || len(candidate.streams) < len(found.streams) {
			found = candidate
		}
	}
	return found
}

// changeAll has all segments written again.
func (s *segments) changeAll() {
	for each := range s.all {
		s.change(each)
	}
}

// next returns the segment to write now, or nil. The open one comes first, since events wait for its streams.
func (s *segments) next() *segment {
	if s.open != nil && !s.open.isWritten() {
		return s.open
	}
	var found *segment
	for candidate := range s.all {
		if !candidate.isWritten() && (found == nil || candidate.changed < found.changed) {
			found = candidate
		}
	}
	return found
}
