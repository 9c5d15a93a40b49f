package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/answer"
	"cicadabeam/core/claim"
	"cicadabeam/core/holder"
	"cicadabeam/core/replication"
	"cicadabeam/io/tcp"
)

// methods holds the methods that net/rpc exposes to other nodes.
type methods struct{ handler Handler }

func (m *methods) Ping(_ Empty, _ *Empty) error { return nil }

func (m *methods) Heartbeat(h Heartbeat, r *HeartbeatReply) error {
	*r = m.handler.Heartbeat(h)
	return nil
}

func (m *methods) Alarm(r CrashReport, _ *Empty) error {
	m.handler.Alarm(r)
	return nil
}

func (m *methods) Config(_ Empty, r *ConfigReply) error {
	*r = m.handler.Config()
	return nil
}

func (m *methods) Find(q holder.FindRequest, r *holder.FindReply) error {
	*r = m.handler.Find(q)
	return nil
}

func (m *methods) Read(q holder.ReadRequest, r *holder.ReadReply) error {
	*r = m.handler.Read(q)
	return nil
}

func (m *methods) TakeOver(q holder.TakeOverRequest, r *holder.TakeOverReply) error {
	*r = m.handler.TakeOver(q)
	return nil
}

func (m *methods) OpenCopy(s answer.Snapshot, r *replication.Result) error {
	*r = m.handler.OpenCopy(s)
	return nil
}

func (m *methods) AppendCopies(b AppendCopiesRequest, r *AppendCopiesReply) error {
	r.Results = m.handler.AppendCopies(b.Batches)
	return nil
}

func (m *methods) CallStatus(q CallStatusRequest, r *claim.Status) error {
	*r = m.handler.CallStatus(q)
	return nil
}

// Server handles the requests of other nodes on one listener.
type Server struct {
	listener   net.Listener
	secret     string
	tls        *tls.Config
	rpc        *rpc.Server
	onRejected func(from string, err error)
	traffic    *Traffic

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// NewServer returns a server. onRejected is called for each connection that fails the
// handshake. If c is nil, the connections are not encrypted.
func NewServer(l net.Listener, secret string, c *tls.Config, h Handler, t *Traffic, onRejected func(from string, err error)) (*Server, error) {
	s := &Server{listener: l, secret: secret, tls: c, rpc: rpc.NewServer(), onRejected: onRejected, traffic: t, connections: make(map[net.Conn]bool)}
	err := s.rpc.RegisterName(serviceName, &methods{handler: h})
	return s, errors.Wrap(err, "peer: register")
}

// Serve accepts connections until Close.
func (s *Server) Serve() error {
	for {
		c, err := tcp.Accept(s.listener)
		if err != nil {
			return err
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	if !s.add(c) {
		_ = c.Close()
		return
	}
	defer s.remove(c)
	counted := s.traffic.count(c)
	if s.tls != nil {
		counted = tls.Server(counted, s.tls)
	}
	if err := serverHandshake(counted, s.secret); err != nil {
		s.onRejected(c.RemoteAddr().String(), err)
		_ = c.Close()
		return
	}
	_ = tcp.Keep(c)
	s.rpc.ServeConn(counted)
}

func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.connections[c] = true
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// Close closes the listener and the connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.connections {
		_ = c.Close()
	}
}
