package configsync

import (
	"maps"
	"time"
)

const (
	// ownReadGrace is the time for which a VM that reads the records itself waits for its own read before it asks a peer.
	ownReadGrace = 300 * time.Millisecond
	// askSpread is the time over which the VMs that leave the reading to others spread their first questions, so that those
	// that are answered first can answer the others.
	askSpread = 200 * time.Millisecond
	// askInterval is the interval between two questions. It is shorter than the time limit of a question, so that a peer that
	// hangs delays the records by no more than this.
	askInterval = 250 * time.Millisecond
	// avoidAsked is the time for which a peer that was asked is not asked again while there are others. A question that hangs
	// is given up by then.
	avoidAsked = time.Second
)

// CatchUp decides when a VM that lacks records which peers hold asks one of them, and which. The peers tell what they hold;
// nothing here depends on the moment at which they do. The zero value lacks nothing. It is not safe for concurrent use. The
// type does no I/O.
type CatchUp struct {
	// behindSince is when a peer first held records that this VM lacks, and askAt when the next question is due. Both are zero
	// while none does.
	behindSince, askAt time.Time
	// askedAt are the times, by VM, of the last questions since then.
	askedAt map[string]time.Time
}

// Behind records that a peer holds records that this VM lacks. reads is set if this VM reads the records itself. random
// returns a random duration below a limit.
func (c *CatchUp) Behind(reads bool, random func(time.Duration) time.Duration, now time.Time) {
	if c.IsBehind() {
		return
	}
	c.behindSince, c.askAt = now, now.Add(ownReadGrace)
	if !reads {
		c.askAt = now.Add(random(askSpread))
	}
}

// Applied records that this VM has newer records than before. If it still lacks some, the next digest of a peer tells.
func (c *CatchUp) Applied() {
	*c = CatchUp{}
}

// IsBehind reports whether this VM knows that it lacks records.
func (c *CatchUp) IsBehind() bool {
	return !c.behindSince.IsZero()
}

// BehindFor returns the time since this VM first knew that it lacks records, or zero if it knows of none.
func (c *CatchUp) BehindFor(now time.Time) time.Duration {
	if !c.IsBehind() {
		return 0
	}
	return max(0, now.Sub(c.behindSince))
}

// Due reports whether a peer is to be asked now.
func (c *CatchUp) Due(now time.Time) bool {
	return c.IsBehind() && !now.Before(c.askAt)
}

// Avoided reports whether a peer was asked so lately that another one is asked if there is one.
func (c *CatchUp) Avoided(vm string, now time.Time) bool {
	at, asked := c.askedAt[vm]
	return asked && now.Sub(at) < avoidAsked
}

// Asked records that a peer is asked.
func (c *CatchUp) Asked(vm string, now time.Time) {
	if c.askedAt == nil {
		c.askedAt = map[string]time.Time{}
	}
	maps.DeleteFunc(c.askedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= avoidAsked })
	c.askedAt[vm] = now
	c.askAt = now.Add(askInterval)
}
