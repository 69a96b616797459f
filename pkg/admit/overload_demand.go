package admit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/splitmix"
)

const (
	// demandHalfLife is the half-life of the demand by class and workspace.
	demandHalfLife = 2 * time.Second
	// servedFloor is the least served share of any class and workspace, as part of the served share of all. No one may
	// fall below a quarter of all; the rest is for the error of the estimates.
	servedFloor = 0.5
	// protectedShare is the least part of its own objective by which a request is judged for the sake of more urgent ones.
	// With less, the least urgent kind falls to a third of all while a longer wait would do it no harm.
	protectedShare = 0.75
	// hashWindow is the time for which a subject keeps its rank. Over several windows all have the same chance.
	hashWindow = 500 * time.Millisecond
	// subjectGroups is the number of groups with ranks of their own into which the requests of a subject fall. Otherwise
	// a subject with most of the demand would be admitted or refused as a whole.
	subjectGroups = 4
	// refusedKeptFor is the time for which a refused request is known when it comes back, and maxRefusedKept the number
	// of those kept.
	refusedKeptFor = 10 * time.Second
	maxRefusedKept = 4096
	// forgottenDemand is the demand, in tokens, below which a class or workspace is dropped.
	forgottenDemand = 1.0
)

// class groups requests by rank.
type class struct {
	urgency  int
	returned bool
}

// compareClasses orders classes by who is refused first: the least urgent, and new requests before those that were
// refused before.
func compareClasses(a, b class) int {
	if a.urgency != b.urgency {
		return cmp.Compare(b.urgency, a.urgency)
	}
	switch {
	case a.returned == b.returned:
		return 0
	case b.returned:
		return -1
	}
	return 1
}

// workspaceDemand is the recent demand of a workspace, in tokens, and its weight.
type workspaceDemand struct {
	tokens, weight float64
}

// demand is the recent work that was asked for, decayed.
type demand struct {
	classes map[class]float64
	// objectives holds the strictest objective of the requests of each urgency.
	objectives map[int]time.Duration
	workspaces map[string]workspaceDemand
	at         time.Time
}

func newDemand() demand {
	return demand{classes: map[class]float64{}, objectives: map[int]time.Duration{}, workspaces: map[string]workspaceDemand{}}
}

// add counts the work of a request.
func (d *demand) add(c class, s Situation, now time.Time) {
	d.decay(now)
	cost := float64(max(s.Cost, 1))
	d.classes[c] += cost
	if o := d.objectives[c.urgency]; s.Objective > 0 && (o == 0 || s.Objective < o) {
		d.objectives[c.urgency] = s.Objective
	}
	w := d.workspaces[s.Workspace]
	w.tokens += cost
	w.weight = s.Weight
	if w.weight <= 0 {
		w.weight = 1
	}
	d.workspaces[s.Workspace] = w
}

// decay reduces the demand to the present time, in steps of levelInterval.
func (d *demand) decay(now time.Time) {
	if d.at.IsZero() {
		d.at = now
	}
	passed := now.Sub(d.at)
	if passed < levelInterval {
		return
	}
	d.at = now
	factor := math.Exp2(-float64(passed) / float64(demandHalfLife))
	for c, tokens := range d.classes {
		d.classes[c] = tokens * factor
	}
	maps.DeleteFunc(d.classes, func(_ class, tokens float64) bool { return tokens < forgottenDemand })
	maps.DeleteFunc(d.objectives, func(urgency int, _ time.Duration) bool {
		return d.classes[class{urgency: urgency}] == 0 && d.classes[class{urgency: urgency, returned: true}] == 0
	})
	for name, w := range d.workspaces {
		w.tokens *= factor
		d.workspaces[name] = w
	}
	maps.DeleteFunc(d.workspaces, func(_ string, w workspaceDemand) bool { return w.tokens < forgottenDemand })
}

