// Package entry is an entry host on the users' platform: it passes callers'
// requests on to backend servers by the operator's configuration, and learns
// configuration and servers from the platform's store.
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
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"golang.org/x/sys/unix"

	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/io/http1"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
)

const (
	// memoryPart is the part of the memory allowed up to which the collector lets
	// the heap grow, and heapGrowth how far in per cent it grows between collections.
	memoryPart = 0.6
	heapGrowth = 200
	// headerWait, idleWait and headerBytes bound callers; configurations allow less.
	headerWait  = 10 * time.Second
	idleWait    = 3 * time.Minute
	headerBytes = 64 << 10
	tidyPeriod  = time.Second
)

// Node is one entry host.
type Node struct {
	settings *Settings
	journal  *journal
	metrics  *metrics
	recorder *recorder
	holder   *freshness.Tracker
	fleet    *fleet.Fleet
	prompts  *fleet.PromptIndex
	pool     *http1.Pool
	store    *platform.Store
	handler  *relay.Handler
	servers  *follower

	started time.Duration // by the uptime

	raw       atomic.Pointer[rawConfiguration]
	undecoded atomic.Bool // the newest configuration can't be read
	beliefs   sync.Mutex  // held while what is known of servers changes
	registry  registry
	changes   changes
	pulse     freshness.StallDetector
	draining  atomic.Bool
	looked    atomic.Bool   // the entry hosts were read, or could not be
	known     chan struct{} // closed once configuration and servers are known
	knownOnce sync.Once
	drain     chan struct{}
	drainOnce sync.Once
	hosts     *records.HostStore
	nodes     directory
	peers     peers
}

// New returns a node that listens nowhere yet. It logs to out.
func New(s *Settings, out io.Writer) *Node {
	n := &Node{
		settings: s, journal: newJournal(out), metrics: newMetrics(), holder: freshness.New(), fleet: fleet.New(s.place), prompts: fleet.NewPromptIndex(), pool: http1.NewPool(),
		store: platform.NewStore(s.platform, s.name), started: uptime(), known: make(chan struct{}), drain: make(chan struct{}),
	}
	n.hosts = records.NewHostStore(platform.NewTable(n.store))
	n.recorder = newRecorder(newLogger(n.journal, s.logLevel, s.name), n.metrics)
	n.handler = relay.New(relay.Parts{
		Dialect: platform.Dialect{}, Holder: n.holder, Fleet: n.fleet, Prompts: n.prompts, Pool: n.pool, Recorder: n.recorder, Bounds: s.bounds,
		Uptime: uptime, Nodes: n.nodes.count, Urgent: n.tell, Pulse: &n.pulse, Known: n.known,
	})
	n.servers = n.follower(platform.ServersTable, n.takeServers)
	n.servers.gather = serversGather
	n.peers.init()
	return n
}

// serversGather gathers changes of servers, of which many come at a time.
const serversGather = 250 * time.Millisecond

func (n *Node) follower(table string, take func(view)) *follower {
	return &follower{table: table, store: n.store, uptime: uptime, recorder: n.recorder, take: take, took: n.metrics.took, active: n.reads, nodes: n.nodes.known, clock: &freshness.StoreClock{}}
}

// uptime reads a clock that goes on while the host is suspended.
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
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(float64(n.settings.memoryMB) * (1 << 20) * memoryPart))
	written := make(chan struct{})
	stopWriting := make(chan struct{})
	go func() { n.journal.run(stopWriting); close(written) }()
	defer func() {
		close(stopWriting)
		select {
		case <-written:
		case <-time.After(flushWait):
		}
	}()
	defer n.metrics.close()
	n.recorder.Record("started", relay.Fields{"callers": n.settings.callers, "data_centre": n.settings.place.DataCentre})
	err := n.serve(ctx)
	n.recorder.Record("stopped", relay.Fields{"running": n.handler.Running()})
	if errors.Is(err, errDrained) || ctx.Err() != nil {
		return nil
	}
	return err
}

func (n *Node) serve(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var g run.Group
	halt := func(error) { stop() }
	g.Add(func() error { return n.waitDrain(ctx) }, halt)
	g.Add(func() error { return n.follower(platform.OperatorTable, n.takeConfiguration).run(ctx) }, halt)
	g.Add(func() error { return n.servers.run(ctx) }, halt)
	g.Add(func() error { return n.registerNode(ctx) }, halt)
	g.Add(func() error { return n.tidy(ctx) }, halt)
	g.Add(func() error { return n.beat(ctx) }, halt)
	g.Add(func() error { return n.exchange(ctx) }, halt)
	g.Add(func() error { return n.findPrompts(ctx) }, halt)
	if err := n.addNeighbours(&g); err != nil {
		return err
	}
	if err := n.addHTTP(ctx, &g, n.settings.callers, n.handler); err != nil {
		return err
	}
	if err := n.addHTTP(ctx, &g, n.settings.readiness, n.readiness()); err != nil {
		return err
	}
	if n.settings.metrics != "" {
		if err := n.addHTTP(ctx, &g, n.settings.metrics, n.operators()); err != nil {
			return err
		}
	}
	return g.Run()
}

func (n *Node) addHTTP(ctx context.Context, g *run.Group, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := &http.Server{
		Handler: h, MaxHeaderBytes: headerBytes, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	g.Add(func() error { return s.Serve(l) }, func(error) { _ = s.Close() })
	return nil
}

func (n *Node) readiness() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}

// ready tells whether the node can serve callers: it knows configuration and
// servers, can prove that keys are valid, and doesn't stop.
func (n *Node) ready() bool {
	c, age := n.holder.CatalogAndAge(uptime())
	if c == nil || !n.registry.fact(0).Known || n.draining.Load() {
		return false
	}
	return n.settings.bounds.Revoke == 0 || !c.RequiresKeys() || age < n.settings.bounds.Revoke
}

func (n *Node) operators() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", n.metrics.handler())
	return m
}

// beat notes again and again that the process runs.
func (n *Node) beat(ctx context.Context) error {
	for ctx.Err() == nil {
		n.pulse.Tick(uptime())
		pause(ctx, freshness.StallCheckInterval)
	}
	return ctx.Err()
}

// tidy forgets what is over.
func (n *Node) tidy(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, tidyPeriod)
		now := time.Now()
		n.pool.Expire(now)
		n.fleet.Expire(now)
		n.prompts.Expire(now)
		n.metrics.gauge("running", float64(n.handler.Running()))
		n.metrics.gauge("store_calls", float64(n.store.Calls()))
		n.metrics.gauge("server_connections", float64(n.pool.Opened()))
	}
	return ctx.Err()
}
