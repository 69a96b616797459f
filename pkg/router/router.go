// Package router implements the router process that runs on every VM.
//
// Requests run in a bounded pool of workers over shared tables. Each table has one mutex, see guarded. A goroutine that
// needs several tables locks them in this order: config, members, leases, limits, intents, queues, placer, index,
// engineInfos, crashes, orders, pendingLoads, tokenTurns. No network call is made while a table is locked.
package router

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/panjf2000/ants/v2"
	"github.com/phuslu/log"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/auth"
	"github.com/corneldeal/corneldeal/pkg/cacheindex"
	"github.com/corneldeal/corneldeal/pkg/caller"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/engine"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/lease"
	"github.com/corneldeal/corneldeal/pkg/limit"
	"github.com/corneldeal/corneldeal/pkg/logservice"
	"github.com/corneldeal/corneldeal/pkg/member"
	"github.com/corneldeal/corneldeal/pkg/order"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/service"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/timeline"
	"github.com/corneldeal/corneldeal/pkg/vmlist"
)

// Version is the version of the program.
const Version = "0.1.0"

// Router is one router process. Its methods are called in the order New, Provision, Validate, Start, Shutdown, Cleanup.
type Router struct {
	settings    settings.Settings
	incarnation string
	started     time.Time
	logger      *log.Logger

	http     *httpcall.Client
	logs     *logservice.Client
	vmList   *vmlist.Client
	engines  *engine.Client
	services *service.Client
	peers    *peer.Clients
	peerTLS  *tls.Config
	// datagrams sends and receives load updates between heartbeats.
	datagrams *peer.DatagramSocket

	pool     *ants.Pool
	clock    *timeline.Clock
	events   *timeline.Recorder
	requests *auth.Registry

	// publishing is held while a new state is put in force. It is locked before any table.
	publishing sync.Mutex
	// state is the configuration in force. It is replaced as a whole.
	state   atomic.Pointer[config.State]
	config  guarded[*config.Replay]
	members guarded[*member.Table]
	leases  guarded[*lease.Manager]
	limits  guarded[*limit.Limiter]
	intents guarded[*intentTable]
	// queues holds one queue per model.
	queues       guarded[*admissionTable]
	placer       guarded[*placementTable]
	index        guarded[*cacheindex.Index]
	engineInfos  guarded[*engineTable]
	crashes      guarded[*crashguard.Guard]
	orders       guarded[*order.Planner]
	pendingLoads guarded[*loadChanges]
	tokenTurns   guarded[*tokenTurns]
	retries      guarded[*admit.RetryBudget]

	intentsAdded chan struct{}
	loadsChanged chan struct{}
	queueFilled  chan struct{}
	requestIDs   atomic.Uint64
	crashSeq     atomic.Uint64

	draining          atomic.Bool
	running           atomic.Int64
	vmListReadable    atomic.Bool
	controlReadFailed atomic.Bool
	controlLogStart   atomic.Int64
	// lastControlRead is the start of the newest complete read of the control stream.
	lastControlRead atomicTime
	// lastLogAnswer is the time of the newest answer of the log to a read or an append.
	lastLogAnswer atomicTime
	// orderFence is the fencing number of the newest right to issue orders. orderSince is the time at which that right
	// was first held.
	orderFence atomic.Int64
	orderSince atomicTime
	// lastSnapshot is the offset of the newest snapshot record. lastSnapshotSeen is the time at which it was first
	// seen, or at which a new snapshot was last due.
	lastSnapshot     atomic.Int64
	lastSnapshotSeen atomicTime
	// lastAppendFailure is the time of the newest failed append. A successful append clears it.
	lastAppendFailure atomicTime

	callerListener net.Listener
	peerListener   net.Listener
	callerServer   *caller.Server
	peerServer     *http.Server

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	fatal      chan error
}

// New returns a router with the given settings. It opens no listeners.
func New(s settings.Settings) *Router {
	incarnation := uuid.NewString()
	clock := &timeline.Clock{}
	r := &Router{
		settings:    s,
		incarnation: incarnation,
		started:     time.Now(),
		logger:      newLogger(s.VM, s.LogLevel),
		http:        httpcall.NewClient(),
		clock:       clock,
		events:      timeline.NewRecorder(clock, s.VM, incarnation, s.TimelineEvents),
		requests:    &auth.Registry{},
		fatal:       make(chan error, 1),

		intentsAdded: make(chan struct{}, 1),
		loadsChanged: make(chan struct{}, 1),
		queueFilled:  make(chan struct{}, 1),
	}
	r.config.table = config.NewReplay()
	r.members.table = member.NewTable(s.VM)
	r.leases.table = lease.NewManager(lease.Holder{VM: s.VM, Incarnation: incarnation, Address: s.PeerAdvertiseAddress})
	r.limits.table = limit.New()
	r.intents.table = newIntentTable(s.VM, incarnation)
	r.queues.table = newAdmissionTable(s.QueuePerWorkspace)
	r.index.table = cacheindex.New(cacheindex.Settings{}, r.started)
	r.engineInfos.table = newEngineTable()
	r.crashes.table = crashguard.New(crashguard.Settings{})
	r.tokenTurns.table = &tokenTurns{byWorkspace: map[string]chan struct{}{}}
	r.pendingLoads.table = &loadChanges{endpoints: map[string]bool{}}
	r.orderFence.Store(-1)
	r.orders.table = order.NewPlanner(order.Settings{})
	r.retries.table = &admit.RetryBudget{}
	r.state.Store(r.config.table.State())
	r.logs = logservice.New(s.LogAddress, r.http)
	r.vmList = vmlist.New(s.VMListAddress, r.http)
	r.engines = engine.New(r.http)
	r.services = service.New(r.http)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Provision opens the listeners and creates the peer clients and the worker pool.
func (r *Router) Provision() error {
	conf, err := peer.TLSConfig(r.settings.PeerTLS)
	if err != nil {
		return err
	}
	r.peerTLS = conf
	r.peers = peer.NewClients(r.settings.PeerToken, conf)
	if r.placer.table, err = newPlacementTable(r.settings); err != nil {
		return err
	}
	// A full pool refuses a task at once instead of blocking, and no task submits to the pool.
	r.pool, err = ants.NewPool(r.settings.Workers, ants.WithNonblocking(true))
	if err != nil {
		return fmt.Errorf("worker pool: %w", err)
	}
	// The peer address is bound first. Success proves that no earlier process of this VM is still running.
	if r.peerListener, err = net.Listen("tcp", r.settings.PeerAddress); err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	if r.datagrams, err = peer.ListenDatagrams(r.settings.PeerAddress, r.settings.PeerToken); err != nil {
		return fmt.Errorf("peer datagrams: %w", err)
	}
	if r.callerListener, err = listenCallers(r.settings); err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	r.callerServer = caller.NewServer(r, r.settings)
	r.peerServer = peer.NewServer(&peerService{r: r}, r.settings.PeerToken, conf)
	return nil
}

// listenCallers opens the listener for callers, with TLS if it is configured.
func listenCallers(s settings.Settings) (net.Listener, error) {
	ln, err := net.Listen("tcp", s.CallerAddress)
	if err != nil || s.CallerTLS == nil {
		return ln, err
	}
	pair, err := tls.LoadX509KeyPair(s.CallerTLS.CertFile, s.CallerTLS.KeyFile)
	if err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	return tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}), nil
}

