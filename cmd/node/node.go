// Package node implements an entry host. It connects the listeners, the packages under
// core, and the clients for other nodes, backend servers and the platform.
//
// # Usage
//
//	n := node.New(settings, version, logger)
//	err := n.Run(ctx)      // serves until ctx is done or Drain has finished
//	n.Drain()              // from another goroutine: finish the requests in flight
package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/oklog/run"

	"cicadabeam/cmd/connections"
	"cicadabeam/cmd/settings"
	"cicadabeam/core/admit"
	"cicadabeam/core/answer"
	"cicadabeam/core/balance"
	"cicadabeam/core/bytebudget"
	"cicadabeam/core/claim"
	"cicadabeam/core/config"
	"cicadabeam/core/connlimit"
	"cicadabeam/core/drain"
	"cicadabeam/core/freshness"
	"cicadabeam/core/generation"
	"cicadabeam/core/holder"
	"cicadabeam/core/membership"
	"cicadabeam/core/quarantine"
	"cicadabeam/core/records"
	"cicadabeam/core/replication"
	"cicadabeam/core/route"
	"cicadabeam/io/caller"
	"cicadabeam/io/engine"
	"cicadabeam/io/httpserver"
	"cicadabeam/io/operator"
	"cicadabeam/io/peer"
	"cicadabeam/io/service"
	"cicadabeam/io/tcp"
	"cicadabeam/platform"
)

// Node is one entry host.
type Node struct {
	settings    *settings.Settings
	version     string
	incarnation string
	started     time.Time
	log         log.Interface
	metrics     *metrics

	config             atomic.Pointer[config.Config]
	nodes              *membership.Table
	loads              *balance.Table
	quarantine         *quarantine.List
	crashes            *generation.CrashDetector
	router             *route.Router
	concurrencyLimiter *admit.ConcurrencyLimiter
	rateLimiter        *admit.RateLimiter
	runner             *generation.Runner
	replicator         *replication.Replicator
	holder             *holder.AnswerStore
	calls              *claim.Dispatcher
	engine             *engine.Client
	service            *service.Client
	eras               *freshness.Eras
	platform           *platform.Table
	hosts              *records.HostStore
	configs            *records.ConfigStore
	claims             *records.ClaimStore
	buffers            *bytebudget.Budget
	connections        *connections.Limits
	traffic            *peer.Traffic
	peers              *peer.Client

	heartbeatTrigger chan struct{}
	nodeInfoSchedule nodeInfoSchedule
	fetchMu          sync.Mutex
	reports          polledReports

	registered    atomic.Bool
	registeredAt  atomic.Pointer[time.Time] // last registration, nil for none
	restored      chan struct{}             // the store came back from an older copy
	state         atomic.Value              // holds a state
	drainStarted  chan struct{}
	drainOnce     sync.Once
	drainWindow   atomic.Pointer[drain.Window] // nil unless the node drains
	callDurations drain.Durations
	remoteReads   atomic.Int64 // reads of other nodes in flight
	ctx           context.Context
	stop          context.CancelFunc
}

const (
	// shutdownTimeout limits how long a stopping node waits for requests that arrived while it
	// was stopping, which it refuses. Those that a drain did not wait for are cancelled then.
	shutdownTimeout = 500 * time.Millisecond
	// lastResponseTimeout limits the time in which cancelled requests are answered.
	lastResponseTimeout = 300 * time.Millisecond
)

type state string

const (
	starting state = "starting"
	ready    state = "ready"
	draining state = "draining"
)

// New returns a node. Its listeners are opened by Run.
func New(s *settings.Settings, version string, l log.Interface) *Node {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		settings: s, version: version, incarnation: uuid.NewString(), started: time.Now(), log: l, metrics: newMetrics(),
		nodes: membership.New(s.Self()), loads: balance.New(), quarantine: quarantine.New(), concurrencyLimiter: admit.NewConcurrencyLimiter(), rateLimiter: admit.NewRateLimiter(),
		buffers: bytebudget.New(s.BufferBytes()), traffic: &peer.Traffic{},
		heartbeatTrigger: make(chan struct{}, 1), restored: make(chan struct{}, 1), drainStarted: make(chan struct{}), ctx: ctx, stop: stop,
	}
	n.state.Store(starting)
	n.connections = connections.New(s.Connections(), 0, func(event string, f map[string]any) { l.WithFields(log.Fields(f)).Warn(event) })
	n.eras = freshness.NewEras(func() time.Duration { return time.Since(n.started) }, n.handleRise)
	n.platform = platform.NewTable(platform.NewStoreClient(s.PlatformURL(), s.Self().Name).WithEras(n.eras))
	n.hosts = records.NewHostStore(n.platform)
	n.configs = records.NewConfigStore(n.platform)
	n.claims = records.NewClaimStore(n.platform)
	n.peers = peer.NewClient(n.nodes, s.PeerSecret(), s.PeerClientTLS(), n.traffic)
	n.router = route.New(n.loads, n)
	n.engine = engine.New(n.recordLateEnd)
	n.service = service.New(n)
	n.service.Limit(n.buffers)
	n.engine.Limit(n.buffers)
	n.replicator = replication.New(n.peers, n.nodes)
	n.crashes = generation.NewCrashDetector(n)
	n.runner = generation.New(n.engine, n.replicator, n.loads, n.router, n.quarantine, n.crashes, n)
	n.holder = holder.New(n.nodes, n.peers, n.replicator, n.produce)
	n.calls = claim.New(s.Self().Name, n.incarnation, n.claims, n.peers, n.service)
	return n
}

