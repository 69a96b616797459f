package once

import (
	"time"

	"github.com/google/uuid"
)

// Settings bound the time and the memory that a table uses.
type Settings struct {
	// VM and Incarnation name the local process. Both are required.
	VM          string
	Incarnation string
	// Retention is the time for which the log keeps records. Default 1 h.
	Retention time.Duration
	// Window is the time for which repeats are recognised, from the acceptance of the request. A request must end well
	// within it. Default half of Retention. UUIDv7 keys are recognised
	// for at most half of Retention, since their entries are not carried over.
	Window time.Duration
	// SendWithin is the longest time between acceptance and the send of a request. An intent that is read back
	// later is given up. Default 30 s. It must not exceed Margin.
	SendWithin time.Duration
	// Margin is the time for which an entry is held past the window. Default 2 min. It covers the age of an intent
	// that a holder may still send, and the clock differences between VMs and callers.
	Margin time.Duration
	// RetryAppend is the time after which a record that was not read back is appended again. Default 1 s.
	RetryAppend time.Duration
	// AskEvery is the time between two questions to the holder of an open intent. Default 500 ms.
	AskEvery time.Duration
	// MaxEntries is the number of keys from which on new ones are refused as not run. Default 200000. An entry takes
	// about 700 bytes without its answer.
	MaxEntries int
	// MaxResultBytes bounds the recorded bodies held in memory. The oldest bodies are dropped beyond it, and their
	// repeats are refused with run state run. Default 32 MiB.
	MaxResultBytes int64
	// MaxWaiting is the number of open intents of one key from which on repeats are refused at once. Default 16.
	MaxWaiting int
}

// withDefaults fills in the defaults and keeps the times consistent.
func (s Settings) withDefaults() Settings {
	setDuration(&s.Retention, time.Hour)
	setDuration(&s.Window, s.Retention/2)
	setDuration(&s.SendWithin, 30*time.Second)
	setDuration(&s.Margin, 2*time.Minute)
	setDuration(&s.RetryAppend, time.Second)
	setDuration(&s.AskEvery, 500*time.Millisecond)
	s.Margin = max(s.Margin, s.SendWithin)
	if s.MaxEntries <= 0 {
		s.MaxEntries = 200_000
	}
	if s.MaxResultBytes <= 0 {
		s.MaxResultBytes = 32 << 20
	}
	if s.MaxWaiting <= 0 {
		s.MaxWaiting = 16
	}
	return s
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// dated reports whether the key is a UUIDv7 whose time is believable for a request accepted at atMs. A key from
// the future is treated like any other key, since its age would not bound its repeats.
func (s *Settings) dated(key string, atMs int64) (int64, bool) {
	if len(key) != 36 {
		return 0, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, ms <= atMs+s.Margin.Milliseconds()
}

// datedWindow is the window of UUIDv7 keys.
func (s *Settings) datedWindow() time.Duration {
	return min(s.Window, s.Retention/2)
}

// window returns the time for which repeats of a key that is accepted at atMs are recognised.
func (s *Settings) window(key string, atMs int64) time.Duration {
	if _, ok := s.dated(key, atMs); ok {
		return s.datedWindow()
	}
	return s.Window
}
