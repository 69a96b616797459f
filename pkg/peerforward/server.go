package peerforward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/reach"
)

const (
	// MaxRequestBytes limits the head and the body of a request together.
	MaxRequestBytes = 1 << 20
	// readTimeout bounds the time to read a call.
	readTimeout = 2 * time.Second
	// pieceBytes is the size of the pieces in which an answer is passed on.
	pieceBytes = 4 << 10
)

// Sender sends the requests of peers to endpoints. Its methods are called concurrently.
type Sender interface {
	// Reserve takes memory for a call of that many bytes from a peer at the given IP. It returns the reason for which the call is
	// not served instead, or the function that gives the memory back.
	Reserve(vm string, from netip.Addr, bytes int) (release func(), refused reach.Reason)
	// Send sends a request. It returns the answer, a refusal if nothing was sent, or an error if it was sent and the answer is lost.
	// The caller closes the answer. Cancelling ctx ends the send.
	Send(ctx context.Context, r Request) (answer *httpcall.Stream, refused Refusal, err error)
	// ReportMalformed records a call that could not be read.
	ReportMalformed(from netip.Addr, err error)
}

// Refusal is why a request was not sent. The zero value means that it was.
type Refusal struct {
	Reason reach.Reason
	// Referral is the name of a VM that may help instead, or empty.
	Referral string
}

// errMalformed means that a call does not follow the protocol.
var errMalformed = errors.New("peerforward: malformed call")

// Handler returns the handler of the calls of peers.
func Handler(s Sender) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, call *http.Request) { serve(s, w, call) })
}

// serve answers one call.
func serve(s Sender, w http.ResponseWriter, call *http.Request) {
	// The address of a TCP connection is always valid.
	from, _ := netip.ParseAddrPort(call.RemoteAddr)
	size := call.ContentLength
	if call.Method != http.MethodPost || size <= 0 || size > MaxRequestBytes {
		s.ReportMalformed(from.Addr(), errMalformed)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	release, refused := s.Reserve(call.Header.Get(headerVM), from.Addr(), int(size))
	if refused != "" {
		refuse(w, Refusal{Reason: refused})
		return
	}
	defer release()
	r, err := readCall(w, call, int(size))
	if err != nil {
		s.ReportMalformed(from.Addr(), err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(call.Context(), r.Timeout)
	defer cancel()
	answer, refusal, err := s.Send(ctx, r)
	switch {
	case refusal != Refusal{}:
		refuse(w, refusal)
	case err != nil:
		w.Header().Set(headerOutcome, string(Lost))
		w.WriteHeader(http.StatusBadGateway)
	default:
		defer answer.Close()
		// A VM that reads nothing does not hold the answer beyond the deadline. An error leaves that to the kernel.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.Timeout))
		passOn(w, answer)
		// The connection may carry another call.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	}
}

// refuse answers a call whose request was not sent.
func refuse(w http.ResponseWriter, r Refusal) {
	w.Header().Set(headerOutcome, string(NotSent))
	w.Header().Set(headerReason, string(r.Reason))
	if r.Referral != "" {
		w.Header().Set(headerReferral, r.Referral)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// readCall reads the request from a call of the given size.
func readCall(w http.ResponseWriter, call *http.Request, size int) (Request, error) {
	h := call.Header
	start, startErr := strconv.ParseInt(h.Get(headerStart), 10, 64)
	timeoutMs, timeoutErr := strconv.ParseInt(h.Get(headerTimeout), 10, 64)
	headLength, lengthErr := strconv.Atoi(h.Get(headerHeadLength))
	idempotent, idempotentErr := strconv.ParseBool(h.Get(headerIdempotent))
	fresh, freshErr := strconv.ParseBool(h.Get(headerFresh))
	// VMs that run an older build do not tell their configuration.
	configVersion, configErr := strconv.ParseInt(cmp.Or(h.Get(headerConfig), "0"), 10, 64)
	if errors.Join(startErr, timeoutErr, lengthErr, idempotentErr, freshErr, configErr) != nil ||
		headLength <= 0 || headLength > size || timeoutMs <= 0 || h.Get(headerEndpoint) == "" {
		return Request{}, errMalformed
	}
	// An error means that the connection has no deadlines; reading then goes on until the call ends.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
	data := make([]byte, size)
	if _, err := io.ReadFull(call.Body, data); err != nil {
		return Request{}, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return Request{
		ConfigVersion: configVersion,
		VM:            h.Get(headerVM), Endpoint: h.Get(headerEndpoint), StartTimeMs: start, Idempotent: idempotent, Fresh: fresh,
		Timeout: time.Duration(timeoutMs) * time.Millisecond, Head: data[:headLength], Body: data[headLength:],
	}, nil
}

// connectionHeaders are headers that concern a single connection.
var connectionHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "transfer-encoding": true, "content-length": true, "trailer": true, "upgrade": true,
}

// passOn writes an endpoint's answer. If the answer ends early, passOn panics with http.ErrAbortHandler, at which the server closes
// the connection.
func passOn(w http.ResponseWriter, answer *httpcall.Stream) {
	header := w.Header()
	// The server would add these headers to an answer that lacks them.
	header[fasthttp.HeaderDate], header[fasthttp.HeaderContentType] = nil, nil
	for name, value := range answer.Response.Header.All() {
		if key := string(name); !connectionHeaders[strings.ToLower(key)] {
			header[key] = append(header[key], string(value))
		}
	}
	header.Set(headerOutcome, string(Answered))
	w.WriteHeader(answer.Response.StatusCode())
	flush := http.NewResponseController(w).Flush
	piece := make([]byte, pieceBytes)
	for err := flush(); ; err = flush() {
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		n, readErr := answer.Read(piece)
		if _, err := w.Write(piece[:n]); n > 0 && err != nil {
			panic(http.ErrAbortHandler)
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return
		case readErr != nil:
			panic(http.ErrAbortHandler)
		}
	}
}
