//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// answer is what a caller got for one attempt.
type answer struct {
	// status is zero if the channel ended without a status.
	status   int
	body     string
	complete bool
	signed   bool
	// connected is set once the whole request was written.
	connected bool
	err       error
}

// String describes an answer in the record.
func (a answer) String() string {
	switch {
	case a.status == 0 && errors.Is(a.err, io.EOF):
		return "channel closed without an answer"
	case a.status == 0:
		return fmt.Sprintf("no answer: %v", a.err)
	case !a.complete:
		return fmt.Sprintf("%d, cut off after %d bytes: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d, complete, %d bytes", a.status, len(a.body))
}

// request is one attempt of a caller.
type request struct {
	id, line, key string
	// prompt is the list of parts, or empty for plain services.
	prompt   string
	tokens   string
	deadline time.Duration
	body     string
	// more holds further header lines.
	more string
}

// send sends an attempt to a machine on a new channel and reads the answer.
func (v *vm) send(q request) answer {
	c, err := net.DialTimeout("tcp4", fmt.Sprint(v.ip, ":", v.lab.callerPort), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: %d\r\nKey: %s\r\n",
		q.line, q.id, q.deadline.Milliseconds(), q.key)
	if q.prompt != "" {
		fmt.Fprintf(&b, "Model: m\r\nToken-Counts: %s\r\nPrompt-Prefix: %s\r\n", q.tokens, q.prompt)
	}
	b.WriteString(q.more)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	if _, err := c.Write([]byte(b.String())); err != nil {
		return answer{err: err}
	}
	reader := bufio.NewReader(c)
	if _, err := reader.Peek(1); err != nil {
		return answer{err: err, connected: true}
	}
	resp := &fasthttp.Response{}
	err = resp.Read(reader)
	return answer{
		status: resp.StatusCode(), body: string(resp.Body()), complete: err == nil, err: err, connected: true,
		signed: len(resp.Header.Peek("Response-Signature")) > 0,
	}
}
