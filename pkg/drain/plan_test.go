package drain

import (
	"testing"
	"time"
)

// Guards against times of a stop that are out of order or beyond its grace, however short it is.
func TestStopFitsIntoItsGrace(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		p := NewPlan(grace)
		if p.RefuseRequests <= 0 || p.CloseListener < p.RefuseRequests || p.LastSend < p.RefuseRequests || p.End < p.LastSend ||
			p.End < p.CloseListener || p.End >= grace {
			t.Errorf("grace %v: %+v", grace, p)
		}
		if p.End-p.LastSend < (grace-p.RefuseRequests)/4 {
			t.Errorf("grace %v: a request may be sent %v before the end", grace, p.End-p.LastSend)
		}
	}
	if p := NewPlan(8 * time.Second); p.RefuseRequests != maxRefusalDelay || p.CloseListener != maxListenerCloseDelay {
		t.Errorf("a balancer that notices after 2 s still sends to this VM: %+v", p)
	}
}
