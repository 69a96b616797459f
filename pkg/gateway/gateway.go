package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/ingress"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/share"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

const (
	// heapShare is the part of the VM's memory at which the collector works harder; the rest is for stacks and the
	// kernel's buffers.
	heapShare = 0.55
	// collectorPercent trades processor time for a small heap.
	collectorPercent = 50
	// bodyShare is the part of the memory for request bodies.
	bodyShare = 0.2
	// connectionsPerMB and connectionShare bound the callers' connections by memory and by descriptors.
	connectionsPerMB = 10
	connectionShare  = 0.45
	// leaveAfter is the time between failing readiness and closing the listener. The balancer asks once a second and
	// takes a VM out after two failures.
	leaveAfter = 3200 * time.Millisecond
	// leaveMargin is kept between the last wait and the platform's SIGKILL.
	leaveMargin = 600 * time.Millisecond
	// refuseAfter is the time after SIGTERM from which new requests are refused, since the grace may not suffice for
	// them. The balancer sends no new connections by then.
	refuseAfter = 2700 * time.Millisecond
	// leavePoll is the pause between two looks at the open connections while leaving.
	leavePoll = 50 * time.Millisecond
)

// Gateway is one process. Create it with New, then Provision, Start and Shutdown.
type Gateway struct {
	settings settings.Gateway
	ownIP    netip.Addr
	platform Platform
	boot     uint64
	started  time.Time
	log      *budgetLogger
	metrics  *metrics
	http     *httpcall.Client
	ingress  *ingress.Server
	control  *fasthttp.Server
	socket   *gossip.Socket
	relay    *http.Server
	relays   *gossip.Relays
	answers  answerRoom
	config   atomic.Pointer[traffic.Config]
	leaving  atomic.Bool
	// leavingSince is the time of SIGTERM, in nanoseconds of the steady clock.
	leavingSince atomic.Int64
	nextID       atomic.Uint64
	digestDue    chan struct{}
	// registered is closed after the first try to register this VM and to learn of the others.
	registered chan struct{}

	listeners []net.Listener
	ctx       context.Context
	cancel    context.CancelFunc

	// mu guards the tables. It is the only lock that covers more than one of them and is never held during I/O; the
	// locks inside other types are taken after it.
	mu sync.Mutex
	tables
}

// tables is what the decisions rest on.
type tables struct {
	endpoints *fleet.Table
	placer    *place.Placer
	limiter   *share.Limiter
	retries   map[string]*admit.RetryBudget
	// retryFloor is this VM's part of the retries of a service that all VMs may send beyond a share of first attempts.
	retryFloor int
	crashes    *crashguard.Tally
	// unanswered are attempts that count as crashes if their endpoints turn out to have ended.
	unanswered *crashguard.Unanswered
	// cleanRuns are requests that this VM saw answered.
	cleanRuns *crashguard.CleanRuns
	crashSync crashSync
	lease     *issuer.Lease
	peers     map[string]*peerState
	// digests counts those of this process.
	digests uint64
	// vms are the VMs that this one knows of, also those that it never heard.
	vms map[string]*knownVM
	// collected are the digests that this VM, as a hub, sends on with its next batch.
	collected map[string]*gossip.Digest
	// introduced are the digests of VMs that this VM heard directly and not for a while. Its hub learns of them.
	introduced map[string]*gossip.Digest
	streams    map[Stream]*streamState
	// announced are the weight versions of each model, oldest first. The slices are never modified in place.
	announced map[string][]place.Announcement
	claim     issuer.Claim
	loads     map[string]*loadState
	loadTimes loadTimes
	// configAt is when the configuration in force was applied.
	configAt time.Time
	// behindSince is when peers were first ahead of this VM with operator's records, or when one was last asked for them.
	// Zero while none is.
	behindSince time.Time
	// storeFailedAt is when a call to the store last failed, or zero.
	storeFailedAt time.Time
}

// New returns a gateway that holds no resources yet.
func New(s settings.Gateway, platform func(*httpcall.Client) Platform) *Gateway {
	client := httpcall.NewClient()
	boot := rand.Uint64()
	ctx, cancel := context.WithCancel(context.Background())
	// An address that cannot be parsed is refused with the settings.
	ownIP, _ := netip.ParseAddr(s.Address)
	return &Gateway{
		settings:   s,
		ownIP:      ownIP,
		platform:   platform(client),
		boot:       boot,
		started:    steady.Now(),
		log:        newBudgetLogger(s.VM, boot, s.LogLevel, standardOutput),
		metrics:    newMetrics(),
		http:       client,
		relays:     gossip.NewRelays(),
		digestDue:  make(chan struct{}, 1),
		registered: make(chan struct{}),
		ctx:        ctx,
		cancel:     cancel,
		tables: tables{
			endpoints:  fleet.NewTable(),
			placer:     place.New(),
			limiter:    share.New(!s.FirstStart),
			retries:    map[string]*admit.RetryBudget{},
			crashes:    crashguard.NewTally(),
			unanswered: crashguard.NewUnanswered(),
			cleanRuns:  crashguard.NewCleanRuns(),
			crashSync:  newCrashSync(),
			lease:      issuer.NewLease(s.Lease()),
			peers:      map[string]*peerState{},
			vms:        map[string]*knownVM{},
			collected:  map[string]*gossip.Digest{},
			introduced: map[string]*gossip.Digest{},
			streams:    map[Stream]*streamState{OperatorStream: newStreamState(), EndpointStream: newStreamState()},
			announced:  map[string][]place.Announcement{},
			claim:      issuer.Claim{Token: -1},
			loads:      map[string]*loadState{},
		},
	}
}

