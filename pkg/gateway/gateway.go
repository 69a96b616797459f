package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/affinity"
	"github.com/corneldeal/corneldeal/pkg/brittle"
	"github.com/corneldeal/corneldeal/pkg/configsync"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/digestage"
	"github.com/corneldeal/corneldeal/pkg/drain"
	"github.com/corneldeal/corneldeal/pkg/endpointlimit"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/ingress"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/pathcheck"
	"github.com/corneldeal/corneldeal/pkg/peerforward"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/reach"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/share"
	"github.com/corneldeal/corneldeal/pkg/standstill"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

const (
	// memoryLimitFraction is the part of the VM's memory at which the garbage collector works harder; the rest is for
	// stacks and the kernel's buffers.
	memoryLimitFraction = 0.55
	// gcPercent trades processor time for a small heap.
	gcPercent = 50
	// bodyMemoryFraction is the part of the VM's memory for request bodies.
	bodyMemoryFraction = 0.2
	// connectionsPerMB and connectionDescriptorFraction limit the callers' connections by memory and by file descriptors.
	connectionsPerMB             = 10
	connectionDescriptorFraction = 0.45
)

// Gateway routes callers' requests to endpoints and exchanges state with the gateways of other VMs. Create it with New,
// then call Provision, Start and Shutdown.
type Gateway struct {
	sources
	settings settings.Gateway
	ownIP    netip.Addr
	platform Platform
	boot     uint64
	started  time.Time
	// startedUnixMs is the time of day of the start, see precedence.Key.
	startedUnixMs int64
	log           *limitedLogger
	metrics       *metrics
	http          *httpcall.Client
	ingress       *ingress.Server
	adminServer   *fasthttp.Server
	gossipSocket  *gossip.Socket
	relayServer   *http.Server
	relayClients  *gossip.RelayClients
	answerMemory  memoryBudget
	connections   *connectionLimits
	config        atomic.Pointer[traffic.Config]
	leaving       atomic.Bool
	// leavingSince is the earliest time at which SIGTERM may have been sent, in nanoseconds of the steady clock.
	leavingSince atomic.Int64
	nextID       atomic.Uint64
	// inProgress holds the requests that have no final answer yet.
	inProgress drain.Register
	// paths holds which endpoints this VM reaches, pathChecks finds out why connections fail, and forwarders chooses the peers
	// through which requests are sent.
	paths      *reach.Table
	pathChecks *pathcheck.Checker
	forwarders *reach.Peers
	// peerHTTP sends this VM's requests to peers that forward them. forwarded is the number of requests of peers that this VM is
	// forwarding.
	peerHTTP   *httpcall.Client
	forwarded  atomic.Int64
	standstill standstill.Detector
	// digestRequests asks for a digest before the regular interval ends.
	digestRequests chan struct{}
	// newsRequests asks a hub for a batch before the regular interval ends, since there are new operator records.
	newsRequests chan struct{}
	// rewriteRequests asks registerVM to write again what a restore of the store may have lost.
	rewriteRequests chan struct{}
	// originRequests asks recordOrigins to write the streams of this process to the store.
	originRequests chan struct{}
	originListing  originListing
	// registrationTried is closed after the first attempt to register this VM and to read the registrations of the others.
	registrationTried chan struct{}

	listeners []net.Listener
	ctx       context.Context
	cancel    context.CancelFunc

	// mu guards guardedState. It is the only lock that covers more than one of its tables and is never held during I/O.
	// Locks inside other types are taken after it.
	mu sync.Mutex
	guardedState
}

