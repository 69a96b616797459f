package once

import "time"

// BatcherSettings limit the size and rate of batches. Zero values select the defaults.
type BatcherSettings struct {
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

func (s BatcherSettings) withDefaults() BatcherSettings {
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

// Batcher batches records per stream and limits the rate of appends. One append per stream is in flight at a time. It
// is not safe for concurrent use.
type Batcher struct {
	settings BatcherSettings
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

// NewBatcher returns an empty batcher.
func NewBatcher(s BatcherSettings) *Batcher {
	s = s.withDefaults()
	return &Batcher{
		settings: s,
		streams:  make(map[string]*queue),
		queued:   make(map[recordID]struct{}),
		tokens:   float64(s.Burst),
	}
}

// SetRate sets this VM's share of the log's appends per second, for example after the number of VMs changed. A rate
// that is not positive is ignored.
func (b *Batcher) SetRate(appendsPerSecond float64, now time.Time) {
	b.refillTokens(now)
	if appendsPerSecond > 0 {
		b.settings.AppendsPerSecond = appendsPerSecond
	}
}

// Queued returns the number of queued records.
func (b *Batcher) Queued() int {
	return len(b.queued)
}

// Add queues a record, unless one of the same kind and nonce is queued already. It returns false if the queue is
// full; the record is then not appended.
func (b *Batcher) Add(r *Record, now time.Time) bool {
	id := recordID{kind: r.Kind, nonce: r.Nonce}
	if _, ok := b.queued[id]; ok {
		return true
	}
	if len(b.queued) >= b.settings.MaxQueued {
		return false
	}
	q := b.streams[r.Stream]
	if q == nil {
		q = &queue{}
		b.streams[r.Stream] = q
	}
	if len(q.records) == 0 {
		q.oldestAddedAt = now
	}
	w := queuedRecord{id: id, data: r.Encode()}
	q.records = append(q.records, w)
	q.bytes += len(w.data)
	b.queued[id] = struct{}{}
	return true
}

// TakeBatch removes and returns the batch to append now, or returns false if none is due. The caller must call Done
// when the append has ended.
func (b *Batcher) TakeBatch(now time.Time) (Batch, bool) {
	b.refillTokens(now)
	if b.tokens < 1 {
		return Batch{}, false
	}
	stream := ""
	for name, q := range b.streams {
		if !b.isDue(q, now) {
			continue
		}
		if stream == "" || b.olderThan(name, stream) {
			stream = name
		}
	}
	if stream == "" {
		return Batch{}, false
	}
	b.tokens--
	return Batch{Stream: stream, Data: b.dequeue(b.streams[stream])}, true
}

// olderThan reports whether the oldest record of stream was added before that of other. Ties are broken by name.
func (b *Batcher) olderThan(stream, other string) bool {
	q, otherQueue := b.streams[stream], b.streams[other]
	if !q.oldestAddedAt.Equal(otherQueue.oldestAddedAt) {
		return q.oldestAddedAt.Before(otherQueue.oldestAddedAt)
	}
	return stream < other
}

// isDue reports whether a batch of the queue is full or has waited long enough.
func (b *Batcher) isDue(q *queue, now time.Time) bool {
	if q.inFlight || len(q.records) == 0 {
		return false
	}
	full := len(q.records) >= b.settings.MaxRecords || q.bytes >= b.settings.MaxBytes
	return full || now.Sub(q.oldestAddedAt) >= b.settings.Delay
}

// dequeue removes and returns the next batch of a queue and marks its append as in flight.
func (b *Batcher) dequeue(q *queue) [][]byte {
	var batch [][]byte
	size := 0
	for len(batch) < min(len(q.records), b.settings.MaxRecords) {
		w := q.records[len(batch)]
		if len(batch) > 0 && size+len(w.data) > b.settings.MaxBytes {
			break
		}
		size += len(w.data)
		batch = append(batch, w.data)
		delete(b.queued, w.id)
	}
	q.records = q.records[len(batch):]
	q.bytes -= size
	q.inFlight = true
	return batch
}

// Done marks the append of a stream's batch as ended, whether it succeeded or not.
func (b *Batcher) Done(stream string) {
	if q := b.streams[stream]; q != nil {
		q.inFlight = false
	}
}

// NextDue returns the earliest time at which TakeBatch may return a batch. It returns false if every stream is empty
// or has an append in flight.
func (b *Batcher) NextDue(now time.Time) (time.Time, bool) {
	var next time.Time
	found := false
	for _, q := range b.streams {
		if q.inFlight || len(q.records) == 0 {
			continue
		}
		at := q.oldestAddedAt.Add(b.settings.Delay)
		if b.isDue(q, now) {
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
	b.refillTokens(now)
	if b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / b.settings.AppendsPerSecond * float64(time.Second))
		// A rounded-down wait would wake the caller just before the token is available.
		if at := now.Add(wait + time.Microsecond); at.After(next) {
			next = at
		}
	}
	return next, true
}

// refillTokens adds the append tokens earned since the last call, up to Burst.
func (b *Batcher) refillTokens(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens += now.Sub(b.refilledAt).Seconds() * b.settings.AppendsPerSecond
		b.tokens = min(b.tokens, float64(b.settings.Burst))
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}
