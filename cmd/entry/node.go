// Package entry implements an entry host on the users' platform. It forwards callers'
// requests to backend servers according to the operator's configuration, and reads the
// configuration and the servers from the platform's store.
//
// # Usage
//
//	s, err := entry.Load("entry.ini")
//	n := entry.New(s, os.Stdout)
//	err = n.Run(ctx)   // until ctx is done or Drain has finished
package entry

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"golang.org/x/sys/unix"

	"cicadabeam/cmd/connections"
	"cicadabeam/cmd/hostlist"
	"cicadabeam/cmd/rollouts"
	"cicadabeam/core/admission"
	"cicadabeam/core/aggregation"
	"cicadabeam/core/bytebudget"
	"cicadabeam/core/changelog"
	"cicadabeam/core/connlimit"
	"cicadabeam/core/drain"
	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/partition"
	"cicadabeam/core/promptindex"
	"cicadabeam/core/readers"
	"cicadabeam/core/records"
	"cicadabeam/core/streamversion"
	"cicadabeam/io/http1"
	"cicadabeam/io/httpserver"
	"cicadabeam/io/relay"
	"cicadabeam/io/serverpath"
	"cicadabeam/io/tunnel"
	"cicadabeam/platform"
)

const (
	// memoryLimitShare is the share of the configured memory that is set as the Go
	// runtime's memory limit, and gcPercent the heap growth in per cent between garbage
	// collections.
	memoryLimitShare = 0.6
	gcPercent        = 200
	expireInterval   = time.Second
)

// Node is one entry host.
type Node struct {
	settings  *Settings
	logWriter *logWriter
	metrics   *metrics
	recorder  *recorder
	tracker   *freshness.Tracker
	fleet     *fleet.Fleet
	prompts   *promptindex.Index
	admission *admission.Gates
	// streamVersions knows which software versions began streams.
	streamVersions *streamversion.Index
	versionsMissed atomic.Bool // a server that was never known has left
	pool           *http1.Pool
	store          *platform.StoreClient
	buffers        *bytebudget.Budget
	handler        *relay.Handler
	callers        *httpserver.Server
	connections    *connections.Limits
	// configurationWatcher and serverWatcher follow the store's tables.
	configurationWatcher *tableWatcher
	serverWatcher        *tableWatcher

	started time.Duration // uptime

	encoded              atomic.Pointer[rawConfiguration] // the newest configuration
	configurationInvalid atomic.Bool                      // the newest configuration could not be decoded
	serversMu            sync.Mutex                       // held while the known servers are changed
	serverFreshness      serverFreshness
	changeLog            changelog.Log
	wholeList            wholeList
	configurationLimit   readers.ConfigurationLimit
	forwarding           *aggregation.Forwarding // of aggregates
	stallDetector        freshness.StallDetector
	draining             atomic.Bool
	hostListTried        atomic.Bool // the host list was read, or reading it failed
	eras                 *freshness.Eras
	restored             chan struct{} // the store came back from an older copy
	rewrittenIn          uint64        // era in which the operator has written; used by configurationWatcher only
	storedRevision       uint64        // of the configuration in the store; used by configurationWatcher only
	synced               chan struct{} // closed once configuration and servers are known
	syncedOnce           sync.Once
	drainStarted         chan struct{}
	drainOnce            sync.Once
	drainWindow          drain.Window // set before drainStarted is closed
	hosts                *records.HostStore
	directory            hostlist.List
	registeredAt         time.Duration // uptime of the last registration; used by maintainRegistration only
	peers                peers
	causes               storedCauses
	partition            *partition.Detector
	tunnels              *tunnel.Node
	dialer               *serverpath.Dialer // of connections to servers
	rollouts             *rollouts.Rollouts // nil if they are disabled
}