// guardedState is the state that Gateway.mu guards.
type guardedState struct {
	endpoints *fleet.Table
	placer    *place.Placer
	limiter   *share.Limiter
	retries   map[string]*admit.RetryBudget
	// overloads is the admission state of the services of model engines, by name.
	overloads map[string]*admit.Overload
	// retryFloor is this VM's share of the retries per service that all VMs together may send beyond a fraction of first
	// attempts.
	retryFloor int
	crashes    *crashguard.Tally
	// unansweredAttempts are attempts that count as crashes if their endpoints turn out to have ended.
	unansweredAttempts *crashguard.UnansweredAttempts
	// cleanRuns are the requests that endpoints answered for this VM.
	cleanRuns *crashguard.CleanRuns
	// cleanParts are the parts of prompts that were in requests which endpoints answered for this VM.
	cleanParts *crashguard.CleanRuns
	// partProbes are the ids of the running requests that were sent as probes of refused parts, by the parts' fingerprints.
	partProbes  map[uint64]uint64
	partTraffic *crashguard.PartTraffic
	// probeTurns are the turns that this VM gives out, if it is the one to do so. turnAsks are those that it asked for.
	probeTurns, turnAsks *crashguard.ProbeTurns
	// partsChanged is closed, and then replaced, when parts are refused or no longer refused.
	partsChanged chan struct{}
	// accuser chooses the parts that a crash accuses.
	accuser   *crashguard.Accuser
	crashSync crashSync
	// refusals and evidence hold which refused requests and which crashes are kept in the store.
	refusals *crashguard.RefusalRecords
	evidence *crashguard.Evidence
	// endedSeen are the starts of endpoints that this VM saw to have ended lately, to be sent in its digests.
	endedSeen []fleet.EndedStart
	// cutServices are the services that this VM lost as a whole.
	cutServices map[string]bool
	// limits are the rate limits that endpoints named.
	limits *endpointlimit.Table
	// brittle are the services whose endpoints fail when they reject too many requests.
	brittle *brittle.Table
	// brittleWarnedAt is when a malformed announcement was last logged, or zero.
	brittleWarnedAt time.Time
	// lastRequestAt is when this VM last placed a request, or zero.
	lastRequestAt time.Time
	lease         *issuer.Lease
	peers         map[string]*peerState
	// digestCount is the number of digests that this process has built.
	digestCount uint64
	// vms are the VMs known to this one, including those from which it never received a digest.
	vms map[string]*knownVM
	// registrationsRead is set once the registrations of the other VMs were read.
	registrationsRead bool
	// formerVMs is the number of vms that have left long ago.
	formerVMs int
	// collectedDigests are the digests that this VM, as a hub, forwards with its next batch.
	collectedDigests map[string]*gossip.Digest
	// digestSize is the mean size of the digests of peers.
	digestSize gossip.MeanSize
	// digestsForHub are digests received directly from VMs that were not live before. They are forwarded to this VM's hub.
	digestsForHub map[string]*gossip.Digest
	streams       map[Stream]*streamState
	// announcements are the weight versions of each model, oldest first. The slices are never modified in place.
	announcements map[string][]place.Announcement
	// announcementDuties are the models whose announcement times were or are to be stored.
	announcementDuties map[string]*announcementDuty
	// orderClaim is the newest known claim of the order lease, and orderClaimSince is when this VM heard of it first.
	orderClaim      issuer.Claim
	orderClaimSince time.Time
	// ordersDueSince is since when orders are due, and ordersUndoneSince since when they are due without an active holder;
	// both are zero while that does not hold.
	ordersDueSince, ordersUndoneSince time.Time
	// rolloutsDueSince is since when a roll-out has to be decided, or zero.
	rolloutsDueSince time.Time
	rollouts         rollouts
	// weightLoads are the engines that this VM, as the lease holder, drains or loads, by id.
	weightLoads          map[string]*weightLoad
	loadDurationEstimate loadDurationEstimate
	// configAppliedAt is when the configuration in force was applied.
	configAppliedAt time.Time
	// catchUp decides when a peer is asked for operator records.
	catchUp    configsync.CatchUp
	origins    *affinity.Table
	originSync originSync
	// storeEra is the newest era of the store that this VM knows of, or unknownEra, and storeEraSince is when this VM heard
	// of it first. storeRestored reports whether it saw an earlier one.
	storeEra      int64
	storeEraSince time.Time
	storeRestored bool
	// storeFailedAt is when a call to the store last failed, or zero.
	storeFailedAt time.Time
	activity      digestage.Activity
	// lostConfigVersion is the newest version of a configuration that the store lost while a peer holds it, or zero.
	lostConfigVersion int64
	// configVerified is set once this VM has known that its configuration was the newest.
	configVerified bool
	// configOutdated is set while this VM doesn't know that its configuration is the newest, see knowsNewestConfig.
	configOutdated bool
	// sharingSuspended is set while workspaces share no cached material, see mayShareCache.
	sharingSuspended bool
	workLog          workLog
}

