//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a requester saw of one attempt.
type answer struct {
	id, kind, prompt, machine string
	sent, ended               time.Time
	status                    int
	body                      string
	// complete is set if the body is whole.
	complete bool
	err      error
}

// requesters send requests and keep what they saw.
type requesters struct {
	s       *system
	next    atomic.Int64
	sending sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// request is a request to send.
type request struct {
	kind, method, target, key, prompt, tokens, body string
	deadline                                        time.Duration
	extra                                           string
}

// send sends one request on a channel of its own and returns what came.
func (q *requesters) send(g *gateway, x request) answer {
	a := answer{id: fmt.Sprintf("%s-%d", x.kind, q.next.Add(1)), kind: x.kind, prompt: x.prompt, machine: g.name, sent: time.Now()}
	a.status, a.body, a.complete, a.err = exchange(g.address(), a.id, x)
	a.ended = time.Now()
	q.s.record.event("%s to %s %s: %d, complete %t, %d bytes after %d ms, %v", a.id, g.name, x.prompt, a.status, a.complete,
		len(a.body), a.ended.Sub(a.sent).Milliseconds(), a.err)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers = append(q.answers, a)
	return a
}

// goSend sends a request in the background.
func (q *requesters) goSend(g *gateway, x request) {
	q.sending.Go(func() { q.send(g, x) })
}

// exchange sends a request and reads the answer.
func exchange(address, id string, x request) (status int, body string, complete bool, err error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, "", false, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(x.deadline + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nKey: %s\r\nDeadline-Milliseconds: %d\r\n",
		x.method, x.target, id, x.key, x.deadline.Milliseconds())
	if x.prompt != "" {
		fmt.Fprintf(&head, "Model: m\r\nToken-Counts: %s\r\nPrompt-Prefix: %s\r\n", x.tokens, x.prompt)
	}
	if x.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(x.body))
	}
	head.WriteString(x.extra + "\r\n" + x.body)
	if _, err := io.WriteString(c, head.String()); err != nil {
		return 0, "", false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", false, err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err == nil, err
}

// list returns what the requesters saw so far.
func (q *requesters) list() []answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]answer(nil), q.answers...)
}
