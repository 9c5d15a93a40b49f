// Package node is an entry host: it joins the listeners, the decisions and the
// connections to other nodes, backend servers and the platform.
//
// # Usage
//
//	n := node.New(settings, version, logger)
//	err := n.Run(ctx)      // serves until ctx is done or Drain has finished
//	n.Drain()             // from another goroutine: finish what is under way
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

	"cicadabeam/cmd/settings"
	"cicadabeam/core/admit"
	"cicadabeam/core/answer"
	"cicadabeam/core/balance"
	"cicadabeam/core/claim"
	"cicadabeam/core/config"
	"cicadabeam/core/generation"
	"cicadabeam/core/holder"
	"cicadabeam/core/membership"
	"cicadabeam/core/quarantine"
	"cicadabeam/core/records"
	"cicadabeam/core/replication"
	"cicadabeam/core/route"
	"cicadabeam/io/caller"
	"cicadabeam/io/engine"
	"cicadabeam/io/operator"
	"cicadabeam/io/peer"
	"cicadabeam/io/service"
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

	config     atomic.Pointer[config.Config]
	nodes      *membership.Table
	loads      *balance.Table
	quarantine *quarantine.List
	router     *route.Router
	counter    *admit.ConcurrencyLimiter
	rates      *admit.RateLimiter
	runner     *generation.Runner
	copier     *replication.Replicator
	holder     *holder.AnswerStore
	calls      *claim.Dispatcher
	engine     *engine.Client
	service    *service.Client
	platform   *platform.Table
	hosts      *records.HostStore
	configs    *records.ConfigStore
	claims     *records.ClaimStore
	traffic    *peer.Traffic
	peers      *peer.Client

	wakeHeartbeat chan struct{}
	introductions introductions
	fetching      sync.Mutex
	reports       ownReports

	registered atomic.Bool
	state      atomic.Value // of state
	drainStart chan struct{}
	drainOnce  sync.Once
	refuseFrom atomic.Int64 // Unix time in milliseconds, 0 for never
	remote     atomic.Int64 // other nodes that read answers here
	ctx        context.Context
	stop       context.CancelFunc
}

// shutdownWait bounds how long a stopping node waits for requests that it refuses.
const shutdownWait = 500 * time.Millisecond

type state string

const (
	starting state = "starting"
	ready    state = "ready"
	draining state = "draining"
)

// New returns a node that listens nowhere yet.
func New(s *settings.Settings, version string, l log.Interface) *Node {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		settings: s, version: version, incarnation: uuid.NewString(), started: time.Now(), log: l, metrics: newMetrics(),
		nodes: membership.New(s.Self()), loads: balance.New(), quarantine: quarantine.New(), counter: admit.NewConcurrencyLimiter(), rates: admit.NewRateLimiter(),
		engine: engine.New(), platform: platform.NewTable(platform.NewStore(s.Platform(), s.Self().Name)), traffic: &peer.Traffic{},
		wakeHeartbeat: make(chan struct{}, 1), drainStart: make(chan struct{}), ctx: ctx, stop: stop,
	}
	n.state.Store(starting)
	n.hosts = records.NewHostStore(n.platform)
	n.configs = records.NewConfigStore(n.platform)
	n.claims = records.NewClaimStore(n.platform)
	n.peers = peer.NewClient(n.nodes, s.PeerSecret(), s.PeerClientTLS(), n.traffic)
	n.router = route.New(n.loads, n)
	n.service = service.New(n)
	n.copier = replication.New(n.peers, n.nodes)
	n.runner = generation.New(n.engine, n.copier, n.loads, n.router, n.quarantine, n)
	n.holder = holder.New(n.nodes, n.peers, n.copier, n.produce)
	n.calls = claim.New(s.Self().Name, n.incarnation, n.claims, n.peers, n.service)
	return n
}

// Run serves until ctx is done, a listener fails, or a drain has finished.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	var g run.Group
	g.Add(func() error { return n.waitDrain(ctx) }, func(error) { n.stop() })
	n.addLoops(&g)
	if err := n.addListeners(&g); err != nil {
		return err
	}
	n.log.WithFields(log.Fields{"version": n.version, "callers": n.settings.Callers(), "peers": n.settings.Peers()}).Info("started")
	err := g.Run()
	if errors.Is(err, errDrained) || ctx.Err() != nil {
		return nil
	}
	return err
}

func (n *Node) close() {
	n.stop()
	n.holder.Close()
	n.copier.Close()
	n.peers.Close()
	n.metrics.close()
}

func (n *Node) addListeners(g *run.Group) error {
	limits := caller.Limits{BodyBytes: n.settings.BodyBytes(), BodyWait: n.settings.BodyWait(), WriteWait: n.settings.WriteWait()}
	callers := caller.New(n, limits, n)
	if err := n.addHTTP(g, n.settings.Callers(), nil, callers); err != nil {
		return err
	}
	operators := operator.New(n, n.settings.OperatorSecret(), n.metrics.handler())
	if err := n.addHTTP(g, n.settings.Operators(), n.settings.OperatorTLS(), operators); err != nil {
		return err
	}
	l, err := net.Listen("tcp", n.settings.Peers())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	s, err := peer.NewServer(l, n.settings.PeerSecret(), n.settings.PeerServerTLS(), peerHandler{n}, n.traffic, n.peerRefused)
	if err != nil {
		return err
	}
	g.Add(s.Serve, func(error) { s.Close() })
	return nil
}

func (n *Node) addHTTP(g *run.Group, address string, c *tls.Config, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if c != nil {
		l = tls.NewListener(l, c)
	}
	s := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    n.settings.HeaderBytes(),
		ReadHeaderTimeout: n.settings.HeaderWait(),
		IdleTimeout:       n.settings.IdleWait(),
	}
	g.Add(func() error { return s.Serve(l) }, func(error) { shutDown(s) })
	return nil
}

// shutDown lets requests end that came in as the node stopped: they are being
// refused. Those that a drain did not wait for are cut.
func shutDown(s *http.Server) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(shutdownWait))
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

func (n *Node) peerRefused(from string, err error) {
	n.log.WithFields(log.Fields{"step": "handshake", "peer": from, "error": err.Error()}).Warn("peer refused")
}

// produce implements holder.GenerateFunc.
func (n *Node) produce(ctx context.Context, a *answer.Answer, epoch uint64) {
	j, err := n.job(a, epoch)
	if err != nil {
		n.log.WithFields(log.Fields{"request": a.Header().ID, "step": "produce", "error": err.Error()}).Error("answer not produced")
		a.End(epoch, generation.FailedFinish(err), answer.Usage{})
		n.copier.Replicate(a)
		return
	}
	n.runner.Run(ctx, j)
}

// loop calls f again and again until the node stops. The first call is at once.
func (n *Node) loop(period time.Duration, f func(now time.Time)) func() error {
	return func() error {
		t := time.NewTicker(period)
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