// Validate returns an error unless Provision has succeeded.
func (r *Router) Validate() error {
	if r.callerListener == nil || r.peerListener == nil || r.pool == nil {
		return errors.New("router: not provisioned")
	}
	return nil
}

// Start serves callers and peers until Shutdown. Errors that must stop the process are sent to the channel of Fatal.
func (r *Router) Start() {
	r.spawn(r.servePeers)
	r.spawn(r.receiveLoads)
	r.bootstrap()
	r.startLoops()
	r.spawn(func() {
		if err := r.callerServer.Serve(r.callerListener); err != nil {
			r.reportFatal(fmt.Errorf("caller listener: %w", err))
		}
	})
	r.info(partProcess).Str("incarnation", r.incarnation).Str("callers", r.settings.CallerAddress).Msg("process: started")
	r.record(partProcess, "started", "", "")
}

// servePeers serves the peer protocol until its listener is closed.
func (r *Router) servePeers() {
	var err error
	if r.peerTLS != nil {
		err = r.peerServer.ServeTLS(r.peerListener, "", "")
	} else {
		err = r.peerServer.Serve(r.peerListener)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		r.reportFatal(fmt.Errorf("peer listener: %w", err))
	}
}

// spawn runs f in a goroutine that Cleanup waits for.
func (r *Router) spawn(f func()) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		f()
	}()
}

// runEvery runs f at once and then once per period until the router stops.
func (r *Router) runEvery(period time.Duration, f func()) {
	r.spawn(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			f()
			select {
			case <-ticker.C:
			case <-r.ctx.Done():
				return
			}
		}
	})
}

// wake signals a loop that waits on the channel. It does not block; a pending signal covers the new one.
func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// runOnSignal runs f after each signal and a pause, until the router stops. Timers that ran all the time instead used
// most of the processor time of an idle process.
func (r *Router) runOnSignal(signal <-chan struct{}, pause time.Duration, f func()) {
	r.spawn(func() {
		for {
			select {
			case <-signal:
			case <-r.ctx.Done():
				return
			}
			r.pause(pause)
			f()
		}
	})
}

// reportFatal sends a broken invariant or the failure of a listener to the channel of Fatal. Only the first error is
// kept until it is received.
func (r *Router) reportFatal(err error) {
	if r.ctx.Err() != nil {
		return
	}
	select {
	case r.fatal <- err:
	default:
	}
}

// Fatal returns the channel that delivers the error that must stop the process.
func (r *Router) Fatal() <-chan error {
	return r.fatal
}

// Shutdown stops the router gracefully. Readiness fails first, requests are still accepted for the drain delay while
// the load balancer reacts, and every accepted request gets its whole answer. It returns the error of ctx if that ends
// first.
func (r *Router) Shutdown(ctx context.Context) error {
	r.draining.Store(true)
	r.info(partProcess).Msg("process: draining")
	r.record(partProcess, "draining", "", "")
	select {
	case <-time.After(r.settings.DrainDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	err := r.callerServer.Shutdown(ctx)
	r.releaseLeases()
	r.record(partProcess, "stopped", "", "")
	r.info(partProcess).Msg("process: stopped")
	return err
}

// Cleanup closes the listeners and connections and waits for the background goroutines.
func (r *Router) Cleanup() {
	r.cancel()
	if r.callerListener != nil {
		_ = r.callerListener.Close()
	}
	if r.peerServer != nil {
		_ = r.peerServer.Close()
	}
	if r.datagrams != nil {
		r.datagrams.Close()
	}
	r.background.Wait()
	if r.pool != nil {
		r.pool.Release()
	}
	if r.peers != nil {
		r.peers.Close()
	}
	r.http.Close()
}

// record adds an event to the timeline.
func (r *Router) record(part, name, request, detail string) {
	r.events.Record(timeline.Event{Part: part, Name: name, Request: request, Detail: detail}, time.Now())
}
