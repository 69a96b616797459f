package share

import "time"

// Preview is what Take or TakeToResume would return, and the estimated number of tokens left over all VMs.
type Preview struct {
	Allowed bool
	Wait    time.Duration
	Level   int64
	// Limited is set if the workspace has a rate.
	Limited bool
}

// Preview returns what Take would return, or TakeToResume if resumes is set, without a change of any state.
func (l *Limiter) Preview(workspace string, cost int64, resumes bool, now time.Time) Preview {
	b := l.buckets[workspace]
	if b == nil {
		return Preview{Allowed: true}
	}
	charged := *b
	reader := *l
	reader.buckets = map[string]*bucket{workspace: &charged}
	reader.refill(&charged, now)
	out := Preview{Limited: true, Level: reader.Level(workspace, now)}
	take := reader.Take
	if resumes {
		take = reader.TakeToResume
	}
	out.Allowed, out.Wait = take(workspace, cost, now)
	return out
}
