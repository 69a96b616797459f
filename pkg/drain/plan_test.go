package drain

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/standstill"
)

// Guards against times of a stop that are out of order or beyond its grace, however short it is.
func TestStopFitsIntoItsGrace(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		p := NewPlan(grace)
		if p.RefuseRequests <= 0 || p.CloseListener < p.RefuseRequests || p.LastSend < p.RefuseRequests || p.Report < p.LastSend ||
			p.Report < p.CloseListener || p.Report >= grace {
			t.Errorf("grace %v: %+v", grace, p)
		}
		if p.Report-p.LastSend < (grace-p.RefuseRequests)/4 {
			t.Errorf("grace %v: a request may be sent %v before the end", grace, p.Report-p.LastSend)
		}
	}
	if p := NewPlan(8 * time.Second); p.RefuseRequests != maxRefusalDelay || p.CloseListener != maxListenerCloseDelay {
		t.Errorf("a balancer that notices after 2 s still sends to this VM: %+v", p)
	}
}

// Guards against a plan that counts the grace from the time at which a process that stood still took the signal.
func TestGraceBeginsWithTheStandstill(t *testing.T) {
	from := time.Unix(1000, 0)
	gap := standstill.Gap{From: from, To: from.Add(1500 * time.Millisecond)}
	if got := SignalledAt(gap.To.Add(20*time.Millisecond), gap); !got.Equal(from) {
		t.Errorf("taken right after a standstill: %v after its begin", got.Sub(from))
	}
	later := gap.To.Add(time.Second)
	if got := SignalledAt(later, gap); !got.Equal(later) {
		t.Errorf("taken long after a standstill: %v before", later.Sub(got))
	}
	if got := SignalledAt(later, standstill.Gap{}); !got.Equal(later) {
		t.Errorf("without a standstill: %v before", later.Sub(got))
	}
}
