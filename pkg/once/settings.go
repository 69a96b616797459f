package once

import (
	"time"

	"github.com/google/uuid"
)

// Settings configure a Table. Zero values select the defaults.
type Settings struct {
	// VM and Incarnation identify the local process. Both are required.
	VM          string
	Incarnation string
	// Retention is the time for which the log keeps records. Default 1 h.
	Retention time.Duration
	// Window is the time for which repeats are recognised, counted from the acceptance of the request. A request must
	// end well within it. Default half of Retention. UUIDv7 keys are recognised for at most half of Retention,
	// because their entries are not carried over.
	Window time.Duration
	// SendWithin is the longest time between accepting and sending a request. An intent that is read back later is
	// abandoned. Default 30 s. Margin is raised to it if shorter.
	SendWithin time.Duration
	// Margin is the time for which an entry is held after its window. It covers the age of an intent that a holder
	// may still send and the clock differences between VMs and callers. Default 2 min.
	Margin time.Duration
	// ReappendInterval is the time after which a record that was not read back is appended again. Default 1 s.
	ReappendInterval time.Duration
	// AskInterval is the time between two queries to the holder of an open intent. Default 500 ms.
	AskInterval time.Duration
	// MaxEntries is the number of held keys at which new keys are refused as not run. An entry takes about 700 bytes
	// without its response. Default 200000.
	MaxEntries int
	// MaxResultBytes limits the memory of recorded responses. Beyond it the oldest responses are dropped, and their
	// repeats are refused with run state run. Default 32 MiB.
	MaxResultBytes int64
	// MaxWaiting is the number of open intents of one key at which repeats are refused at once. Default 16.
	MaxWaiting int
}

// withDefaults returns the settings with defaults filled in and Margin at least SendWithin.
func (s Settings) withDefaults() Settings {
	setDefaultDuration(&s.Retention, time.Hour)
	setDefaultDuration(&s.Window, s.Retention/2)
	setDefaultDuration(&s.SendWithin, 30*time.Second)
	setDefaultDuration(&s.Margin, 2*time.Minute)
	setDefaultDuration(&s.ReappendInterval, time.Second)
	setDefaultDuration(&s.AskInterval, 500*time.Millisecond)
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

// setDefaultDuration sets a duration that is not positive to the default.
func setDefaultDuration(d *time.Duration, defaultValue time.Duration) {
	if *d <= 0 {
		*d = defaultValue
	}
}

// uuidV7Time returns the time of a UUIDv7 key in milliseconds since 1970. It returns false for other keys and for a
// time more than Margin after acceptedMs: the age of a key from the future would not limit its repeats, so it is
// treated like any other key.
func (s *Settings) uuidV7Time(key string, atMs int64) (int64, bool) {
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

// uuidV7Window returns the window of UUIDv7 keys.
func (s *Settings) uuidV7Window() time.Duration {
	return min(s.Window, s.Retention/2)
}

// window returns the time for which repeats of a key that is accepted at acceptedMs are recognised.
func (s *Settings) window(key string, atMs int64) time.Duration {
	if _, ok := s.uuidV7Time(key, atMs); ok {
		return s.uuidV7Window()
	}
	return s.Window
}