// New returns a node that is not listening yet. It logs to out.
func New(s *Settings, out io.Writer) *Node {
	n := &Node{
		settings: s, metrics: newMetrics(), tracker: freshness.New(), fleet: fleet.New(s.topology), prompts: promptindex.New(), admission: admission.NewGates(), pool: http1.NewPool(),
		restored: make(chan struct{}, 1), started: uptime(), synced: make(chan struct{}), drainStarted: make(chan struct{}),
	}
	n.fleet.SetEvenLoad(s.evenLoad)
	n.buffers = bytebudget.New(s.bufferBytes)
	n.pool.From(s.source)
	n.partition = partition.NewDetector()
	n.tunnels = tunnel.New(n.dialForPeer, n.recordTunnel)
	n.dialer = n.newDialer()
	n.pool.Use(serverPaths{n})
	n.logWriter = newLogWriter(out, s.name, func() { n.metrics.countDropped("any", "output") })
	n.eras = freshness.NewEras(uptime, n.handleRise)
	n.store = platform.NewStoreClient(s.platform, s.name).WithEras(n.eras)
	n.hosts = records.NewHostStore(platform.NewTable(n.store))
	n.recorder = newRecorder(newLogger(n.logWriter, s.logLevel, s.name), n.metrics)
	n.connections = connections.New(s.connections, s.memoryMB, func(event string, f map[string]any) { n.recorder.Record(event, f) })
	n.streamVersions = streamversion.New(streamPeers{n})
	n.rollouts = n.newRollouts()
	n.handler = relay.New(relay.Dependencies{
		Codec: platform.Codec{}, Catalog: n.tracker, Fleet: n.fleet, PromptIndex: n.prompts, Admission: n.admission, StreamVersions: n.streamVersions, Pool: n.pool, Recorder: n.recorder, Limits: s.limits, Buffers: n.buffers,
		Uptime: uptime, NodeCount: n.directory.Count, NotifyPeers: n.triggerExchange, StoreCauses: n.storeCauses, StoreSuspicion: n.storeCause, Partitioned: n.partition.Partitioned, StallDetector: &n.stallDetector, Rollouts: n.rollouts.Traffic(), Ready: n.synced,
	})
	n.configurationWatcher = n.newWatcher(platform.OperatorTable, n.applyConfigurationUpdate, n.configurationKnown)
	n.configurationWatcher.pollWait = n.configurationPollWait
	n.serverWatcher = n.newWatcher(platform.ServersTable, n.applyServerUpdate, n.serversKnown)
	n.serverWatcher.batchDelay = serverBatchDelay
	n.peers.init()
	n.forwarding = aggregation.NewForwarding()
	return n
}

// serverBatchDelay is the batch delay for server changes, as many occur at the same time.
const serverBatchDelay = 250 * time.Millisecond

func (n *Node) newWatcher(table string, onUpdate func(tableUpdate), known func() bool) *tableWatcher {
	return &tableWatcher{
		table: table, store: n.store, uptime: uptime, recorder: n.recorder, onUpdate: onUpdate, observe: n.metrics.observe, shouldRead: n.readsStore,
		pollWait: func() time.Duration { return n.readTiming().PollWait() }, awaitPeerState: func(ctx context.Context) bool { return n.awaitPeerState(ctx, known) }, knownNodes: n.directory.KnownCount,
		eras: n.eras, clock: &freshness.StoreClock{},
	}
}

// uptime reads a clock that keeps running while the host is suspended.
func uptime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Run serves until ctx is done, a listener fails, or a drain has finished.
func (n *Node) Run(ctx context.Context) error {
	runtime.GOMAXPROCS(max(n.settings.cores, 1))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(n.settings.memoryMB) * (1 << 20) * memoryLimitShare))
	logDone := make(chan struct{})
	stopLog := make(chan struct{})
	go func() { n.logWriter.run(stopLog); close(logDone) }()
	go n.recorder.run(stopLog)
	defer func() {
		n.recorder.reportDropped()
		close(stopLog)
		select {
		case <-logDone:
		case <-time.After(finalFlushTimeout):
		}
	}()
	defer n.metrics.close()
	n.recorder.Record("started", relay.Fields{"callers": n.settings.callers, "data_centre": n.settings.topology.DataCentre})
	err := n.serve(ctx)
	n.recorder.Record("stopped", relay.Fields{"running": n.handler.Running()})
	if errors.Is(err, errDrained) || ctx.Err() != nil {
		return nil
	}
	return err
}

