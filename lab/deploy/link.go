package deploy

import (
	"io"
	"net"
	"sync"
)

// Link forwards TCP connections to a target and can be cut, as a network partition does.
type Link struct {
	target string
	ln     net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewLink listens on a free port of ip and forwards to target.
func NewLink(ip, target string) (*Link, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, ln: ln, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Addr is IP:port of the link.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.Cut(true)
}

// Cut breaks all connections and refuses new ones, or lets them through again.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
	l.conns = map[net.Conn]bool{}
}

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.forward(c)
	}
}

// add registers a connection. It reports false while the link is cut.
func (l *Link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

func (l *Link) forward(in net.Conn) {
	defer l.remove(in)
	if !l.add(in) {
		return
	}
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer l.remove(out)
	if !l.add(out) {
		return
	}
	done := make(chan struct{}, 2)
	go pipe(in, out, done)
	go pipe(out, in, done)
	<-done
}

// pipe copies until one side ends.
func pipe(to, from net.Conn, done chan<- struct{}) {
	_, _ = io.Copy(to, from)
	done <- struct{}{}
}
