package once

import "time"

// GroupSettings bound the batches of a group.
type GroupSettings struct {
	// Delay is the longest time for which a record waits for others. Default 5 ms.
	Delay time.Duration
	// MaxRecords is the number of records of one batch. Default 256.
	MaxRecords int
	// MaxBytes is the size of one batch in bytes. A larger record goes alone. Default 512 KiB.
	MaxBytes int
	// AppendsPerSecond is this VM's share of what the log service takes. Default 30, which keeps 9 VMs below 300
	// appends a second.
	AppendsPerSecond float64
	// Burst is the number of appends that may follow each other at once. Default 8.
	Burst int
	// MaxQueued is the number of records that wait over all streams. Default 8192.
	MaxQueued int
}

func (s GroupSettings) withDefaults() GroupSettings {
	setDuration(&s.Delay, 5*time.Millisecond)
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

// Batch is one append.
type Batch struct {
	Stream string
	// Data holds the encoded records in order.
	Data [][]byte
}

// Group collects records per stream and says when a batch is due. One append per stream is in flight at a time.
// It is not safe for concurrent use.
type Group struct {
	s       GroupSettings
	streams map[string]*queue
	// queued holds the records that wait, so that a repeat of one is not queued twice while the log is down.
	queued map[recordID]struct{}
	// tokens is the number of appends that may start; filled is when it was computed.
	tokens float64
	filled time.Time
}

// recordID tells records of a group apart.
type recordID struct {
	kind  Kind
	nonce string
}

// waiting is one queued record.
type waiting struct {
	id   recordID
	data []byte
}

// queue holds the waiting records of one stream.
type queue struct {
	records  []waiting
	bytes    int
	oldest   time.Time
	inFlight bool
}

// NewGroup returns an empty group.
func NewGroup(s GroupSettings) *Group {
	s = s.withDefaults()
	return &Group{s: s, streams: make(map[string]*queue), queued: make(map[recordID]struct{}), tokens: float64(s.Burst)}
}

// SetRate sets this VM's share of the log's appends per second, for example after the number of VMs changed.
func (g *Group) SetRate(appendsPerSecond float64, now time.Time) {
	g.fill(now)
	if appendsPerSecond > 0 {
		g.s.AppendsPerSecond = appendsPerSecond
	}
}

// Queued returns the number of waiting records.
func (g *Group) Queued() int {
	return len(g.queued)
}

// Add queues a record. A record of the same kind and nonce that still waits is kept instead. It returns false where
// the queue is full; the record is then not appended.
func (g *Group) Add(r *Record, now time.Time) bool {
	id := recordID{kind: r.Kind, nonce: r.Nonce}
	if _, ok := g.queued[id]; ok {
		return true
	}
	if len(g.queued) >= g.s.MaxQueued {
		return false
	}
	q := g.streams[r.Stream]
	if q == nil {
		q = &queue{}
		g.streams[r.Stream] = q
	}
	if len(q.records) == 0 {
		q.oldest = now
	}
	w := waiting{id: id, data: r.Encode()}
	q.records = append(q.records, w)
	q.bytes += len(w.data)
	g.queued[id] = struct{}{}
	return true
}

// Due returns the batch to append now, or false. Call Done when its append has ended.
func (g *Group) Due(now time.Time) (Batch, bool) {
	g.fill(now)
	if g.tokens < 1 {
		return Batch{}, false
	}
	stream := ""
	for name, q := range g.streams {
		if !g.ready(q, now) {
			continue
		}
		if stream == "" || g.before(name, stream) {
			stream = name
		}
	}
	if stream == "" {
		return Batch{}, false
	}
	g.tokens--
	return Batch{Stream: stream, Data: g.take(g.streams[stream])}, true
}

// before orders streams by their oldest record.
func (g *Group) before(a, b string) bool {
	qa, qb := g.streams[a], g.streams[b]
	if !qa.oldest.Equal(qb.oldest) {
		return qa.oldest.Before(qb.oldest)
	}
	return a < b
}

func (g *Group) ready(q *queue, now time.Time) bool {
	if q.inFlight || len(q.records) == 0 {
		return false
	}
	full := len(q.records) >= g.s.MaxRecords || q.bytes >= g.s.MaxBytes
	return full || now.Sub(q.oldest) >= g.s.Delay
}

// take removes a batch from a queue.
func (g *Group) take(q *queue) [][]byte {
	var batch [][]byte
	size := 0
	for len(batch) < min(len(q.records), g.s.MaxRecords) {
		w := q.records[len(batch)]
		if len(batch) > 0 && size+len(w.data) > g.s.MaxBytes {
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

// Done tells that the append of a stream's batch has ended, whatever its outcome.
func (g *Group) Done(stream string) {
	if q := g.streams[stream]; q != nil {
		q.inFlight = false
	}
}

// Next returns the time at which Due is worth calling again, or false where nothing waits for time to pass.
func (g *Group) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	found := false
	for _, q := range g.streams {
		if q.inFlight || len(q.records) == 0 {
			continue
		}
		at := q.oldest.Add(g.s.Delay)
		if g.ready(q, now) {
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
	g.fill(now)
	if g.tokens < 1 {
		wait := time.Duration((1 - g.tokens) / g.s.AppendsPerSecond * float64(time.Second))
		// A rounded-down wait would wake the caller just before the token exists.
		if at := now.Add(wait + time.Microsecond); at.After(next) {
			next = at
		}
	}
	return next, true
}

func (g *Group) fill(now time.Time) {
	if !g.filled.IsZero() && now.After(g.filled) {
		g.tokens += now.Sub(g.filled).Seconds() * g.s.AppendsPerSecond
		g.tokens = min(g.tokens, float64(g.s.Burst))
	}
	if now.After(g.filled) {
		g.filled = now
	}
}
