//go:build review

package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// storeProxy passes calls on to the store. It may lose the answer of a write.
type storeProxy struct {
	lab      *lab
	client   *fasthttp.HostClient
	listener net.Listener
	server   *fasthttp.Server
	// loseClaim makes the answer to the next append to the topic of claims get lost, and writes counts the appends since.
	loseClaim atomic.Bool
	counting  atomic.Bool
	writes    atomic.Int64
	stop      chan struct{}
}

// startStoreProxy starts a proxy in front of the store.
func (l *lab) startStoreProxy() (*storeProxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{
		lab: l, listener: listener, stop: make(chan struct{}),
		client: &fasthttp.HostClient{Addr: l.store.Address(), MaxConns: 1000, MaxIdemponentCallAttempts: 1},
	}
	p.server = &fasthttp.Server{Handler: p.serve, MaxRequestBodySize: 4 << 20, NoDefaultServerHeader: true}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// serve passes a call on. The answer that is to be lost is never sent, and the channel stays silent.
func (p *storeProxy) serve(ctx *fasthttp.RequestCtx) {
	isWrite := string(ctx.Path()) == "/corneldeal/log-append"
	if isWrite && p.counting.Load() {
		p.writes.Add(1)
	}
	err := p.client.Do(&ctx.Request, &ctx.Response)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	topic := string(ctx.QueryArgs().Peek("topic"))
	if isWrite && topic == "keyed.holder" {
		p.lab.line("store: write to %s done, status %d: %s", topic, ctx.Response.StatusCode(), ctx.Response.Body())
	}
	if isWrite && topic == "keyed.holder" && p.loseClaim.CompareAndSwap(true, false) {
		p.lab.line("store: the answer to this write is lost")
		select {
		case <-p.stop:
		case <-time.After(30 * time.Second):
		}
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	}
}

func (p *storeProxy) close() {
	close(p.stop)
	_ = p.listener.Close()
}

// Figures of the case: the length of the impairment on the site, and the age of the added machine when the weights are
// named. A machine takes precedence as holder from an age of 2 s on.
const (
	lostFor  = 4500 * time.Millisecond
	addedAge = 1300 * time.Millisecond
)

// unheardCase loses the answer of the store to the first claim of the order lease, while a machine is added.
func unheardCase(l *lab, trouble bool) (bool, error) {
	proxy, err := l.startStoreProxy()
	if err != nil {
		return false, err
	}
	defer proxy.close()
	l.storeAddress = proxy.listener.Addr().String()
	if err := l.startSite(9, 3); err != nil {
		return false, err
	}
	traffic := l.startDrafts()
	time.Sleep(2 * stabilityWindow)
	proxy.loseClaim.Store(trouble)
	proxy.counting.Store(true)
	before := l.registrations.Load()
	added, err := l.addVM("front-accra-a-4", "accra-a", false)
	if err != nil {
		return false, err
	}
	l.line("machine %s is added", added.name)
	time.Sleep(addedAge)
	l.nameWeights(2)
	named := time.Now()
	time.Sleep(lostFor - addedAge)
	l.line("of %d writes of machines and workers within %v, the answer of %d was lost", proxy.writes.Load()+l.registrations.Load()-before,
		lostFor, map[bool]int{true: 1}[trouble && !proxy.loseClaim.Load()])
	proxy.loseClaim.Store(false)
	return l.judgeWeights(2, named, lostFor+stabilityWindow, traffic)
}

// judgeWeights waits until the weights must be everywhere and reports whether they are not. Calm is the time from the naming on
// in which the store counts as impaired.
func (l *lab) judgeWeights(version int64, named time.Time, calm time.Duration, traffic *drafts) (bool, error) {
	for time.Since(named) < calm+versionMax+time.Second {
		time.Sleep(2500 * time.Millisecond)
		old, all := l.behind(version)
		l.line("%.1f s after weights %d were named: %d of %d model workers have older weights; drafts %s",
			time.Since(named).Seconds(), version, old, all, traffic.take())
	}
	traffic.stop()
	old, all := l.behind(version)
	for _, w := range l.workers {
		for _, o := range w.Orders() {
			l.line("order at %s: weights %d, holder %s, generation %d", w.ID, o.Version, o.Holder, o.Token)
		}
	}
	for _, v := range l.vms {
		select {
		case <-v.ended():
			return false, fmt.Errorf("%w: %s ended", errCannotRun, v.name)
		default:
		}
	}
	l.line("%.1f s after the confirmation of weights %d, %d of %d model workers have older ones (allowed: 1, or a tenth)",
		time.Since(named).Seconds(), version, old, all)
	return old > 1 && old*10 > all, nil
}