// Provision binds all sockets.
func (g *Gateway) Provision() error {
	memory := int64(g.settings.MemoryMB) << 20
	debug.SetMemoryLimit(int64(float64(memory) * heapShare))
	debug.SetGCPercent(collectorPercent)
	g.answers.limit = int64(float64(memory) * answersShare)
	server, err := ingress.New(g, ingress.Options{
		Connections:   min(g.settings.MemoryMB*connectionsPerMB, int(float64(g.settings.Descriptors)*connectionShare)),
		BufferedBytes: int64(float64(memory) * bodyShare),
	})
	if err != nil {
		return err
	}
	g.ingress = server
	g.socket, err = gossip.Listen(g.peerAddress(g.settings.Address))
	if err != nil {
		return fmt.Errorf("peer datagrams: %w", err)
	}
	g.relay = gossip.NewServer(relayService{g})
	g.control = &fasthttp.Server{Handler: g.serveControl, ReadBufferSize: 4 << 10}
	return nil
}

func (g *Gateway) peerAddress(ip string) string {
	return fmt.Sprintf("%s:%d", ip, g.settings.PeerPort)
}

func (g *Gateway) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	g.listeners = append(g.listeners, l)
	return l, nil
}

// Start begins to serve. It returns once every listener accepts.
func (g *Gateway) Start() error {
	g.log.line(partProcess).Str("data_centre", g.settings.DataCentre).Bool("first_start", g.settings.FirstStart).
		Msg("started")
	g.mu.Lock()
	g.shareRetries(steady.Now())
	g.mu.Unlock()
	callers, err := g.listen(g.settings.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := g.listen(g.settings.ReadyAddress)
	if err != nil {
		return err
	}
	metricsPage, err := g.listen(fmt.Sprintf("%s:%d", g.settings.Address, g.settings.MetricsPort))
	if err != nil {
		// Callers can be served without the metrics page.
		g.log.warn(partProcess).Err(err).Msg("no metrics page")
	}
	peers, err := g.listen(g.peerAddress(g.settings.Address))
	if err != nil {
		return err
	}
	go g.serveOn("callers", func() error { return g.ingress.Serve(callers) })
	go g.serveOn("ready", func() error { return g.control.Serve(ready) })
	if metricsPage != nil {
		go g.serveOn("metrics", func() error { return g.control.Serve(metricsPage) })
	}
	go g.serveOn("peers", func() error { return g.relay.Serve(peers) })
	go g.followOperator()
	go g.followEndpoints()
	go g.registerVM()
	go g.sendDigests()
	go g.sendCollected()
	go g.receiveDigests()
	go g.giveOrders()
	go g.watchCaches()
	return nil
}

// serveOn serves one listener and logs an end that nobody asked for.
func (g *Gateway) serveOn(name string, serve func() error) {
	if err := serve(); err != nil && g.ctx.Err() == nil && !g.leaving.Load() {
		g.log.warn(partProcess).Str("listener", name).Err(err).Msg("listener ended")
	}
}

// Reload takes settings that changed. Only the log level takes effect while the process runs; a log line tells where a
// restart is needed for the rest.
func (g *Gateway) Reload(s settings.Gateway) {
	g.log.setLevel(s.LogLevel)
	rest := s
	rest.LogLevel = g.settings.LogLevel
	g.log.line(partProcess).Str("log_level", s.LogLevel).Bool("restart_needed", !reflect.DeepEqual(rest, g.settings)).
		Msg("settings reloaded")
}

// Shutdown fails readiness, lets running requests finish and returns when they have, or before the grace ends.
func (g *Gateway) Shutdown() {
	started := steady.Now()
	g.leavingSince.Store(started.UnixNano())
	g.leaving.Store(true)
	g.ingress.Leave()
	g.digestSoon()
	g.log.line(partProcess).Int("connections", g.ingress.Open()).Msg("stopping")
	time.Sleep(leaveAfter)
	g.ingress.Close()
	for g.ingress.Open() > 0 && steady.Since(started) < g.settings.Grace()-leaveMargin {
		time.Sleep(leavePoll)
	}
	g.sendLeaving()
	g.log.line(partProcess).Int("connections", g.ingress.Open()).Msg("stopped")
	g.Close()
}

// Close ends all work at once and releases what Provision and Start took. A second call does nothing.
func (g *Gateway) Close() {
	if g.ctx.Err() != nil {
		return
	}
	g.leaving.Store(true)
	g.cancel()
	g.ingress.Close()
	err := errors.Join(g.socket.Close(), g.relay.Close(), g.control.Shutdown())
	if err != nil {
		g.log.warn(partProcess).Err(err).Msg("listeners not closed cleanly")
	}
	for _, l := range g.listeners {
		// Most are closed by their servers already.
		_ = l.Close()
	}
	g.http.Close()
	if err := g.log.close(); err != nil {
		// The log itself failed, so standard error is all that is left.
		_, _ = fmt.Fprintln(os.Stderr, "corneldeal: log writer:", err)
	}
}

// digestSoon sends a digest at once.
func (g *Gateway) digestSoon() {
	select {
	case g.digestDue <- struct{}{}:
	default:
	}
}

// sleep waits, and reports false when the process ends.
func (g *Gateway) sleep(d time.Duration) bool {
	select {
	case <-g.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