// New returns a gateway that has bound no sockets yet. The platform function receives the HTTP client that the gateway
// uses.
func New(s settings.Gateway, platform func(*httpcall.Client) Platform) *Gateway {
	return newGateway(s, platform, systemSources())
}

// newGateway returns a gateway with the given random numbers and clocks.
func newGateway(s settings.Gateway, platform func(*httpcall.Client) Platform, src sources) *Gateway {
	client := httpcall.NewClient()
	boot := src.random.Uint64()
	ctx, cancel := context.WithCancel(context.Background())
	// An invalid address was already rejected with the settings.
	ownIP, _ := netip.ParseAddr(s.Address)
	g := &Gateway{
		sources:           src,
		settings:          s,
		ownIP:             ownIP,
		platform:          platform(client),
		boot:              boot,
		started:           src.now(),
		startedUnixMs:     src.timeOfDay().UnixMilli(),
		log:               newLimitedLogger(s.VM, boot, s.LogLevel, standardOutput),
		metrics:           newMetrics(),
		http:              client,
		connections:       newConnectionLimits(s.VM, client),
		relayClients:      gossip.NewRelayClients(),
		digestRequests:    make(chan struct{}, 1),
		newsRequests:      make(chan struct{}, 1),
		rewriteRequests:   make(chan struct{}, 1),
		originRequests:    make(chan struct{}, 1),
		registrationTried: make(chan struct{}),
		ctx:               ctx,
		cancel:            cancel,
		guardedState:      newGuardedState(s, boot, src),
		paths:             reach.NewTable(),
		forwarders:        reach.NewPeers(),
		peerHTTP:          httpcall.NewClientFrom(net.IP(ownIP.AsSlice())),
	}
	g.pathChecks = pathcheck.New(pathNetwork{g}, g.paths, g.now, g.concludePath)
	client.SetBounds(g.connections)
	if g.platform.Store != nil {
		g.platform.Store.OnEra(g.observeEra)
	}
	return g
}

// newGuardedState returns the state of a process that has not yet heard from the store or a peer.
func newGuardedState(s settings.Gateway, boot uint64, src sources) guardedState {
	crashes := crashguard.NewTally()
	return guardedState{
		endpoints:          fleet.NewTable(),
		placer:             newPlacer(s.Placement, boot),
		limiter:            share.New(!s.FirstStart),
		retries:            map[string]*admit.RetryBudget{},
		overloads:          map[string]*admit.Overload{},
		crashes:            crashes,
		refusals:           crashguard.NewRefusalRecords(crashes),
		unansweredAttempts: crashguard.NewUnansweredAttempts(),
		cleanRuns:          crashguard.NewCleanRuns(0),
		cleanParts:         crashguard.NewCleanRuns(cleanPartValidity),
		partProbes:         map[uint64]uint64{},
		probeTurns:         crashguard.NewProbeTurns(),
		turnAsks:           crashguard.NewProbeTurns(),
		partsChanged:       make(chan struct{}),
		accuser:            crashguard.NewAccuser(crashes, boot),
		partTraffic:        crashguard.NewPartTraffic(crashes),
		evidence:           crashguard.NewEvidence(),
		cutServices:        map[string]bool{},
		limits:             endpointlimit.New(s.VM),
		brittle:            brittle.New(s.VM),
		lease:              issuer.NewLease(s.Lease()),
		peers:              map[string]*peerState{},
		vms:                map[string]*knownVM{},
		collectedDigests:   map[string]*gossip.Digest{},
		digestsForHub:      map[string]*gossip.Digest{},
		streams: map[Stream]*streamState{
			OperatorStream: newStreamState(src.random), EndpointStream: newStreamState(src.random),
		},
		announcements:      map[string][]place.Announcement{},
		announcementDuties: map[string]*announcementDuty{},
		orderClaim:         issuer.Claim{At: issuer.NoClaim},
		rollouts:           newRollouts(),
		weightLoads:        map[string]*weightLoad{},
		storeEra:           unknownEra,
		origins:            affinity.NewTable(),
		workLog:            newWorkLog(),
		originSync:         originSync{written: make(chan struct{}), baselineUndoneSince: map[string]time.Time{}},
	}
}