func (n *Node) serve(ctx context.Context) error {
	requests, stopRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	ctx, stop := context.WithCancel(ctx)
	var g run.Group
	halt := func(error) { stopRequests(relay.ErrStopping); stop() }
	defer halt(nil)
	g.Add(func() error { return n.awaitDrain(ctx) }, halt)
	g.Add(func() error { return n.configurationWatcher.run(ctx) }, halt)
	g.Add(func() error { return n.serverWatcher.run(ctx) }, halt)
	g.Add(func() error { return n.maintainRegistration(ctx) }, halt)
	g.Add(func() error { return n.expireLoop(ctx) }, halt)
	g.Add(func() error { return n.tickStallDetector(ctx) }, halt)
	g.Add(func() error { return n.exchangeLoop(ctx) }, halt)
	g.Add(func() error { return n.discoverPrompts(ctx) }, halt)
	g.Add(func() error { return n.maintainVersions(ctx) }, halt)
	g.Add(func() error { return n.maintainStreams(ctx) }, halt)
	g.Add(func() error { return n.watchPartition(ctx) }, halt)
	g.Add(func() error { return n.rollouts.Run(ctx) }, halt)
	if err := n.addPeerServer(&g); err != nil {
		return err
	}
	var err error
	if n.callers, err = newHTTPServer(requests, n.settings.callers, n.connections.Callers(), n.handler); err != nil {
		return err
	}
	n.callers.Limit(n.buffers)
	g.Add(n.callers.Run, n.closeCallers)
	if err := addHTTP(requests, &g, n.settings.readiness, n.connections.Readiness(), n.readinessHandler()); err != nil {
		return err
	}
	if n.settings.metrics != "" {
		if err := addHTTP(requests, &g, n.settings.metrics, n.connections.Metrics(), n.metricsHandler()); err != nil {
			return err
		}
	}
	return g.Run()
}

// addHTTP adds an HTTP server that ends without waiting for its requests.
func addHTTP(ctx context.Context, g *run.Group, address string, limit *connlimit.Limit, h http.Handler) error {
	s, err := newHTTPServer(ctx, address, limit, h)
	if err != nil {
		return err
	}
	g.Add(s.Run, func(error) { s.Shutdown(time.Now()) })
	return nil
}

func (n *Node) readinessHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}

// ready reports whether the node can serve callers: the configuration and the servers are
// known, the node is not draining and, if revocation is strict, the configuration was
// confirmed recently enough to accept keys.
func (n *Node) ready() bool {
	c, age := n.tracker.CatalogAndAge(uptime())
	if c == nil || !n.serverFreshness.freshness(0).Known || n.draining.Load() {
		return false
	}
	return n.settings.limits.MaxKeyAge == 0 || !c.RequiresKeys() || age < n.settings.limits.MaxKeyAge
}

func (n *Node) metricsHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", n.metrics.handler())
	return m
}

// tickStallDetector calls the stall detector periodically.
func (n *Node) tickStallDetector(ctx context.Context) error {
	for ctx.Err() == nil {
		n.stallDetector.Tick(uptime())
		sleep(ctx, freshness.StallCheckInterval)
	}
	return ctx.Err()
}

// expireLoop removes expired entries and updates the gauges periodically.
func (n *Node) expireLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, expireInterval)
		now := time.Now()
		n.pool.CloseUnusable(now)
		n.fleet.Expire(now)
		n.prompts.Expire(now)
		n.rollouts.Gauges(n.metrics.serviceGauge)
		n.metrics.gauge("buffered_bytes", float64(n.buffers.Held()))
		n.metrics.countTo("buffer_refusals", "kind", n.buffers.Refusals())
		n.metrics.gauge("admission_waiting", float64(n.admission.Waiting()))
		n.metrics.countTo("admission", "outcome", n.admission.Totals())
		n.connections.Report(n.metrics.scope)
		n.metrics.gauge("running", float64(n.handler.Running()))
		n.metrics.gauge("store_era", float64(n.eras.Current()))
		n.metrics.gauge("store_calls", float64(n.store.Calls()))
		n.metrics.gauge("server_connections", float64(n.pool.OpenedConnections()))
	}
	return ctx.Err()
}
