// Package drain holds the decisions of a planned stop: until when a stopping process takes requests, sends them to
// endpoints and stays, and which requests it still has. It does no I/O.
package drain

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/standstill"
)

const (
	// maxListenerCloseDelay is the longest time between failing readiness and closing the listener. The balancer probes once a
	// second and removes a VM after two failures.
	maxListenerCloseDelay = 3200 * time.Millisecond
	// maxRefusalDelay is the longest time after SIGTERM from which new requests are refused, because the grace may be too
	// short for them. By then the balancer opens no new connections.
	maxRefusalDelay = 2700 * time.Millisecond
	// maxReportMargin is the longest time left between the report and the platform's SIGKILL.
	maxReportMargin = 600 * time.Millisecond
	// reportMarginFraction limits the margin of a short grace.
	reportMarginFraction = 0.2
	// signalDelay is the longest time from the end of a standstill until a signal that was sent during it is handled.
	signalDelay = 300 * time.Millisecond
)

// Plan holds the times of a planned stop, since SIGTERM.
type Plan struct {
	// RefuseRequests is when new requests are refused.
	RefuseRequests time.Duration
	// CloseListener is when the listener closes.
	CloseListener time.Duration
	// LastSend is when a request is sent to an endpoint for the last time, which may be another attempt.
	LastSend time.Duration
	// Report is when the last digest goes to the peers and the open requests are logged. They may still end after that.
	Report time.Duration
}

// NewPlan returns the times of a planned stop. In a short grace, requests are refused at its middle: a request that is
// refused is accepted by another VM, and one that is cut may not be sent again.
func NewPlan(grace time.Duration) Plan {
	report := grace - min(maxReportMargin, time.Duration(reportMarginFraction*float64(grace)))
	refuse := min(maxRefusalDelay, report/2)
	return Plan{
		RefuseRequests: refuse,
		CloseListener:  min(maxListenerCloseDelay, refuse+report/4),
		LastSend:       (refuse + report) / 2,
		Report:         report,
	}
}

// SignalledAt returns the earliest time at which a SIGTERM that was handled at the given time may have been sent. The platform's
// grace begins when it sends the signal, but a process that stands still handles it only afterwards. last is the last standstill.
func SignalledAt(handled time.Time, last standstill.Gap) time.Time {
	if last.To.IsZero() || handled.Sub(last.To) > signalDelay {
		return handled
	}
	return last.From
}