// Provision sets the memory limits and binds the datagram socket for peers. Start binds the TCP listeners.
func (g *Gateway) Provision() error {
	memory := int64(g.settings.MemoryMB) << 20
	debug.SetMemoryLimit(int64(float64(memory) * memoryLimitFraction))
	debug.SetGCPercent(gcPercent)
	g.answerMemory.limitBytes = int64(float64(memory) * answerMemoryFraction)
	server, err := ingress.New(g, ingress.Options{
		Connections:   min(g.settings.MemoryMB*connectionsPerMB, int(float64(g.settings.Descriptors)*connectionDescriptorFraction)),
		BufferedBytes: int64(float64(memory) * bodyMemoryFraction),
	})
	if err != nil {
		return err
	}
	g.ingress = server
	g.gossipSocket, err = gossip.Listen(g.peerAddress(g.settings.Address))
	if err != nil {
		return fmt.Errorf("listen for peer datagrams: %w", err)
	}
	g.relayServer = gossip.NewServer(relayService{g}, map[string]http.Handler{
		peerforward.Path: peerforward.Handler(forwardService{g}),
	})
	g.adminServer = &fasthttp.Server{Handler: g.serveAdmin, ReadBufferSize: 4 << 10}
	return nil
}

func (g *Gateway) peerAddress(ip string) string {
	return fmt.Sprintf("%s:%d", ip, g.settings.PeerPort)
}

// listen opens a TCP listener that Close closes.
func (g *Gateway) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	g.listeners = append(g.listeners, l)
	return l, nil
}

// Start opens the TCP listeners and starts the background work. It returns once every listener accepts connections.
func (g *Gateway) Start() error {
	g.log.info(partProcess).Str("data_centre", g.settings.DataCentre).Bool("first_start", g.settings.FirstStart).
		Msg("started")
	g.mu.Lock()
	g.shareRetries(g.now())
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
		g.log.warn(partProcess).Err(err).Msg("metrics page is not available")
	}
	peers, err := g.listen(g.peerAddress(g.settings.Address))
	if err != nil {
		return err
	}
	go g.serveListener("callers", func() error { return g.ingress.Serve(callers) })
	go g.serveListener("ready", func() error { return g.adminServer.Serve(ready) })
	if metricsPage != nil {
		go g.serveListener("metrics", func() error { return g.adminServer.Serve(metricsPage) })
	}
	go g.serveListener("peers", func() error { return g.relayServer.Serve(peers) })
	go g.syncOperatorRecords()
	go g.syncEndpointRecords()
	go g.registerVM()
	go g.recordOrigins()
	go g.maintainBaselines()
	go g.sendDigests()
	go g.sendCollectedDigests()
	go g.keepCurrent()
	go g.receiveDigests()
	go g.runOrders()
	go g.runRollouts()
	go g.writeRolloutStatuses()
	go g.watchCaches()
	go g.sweepConnections()
	go g.observeStandstills()
	go g.maintainPaths()
	return nil
}

// serveListener runs serve for one listener and logs an error unless the gateway is stopping.
func (g *Gateway) serveListener(name string, serve func() error) {
	if err := serve(); err != nil && g.ctx.Err() == nil && !g.leaving.Load() {
		g.log.warn(partProcess).Str("listener", name).Err(err).Msg("listener failed")
	}
}

// Reload applies changed settings. Only the log level takes effect while the process runs; the log line states whether
// the other changes need a restart.
func (g *Gateway) Reload(s settings.Gateway) {
	g.log.setLevel(s.LogLevel)
	rest := s
	rest.LogLevel = g.settings.LogLevel
	g.log.info(partProcess).Str("log_level", s.LogLevel).Bool("restart_needed", !reflect.DeepEqual(rest, g.settings)).
		Msg("settings reloaded")
}

// requestDigest asks sendDigests to send a digest before the regular interval ends.
func (g *Gateway) requestDigest() {
	signal(g.digestRequests)
}

// signal sends to a channel that holds one signal, unless it holds one already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d. It reports false if the process is ending.
func (g *Gateway) sleep(d time.Duration) bool {
	select {
	case <-g.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