// Run serves until ctx is done, a listener fails, or a drain has finished.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	var g run.Group
	g.Add(func() error { return n.waitForDrain(ctx) }, func(error) { n.stop() })
	n.addLoops(&g)
	if err := n.addListeners(&g); err != nil {
		return err
	}
	n.log.WithFields(log.Fields{"version": n.version, "callers": n.settings.CallerAddress(), "peers": n.settings.PeerAddress()}).Info("started")
	err := g.Run()
	if errors.Is(err, errDrained) || ctx.Err() != nil {
		return nil
	}
	return err
}

func (n *Node) close() {
	n.stop()
	n.holder.Close()
	n.replicator.Close()
	n.peers.Close()
	n.metrics.close()
}

func (n *Node) addListeners(g *run.Group) error {
	limits := caller.Limits{MaxBodyBytes: n.settings.MaxBodyBytes(), Buffers: n.buffers, BodyReadTimeout: n.settings.BodyTimeout(), WriteTimeout: n.settings.WriteTimeout()}
	callers := caller.New(n, limits, n)
	if err := n.addHTTP(g, n.settings.CallerAddress(), nil, n.connections.Callers(), callers); err != nil {
		return err
	}
	operators := operator.NewHandler(n, n.settings.OperatorSecret(), n.metrics.handler())
	if err := n.addHTTP(g, n.settings.OperatorAddress(), n.settings.OperatorTLS(), n.connections.Metrics(), operators); err != nil {
		return err
	}
	l, err := net.Listen("tcp", n.settings.PeerAddress())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	s, err := peer.NewServer(tcp.LimitListener(l, n.connections.Hosts()), n.settings.PeerSecret(), n.settings.PeerServerTLS(), peerHandler{n}, n.traffic, n.peerRejected)
	if err != nil {
		return err
	}
	g.Add(s.Serve, func(error) { s.Close() })
	return nil
}

func (n *Node) addHTTP(g *run.Group, address string, c *tls.Config, limit *connlimit.Limit, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if c != nil {
		l = tls.NewListener(l, c)
	}
	requests, cancel := context.WithCancelCause(context.Background())
	s := &http.Server{
		Handler:           h,
		BaseContext:       func(net.Listener) context.Context { return requests },
		MaxHeaderBytes:    n.settings.MaxHeaderBytes(),
		ReadHeaderTimeout: n.settings.HeaderTimeout(),
		IdleTimeout:       n.settings.IdleTimeout(),
	}
	x := httpserver.New(l, s)
	x.Limit(n.buffers)
	x.LimitConnections(limit)
	g.Add(x.Run, func(error) {
		x.Drain(time.Now().Add(shutdownTimeout))
		cancel(caller.ErrStopping)
		x.Shutdown(time.Now().Add(lastResponseTimeout))
	})
	return nil
}

func (n *Node) peerRejected(from string, err error) {
	n.log.WithFields(log.Fields{"step": "handshake", "peer": from, "error": err.Error()}).Warn("peer connection rejected")
}

// produce implements holder.GenerateFunc. It runs the attempts of an answer
// that this node holds.
func (n *Node) produce(ctx context.Context, a *answer.Answer, epoch uint64) {
	j, err := n.newJob(a, epoch)
	if err != nil {
		n.log.WithFields(log.Fields{"request": a.Header().ID, "step": "produce", "error": err.Error()}).Error("answer not produced")
		a.End(epoch, generation.FailedFinish(err), answer.Usage{})
		n.replicator.Replicate(a)
		return
	}
	n.runner.Run(ctx, j)
}

// loop returns a function that calls f immediately and then once per interval until the
// node stops.
func (n *Node) loop(interval time.Duration, f func(now time.Time)) func() error {
	return func() error {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			f(time.Now())
			select {
			case <-n.ctx.Done():
				return n.ctx.Err()
			case <-t.C:
			}
		}
	}
}
