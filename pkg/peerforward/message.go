// Package peerforward implements how one VM sends a request to an endpoint through another VM.
//
// The VM that sends the request has taken all decisions: it names the endpoint and passes the request as the endpoint is to
// read it. The other one only sends it, once, and passes the answer back as it arrives. Requests and answers are HTTP/1.1
// messages on the port for peers. The answer carries the status, the headers and the body of the endpoint's answer, and a
// header that tells how the send ended. A body that ends early ends its connection early.
package peerforward

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/reach"
)

// Path is the path of the calls.
const Path = "/forward"

// The headers of the calls and answers.
const (
	headerVM         = "Forward-Vm"
	headerEndpoint   = "Forward-Endpoint"
	headerStart      = "Forward-Start"
	headerHeadLength = "Forward-Head-Length"
	headerTimeout    = "Forward-Timeout-Ms"
	headerIdempotent = "Forward-Idempotent"
	headerFresh      = "Forward-Fresh"
	headerConfig     = "Forward-Config"
	headerOutcome    = "Forward-Outcome"
	headerReason     = "Forward-Reason"
	headerReferral   = "Forward-Referral"
)

// Request is a request that a peer is to send.
type Request struct {
	// VM is the name of the VM that asks.
	VM string
	// Endpoint and StartTimeMs identify the start of the endpoint, see fleet.Incarnation.
	Endpoint    string
	StartTimeMs int64
	// Idempotent is set if the request may run twice.
	Idempotent bool
	// Fresh requires a new connection to the endpoint.
	Fresh bool
	// ConfigVersion is the version of the configuration that allows the request, or zero if a VM that runs an older build does
	// not tell it.
	ConfigVersion int64
	// Timeout is the time until the request's deadline.
	Timeout time.Duration
	// Head and Body are the request as the endpoint is to read it.
	Head, Body []byte
}

// Outcome is how a peer's send ended.
type Outcome string

const (
	// Answered means that the endpoint answered.
	Answered Outcome = "answered"
	// NotSent means that no byte of the request reached the endpoint.
	NotSent Outcome = "not_sent"
	// Lost means that the request was sent and no answer came, so it may have run.
	Lost Outcome = "lost"
)

// Reply is what the headers of a peer's answer tell.
type Reply struct {
	Outcome Outcome
	// Refusal is set if the request was not sent.
	Refusal
}

// Encode returns the call to a peer at address (IP:port).
func (r Request) Encode(address string) httpcall.RawRequest {
	head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\n", Path, address)
	for _, h := range []struct{ name, value string }{
		{headerVM, r.VM}, {headerEndpoint, r.Endpoint}, {headerStart, strconv.FormatInt(r.StartTimeMs, 10)},
		{headerHeadLength, strconv.Itoa(len(r.Head))}, {headerTimeout, strconv.FormatInt(max(r.Timeout.Milliseconds(), 1), 10)},
		{headerIdempotent, strconv.FormatBool(r.Idempotent)}, {headerFresh, strconv.FormatBool(r.Fresh)},
		{headerConfig, strconv.FormatInt(r.ConfigVersion, 10)},
		{fasthttp.HeaderContentLength, strconv.Itoa(len(r.Head) + len(r.Body))},
	} {
		head = fmt.Appendf(head, "%s: %s\r\n", h.name, h.value)
	}
	head = append(head, "\r\n"...)
	body := append(append(make([]byte, 0, len(r.Head)+len(r.Body)), r.Head...), r.Body...)
	// A request that must not run twice gets a new connection, since the peer may be closing one that is open.
	return httpcall.RawRequest{Head: head, Body: body, Fresh: !r.Idempotent, Idempotent: r.Idempotent}
}

// ReadReply returns what a peer's answer tells, and removes it from the header. An answer that does not tell an outcome comes
// from a VM that cannot forward, so nothing was sent.
func ReadReply(h *fasthttp.ResponseHeader) Reply {
	r := Reply{Outcome: Outcome(h.Peek(headerOutcome))}
	r.Reason, r.Referral = reach.Reason(h.Peek(headerReason)), string(h.Peek(headerReferral))
	for _, name := range []string{headerOutcome, headerReason, headerReferral} {
		h.Del(name)
	}
	switch r.Outcome {
	case Answered, Lost:
	default:
		r.Outcome = NotSent
		if r.Reason == "" {
			r.Reason = reach.PeerUnreachable
		}
	}
	return r
}
