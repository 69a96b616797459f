package once

import "time"

// GroupSettings limit the size and rate of batches. Zero values select the defaults.
type GroupSettings struct {
	// Delay is the longest time that a record waits for others of its stream. Default 5 ms.
	Delay time.Duration
	// MaxRecords is the largest number of records in a batch. Default 256.
	MaxRecords int
	// MaxBytes is the largest size of a batch in bytes. A larger record is appended alone. Default 512 KiB.
	MaxBytes int
	// AppendsPerSecond is this VM's share of the log service's append rate. Default 30, which keeps 9 VMs below 300
	// appends a second.
	AppendsPerSecond float64
	// Burst is the number of appends that may start without delay after an idle period. Default 8.
	Burst int
	// MaxQueued is the largest number of queued records over all streams. Default 8192.
	MaxQueued int
}

func (s GroupSettings) withDefaults() GroupSettings {
	setDefaultDuration(&s.Delay, 5*time.Millisecond)
	if s.MaxRecords <= 0 {
		s.MaxRecords = 256
	}
	if s.MaxBytes <= 0 {
		s.MaxBytes = 512 << 10
	}
	if s.AppendsPerSecond <= 0 {
		s.AppendsPerSecond = 30
	}
	if s.Burst <= 0 {
		s.Burst = 8
	}
	if s.MaxQueued <= 0 {
		s.MaxQueued = 8192
	}
	return s
}

// Batch is the content of one append.
type Batch struct {
	Stream string
	// Data holds the encoded records in order.
	Data [][]byte
}

// Group batches records per stream and limits the rate of appends. One append per stream is in flight at a time. It
// is not safe for concurrent use.
type Group struct {
	settings GroupSettings
	streams  map[string]*queue
	// queued holds the ids of the queued records, so that a repeated record is not queued twice while the log is
	// down.
	queued map[recordID]struct{}
	// tokens is the number of appends that may start, as computed at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// recordID identifies a queued record.
type recordID struct {
	kind  Kind
	nonce string
}

// queuedRecord is an encoded record that waits for a batch.
type queuedRecord struct {
	id   recordID
	data []byte
}

// queue holds the queued records of one stream.
type queue struct {
	records       []queuedRecord
	bytes         int
	oldestAddedAt time.Time
	inFlight      bool
}

// NewGroup returns an empty group.
func NewGroup(s GroupSettings) *Group {
	s = s.withDefaults()
	return &Group{settings: s, streams: make(map[string]*queue), queued: make(map[recordID]struct{}), tokens: float64(s.Burst)}
}

// SetRate sets this VM's share of the log's appends per second, for example after the number of VMs changed. A rate
// that is not positive is ignored.
func (g *Group) SetRate(appendsPerSecond float64, now time.Time) {
	g.refillTokens(now)
	if appendsPerSecond > 0 {
		g.settings.AppendsPerSecond = appendsPerSecond
	}
}

// Queued returns the number of queued records.
func (g *Group) Queued() int {
	return len(g.queued)
}

// Add queues a record, unless one of the same kind and nonce is queued already. It returns false if the queue is
// full; the record is then not appended.
func (g *Group) Add(r *Record, now time.Time) bool {
	id := recordID{kind: r.Kind, nonce: r.Nonce}
	if _, ok := g.queued[id]; ok {
		return true
	}
	if len(g.queued) >= g.settings.MaxQueued {
		return false
	}
	q := g.streams[r.Stream]
	if q == nil {
		q = &queue{}
		g.streams[r.Stream] = q
	}
	if len(q.records) == 0 {
		q.oldestAddedAt = now
	}
	w := queuedRecord{id: id, data: r.Encode()}
	q.records = append(q.records, w)
	q.bytes += len(w.data)
	g.queued[id] = struct{}{}
	return true
}

// Due removes and returns the batch to append now, or returns false if none is due. The caller must call Done when
// the append has ended.
func (g *Group) Due(now time.Time) (Batch, bool) {
	g.refillTokens(now)
	if g.tokens < 1 {
		return Batch{}, false
	}
	stream := ""
	for name, q := range g.streams {
		if !g.isDue(q, now) {
			continue
		}
		if stream == "" || g.olderThan(name, stream) {
			stream = name
		}
	}
	if stream == "" {
		return Batch{}, false
	}
	g.tokens--
	return Batch{Stream: stream, Data: g.dequeue(g.streams[stream])}, true
}

// olderThan reports whether stream a's oldest record was added before stream b's. Ties are broken by name.
func (g *Group) olderThan(a, b string) bool {
	qa, qb := g.streams[a], g.streams[b]
	if !qa.oldestAddedAt.Equal(qb.oldestAddedAt) {
		return qa.oldestAddedAt.Before(qb.oldestAddedAt)
	}
	return a < b
}

// isDue reports whether a batch of the queue is full or has waited long enough.
func (g *Group) isDue(q *queue, now time.Time) bool {
	if q.inFlight || len(q.records) == 0 {
		return false
	}
	full := len(q.records) >= g.settings.MaxRecords || q.bytes >= g.settings.MaxBytes
	return full || now.Sub(q.oldestAddedAt) >= g.settings.Delay
}

// dequeue removes and returns the next batch of a queue and marks its append as in flight.
func (g *Group) dequeue(q *queue) [][]byte {
	var batch [][]byte
	size := 0
	for len(batch) < min(len(q.records), g.settings.MaxRecords) {
		w := q.records[len(batch)]
		if len(batch) > 0 && size+len(w.data) > g.settings.MaxBytes {
			break
		}
		size += len(w.data)
		batch = append(batch, w.data)
		delete(g.queued, w.id)
	}
	q.records = q.records[len(batch):]
	q.bytes -= size
	q.inFlight = true
	return batch
}

// Done marks the append of a stream's batch as ended, whether it succeeded or not.
func (g *Group) Done(stream string) {
	if q := g.streams[stream]; q != nil {
		q.inFlight = false
	}
}

// Next returns the earliest time at which Due may return a batch. It returns false if every stream is empty or has an
// append in flight.
func (g *Group) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	found := false
	for _, q := range g.streams {
		if q.inFlight || len(q.records) == 0 {
			continue
		}
		at := q.oldestAddedAt.Add(g.settings.Delay)
		if g.isDue(q, now) {
			at = now
		}
		if !found || at.Before(next) {
			next = at
			found = true
		}
	}
	if !found {
		return time.Time{}, false
	}
	g.refillTokens(now)
	if g.tokens < 1 {
		wait := time.Duration((1 - g.tokens) / g.settings.AppendsPerSecond * float64(time.Second))
		// A rounded-down wait would wake the caller just before the token is available.
		if at := now.Add(wait + time.Microsecond); at.After(next) {
			next = at
		}
	}
	return next, true
}

// refillTokens adds the append tokens earned since the last call, up to Burst.
func (g *Group) refillTokens(now time.Time) {
	if !g.refilledAt.IsZero() && now.After(g.refilledAt) {
		g.tokens += now.Sub(g.refilledAt).Seconds() * g.settings.AppendsPerSecond
		g.tokens = min(g.tokens, float64(g.settings.Burst))
	}
	if now.After(g.refilledAt) {
		g.refilledAt = now
	}
}