// strictest returns the strictest objective of the requests that are at least as urgent.
func (d *demand) strictest(s Situation) time.Duration {
	least := s.Objective
	for urgency, o := range d.objectives {
		if urgency <= s.Urgency {
			least = min(least, o)
		}
	}
	return least
}

// protected returns the objective by which a request is judged. A wait that makes more urgent requests late is too long
// for the less urgent ones too, although these have more time.
func (d *demand) protected(s Situation) time.Duration {
	return max(d.strictest(s), scale(s.Objective, protectedShare))
}

// refuses reports whether a request is among the given share of the demand that is refused.
func (d *demand) refuses(c class, s Situation, share float64, now time.Time) bool {
	refused := d.classShare(c, d.workspaceShare(s.Workspace, share))
	refused = min(refused, 1-servedFloor*(1-share))
	return rank(s, now) < refused
}

// workspaceShare returns the refused share of a workspace's demand: the admitted work is divided by weight, and what a
// workspace does not ask for goes to the others (max-min fairness by weight).
func (d *demand) workspaceShare(name string, share float64) float64 {
	asked := slices.Collect(maps.Values(d.workspaces))
	// Workspaces that ask for the least, compared to their weights, get all of it.
	slices.SortFunc(asked, func(a, b workspaceDemand) int { return cmp.Compare(a.tokens/a.weight, b.tokens/b.weight) })
	total, weights := 0.0, 0.0
	for _, w := range asked {
		total += w.tokens
		weights += w.weight
	}
	left := total * (1 - share)
	perWeight := 0.0
	for _, w := range asked {
		perWeight = left / weights
		if w.tokens > perWeight*w.weight {
			break
		}
		left -= w.tokens
		weights -= w.weight
	}
	w := d.workspaces[name]
	return 1 - min(perWeight*w.weight/max(w.tokens, forgottenDemand), 1)
}

// classShare returns the refused share of a class if the given share of all is refused, in the order of compareClasses.
func (d *demand) classShare(c class, share float64) float64 {
	total, before := 0.0, 0.0
	for other, tokens := range d.classes {
		total += tokens
		if compareClasses(other, c) < 0 {
			before += tokens
		}
	}
	own := max(d.classes[c], forgottenDemand)
	return min(max((share*total-before)/own, 0), 1)
}

// rank returns a number from 0 to 1 that is the same for similar requests of a subject within hashWindow.
func rank(s Situation, now time.Time) float64 {
	group := s.Request % subjectGroups
	if s.Subject == 0 {
		group = s.Request
	}
	key := splitmix.Hash(s.Subject ^ splitmix.Hash(group))
	// Windows of different subjects begin at different times. Otherwise those that come back would be admitted together.
	window := (uint64(now.UnixNano()) + key%uint64(hashWindow)) / uint64(hashWindow)
	const mantissaBits = 53
	return float64(splitmix.Hash(key^splitmix.Hash(window))>>(64-mantissaBits)) / (1 << mantissaBits)
}

// returned holds the requests that were refused lately, in two generations.
type returned struct {
	current, previous map[uint64]struct{}
	rotatedAt         time.Time
}

func newReturned() returned {
	return returned{current: map[uint64]struct{}{}}
}

// add records a refused request. Zero means that it is not known when it comes back.
func (r *returned) add(request uint64, now time.Time) {
	if request == 0 {
		return
	}
	r.rotate(now)
	r.current[request] = struct{}{}
}

// take reports whether a request was refused before, and drops it.
func (r *returned) take(request uint64, now time.Time) bool {
	r.rotate(now)
	_, current := r.current[request]
	_, previous := r.previous[request]
	delete(r.current, request)
	delete(r.previous, request)
	return current || previous
}

// rotate drops requests after refusedKeptFor at the latest.
func (r *returned) rotate(now time.Time) {
	if now.Sub(r.rotatedAt) < refusedKeptFor/2 && len(r.current) < maxRefusedKept/2 {
		return
	}
	r.previous, r.current = r.current, map[uint64]struct{}{}
	r.rotatedAt = now
}
