package crashguard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// NewsPeriod is the time for which a crash is news.
	NewsPeriod = 3 * time.Second
	// MaxNews limits the crashes that are told at once.
	MaxNews = 128
)

// NewsItem is a crash that this VM recorded or cleared lately.
type NewsItem struct {
	Crash
	RecordedAt time.Time
	// told is how often it was told.
	told int
}

// News holds the crashes that this VM recorded or cleared lately, to be told to its peers. It is not safe for concurrent use.
type News struct {
	// items are oldest first.
	items []*NewsItem
}

// Add adds a crash.
func (n *News) Add(c Crash, now time.Time) {
	n.items = append(n.items, &NewsItem{Crash: c, RecordedAt: now})
}

// Take returns the crashes to tell now, and how many were left out. If there are too many, those of requests with the most crashes
// come first, then those that were told least often, so that all are told in turn, and among these the newest.
func (n *News) Take(t *Tally, now time.Time) (told []NewsItem, leftOut int) {
	n.items = slices.DeleteFunc(n.items, func(i *NewsItem) bool { return now.Sub(i.RecordedAt) >= NewsPeriod })
	chosen := n.items
	if leftOut = max(len(chosen)-MaxNews, 0); leftOut > 0 {
		chosen = slices.Clone(chosen)
		slices.SortStableFunc(chosen, func(a, b *NewsItem) int {
			danger := cmp.Compare(t.CrashCount(b.Fingerprint), t.CrashCount(a.Fingerprint))
			return cmp.Or(danger, cmp.Compare(a.told, b.told), b.RecordedAt.Compare(a.RecordedAt))
		})
		chosen = chosen[:MaxNews]
	}
	for _, i := range chosen {
		i.told++
		i.Late = t.LateCrashes(i.Fingerprint)
		told = append(told, *i)
	}
	return told, leftOut
}
