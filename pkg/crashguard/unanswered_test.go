package crashguard

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

// Guards against crashes that are not counted because the endpoint ended without closing its connections, and against
// accusing requests that an endpoint survived.
func TestUnansweredAttemptsCountOnceTheEndpointHasEnded(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	silent := fleet.Incarnation{ID: "a", StartTimeMs: 1}
	ended := func(s fleet.Incarnation) bool { return s == silent }
	running := func(fleet.Incarnation) bool { return false }
	u := NewUnansweredAttempts()
	u.Add(7, silent, at(0), at(2))
	u.Add(8, silent, at(1), at(3))
	if crashes := u.TakeCrashes(running, at(4)); len(crashes) != 0 {
		t.Fatalf("crashes of a running endpoint: %v", crashes)
	}
	u.RecordAnswer(silent, at(1))
	crashes := u.TakeCrashes(ended, at(5))
	if len(crashes) != 1 || crashes[0] != (Crash{Fingerprint: 7, Endpoint: "a/1", SentAt: at(0)}) {
		t.Fatalf("crashes %v, want only that of request 7, which began before the answered attempt", crashes)
	}
	if again := u.TakeCrashes(ended, at(6)); len(again) != 0 {
		t.Fatalf("crashes counted twice: %v", again)
	}
}

// Guards against attempts at a running endpoint that accumulate without bound.
func TestUnansweredAttemptsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	u := NewUnansweredAttempts()
	endpoint := fleet.Incarnation{ID: "a", StartTimeMs: 1}
	for i := range uint64(3 * maxUnansweredPerEndpoint) {
		u.Add(i, endpoint, now, now)
	}
	if n := len(u.attempts[endpoint]); n != maxUnansweredPerEndpoint {
		t.Fatalf("%d attempts are held", n)
	}
	u.TakeCrashes(func(fleet.Incarnation) bool { return false }, now.Add(unansweredRetention+time.Second))
	if len(u.attempts) != 0 {
		t.Fatal("expired attempts are still held")
	}
}
