//go:build review

package main

import "time"

// addGap is the time between two machines that are added.
const addGap = 1400 * time.Millisecond

// precedenceCase adds three machines, one after the other, and then names new weights. Without the disruption they are added at
// the same time.
func precedenceCase(l *lab, trouble bool) (bool, error) {
	if err := l.startSite(9, 3); err != nil {
		return false, err
	}
	traffic := l.startDrafts()
	time.Sleep(2 * stabilityWindow)
	for _, added := range []struct{ name, zone string }{
		{"front-accra-a-4", "accra-a"}, {"front-accra-b-3", "accra-b"}, {"front-accra-c-3", "accra-c"},
	} {
		v, err := l.addVM(added.name, added.zone, false)
		if err != nil {
			return false, err
		}
		l.line("machine %s is added", v.name)
		if trouble {
			time.Sleep(addGap)
		}
	}
	if err := l.awaitReady(l.vms...); err != nil {
		return false, err
	}
	time.Sleep(2 * stabilityWindow)
	l.line("until now drafts %s", traffic.take())
	l.nameWeights(2)
	return l.judgeWeights(2, time.Now(), 0, traffic)
}
