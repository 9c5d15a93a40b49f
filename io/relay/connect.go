package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/deferral"
	"cicadabeam/core/fleet"
	"cicadabeam/core/serverlimit"
	"cicadabeam/core/slotshare"
	"cicadabeam/io/http1"
	"cicadabeam/io/tunnel"
)

// errDeclines is the reason why a probe or a query is not sent.
var errDeclines = errors.New("the server leaves or wants no requests for a time")

// connect returns a connection to a server for a caller's request. What the server says of
// itself in any response that is read on it, whatever the response is to, is recorded.
func (x *exchange) connect(ctx context.Context, m *fleet.Member) (*http1.Conn, error) {
	c, err := x.h.Pool.Get(ctx, m.Address(), x.meta.ID)
	if err != nil {
		return nil, err
	}
	c.Observe(func(r *http.Response) { x.h.observe(m, r) })
	return c, nil
}

// connectForQuery is like connect for requests that are not a caller's. They have no ID, so that
// the connection is new. It fails if the server wants none.
func (h *Handler) connectForQuery(ctx context.Context, m *fleet.Member) (*http1.Conn, error) {
	if m.Declines(time.Now()) {
		return nil, errors.Wrapf(errDeclines, "connect to %s", m.ID())
	}
	c, err := h.Pool.GetNew(ctx, m.Address())
	if err != nil {
		return nil, err
	}
	c.Observe(func(r *http.Response) { h.observe(m, r) })
	if m.Declines(time.Now()) {
		h.Pool.Put(c)
		return nil, errors.Wrapf(errDeclines, "connect to %s", m.ID())
	}
	return c, nil
}

// ProbeHealth asks a server whether it is healthy, without another node in between. It reports
// whether the server responded until the deadline, whatever it said.
func (h *Handler) ProbeHealth(ctx context.Context, m *fleet.Member, path string, deadline time.Time) bool {
	if m.Declines(time.Now()) || !h.Fleet.AllowQuery(m, h.NodeCount(), time.Now()) {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := h.Pool.GetDirect(ctx, m.Address())
	if err != nil {
		return false
	}
	defer c.Close()
	c.Observe(func(r *http.Response) { h.observe(m, r) })
	if path == "" {
		path = "/"
	}
	_, err = queryHealth(c, m, path, deadline, h.Codec)
	return err == nil
}

// reaches reports whether a connection to a server can be opened by a time, without another node in
// between. It fails if the server wants none.
func (h *Handler) reaches(ctx context.Context, m *fleet.Member, by time.Time) bool {
	if m.Declines(time.Now()) {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	c, err := h.Pool.GetDirect(ctx, m.Address())
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// errServerEnded ends an attempt whose server is gone at the end of a response that has neither
// a length nor chunks.
var errServerEnded = errors.New("the server ended together with its response, which may not be whole")

// endedWithServer reports whether a response that ends with its connection may have been cut short
// by the end of its server: the kernel closes the connections of a process that is killed as if it
// had closed them. It costs a connection, and is for requests that can be sent again.
func (h *Handler) endedWithServer(m *fleet.Member, r *http.Response) bool {
	if r.ContentLength >= 0 || len(r.TransferEncoding) > 0 {
		return false
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(probeTimeout))
	defer cancel()
	c, err := h.connectForQuery(ctx, m)
	if err != nil {
		return !errors.Is(err, errDeclines) && !h.partitioned()
	}
	h.Pool.Put(c)
	return false
}

// queryHealth asks a server whether it is healthy, and returns the ID that the response gives, if any.
func queryHealth(c *http1.Conn, m *fleet.Member, path string, deadline time.Time, codec Codec) (string, error) {
	if err := c.Send(&http1.Request{Method: http.MethodGet, Target: path, Host: m.Address()}, deadline); err != nil {
		return "", err
	}
	r, err := c.ReadResponse(http.MethodGet, "", func(http.Header) string { return "" }, deadline)
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxReportBytes)); err != nil {
		return "", errors.Wrap(err, "read")
	}
	return codec.DecodeResponse(r).ServerID, nil
}

// healthPath returns the path at which servers of a service tell whether they are healthy, "" if
// there is none.
func (h *Handler) healthPath(service string) string {
	c := h.Catalog.Catalog()
	if c == nil {
		return ""
	}
	s, _ := c.Service(service)
	return s.HealthPath
}

// pathLost reports whether an attempt ended with the path to its server, through another node. That
// says nothing of the server.
func pathLost(err error) bool { return errors.Is(err, tunnel.ErrLost) }

func (h *Handler) partitioned() bool {
	return h.Dependencies.Partitioned != nil && h.Dependencies.Partitioned()
}

// lateResponseTime is how long after the deadline of a request the refusal of its server is
// awaited: the server's deadline is later by the time that the request took to travel.
const lateResponseTime = 100 * time.Millisecond

// abandon closes the connection of a request that got no response. If that is because its
// deadline has passed, the caller does not wait for what the server may still say of itself.
func (x *exchange) abandon(c *http1.Conn) {
	now := time.Now()
	if now.Before(x.deadline) || errors.Is(x.ctx.Err(), context.Canceled) {
		c.GiveUp()
		return
	}
	go func() {
		held := x.h.Buffers.Hold(lateHolder, c.Interrupt)
		defer held.Release()
		c.Hold(held)
		c.ObserveLate(x.r.Method, now.Add(lateResponseTime))
		x.recordNoRoom(held, "not observed")
	}()
}

// observe records what the server that sent a response says of itself.
func (h *Handler) observe(m *fleet.Member, r *http.Response) {
	meta := h.Codec.DecodeResponse(r)
	if !meta.Leaving && meta.Deferral == "" && meta.Limit == "" && !meta.Brittle && !meta.Signed {
		return
	}
	if meta.WrongServer { // the response is that of the server that has the address now
		m = h.Fleet.Find(meta.ServerID)
		if m == nil {
			return
		}
	}
	now := time.Now()
	request := h.Codec.RequestID(r.Header)
	h.observeLimit(m, meta, request, now)
	h.observeBrittle(m, meta, now)
	if meta.Leaving && h.Fleet.RecordLeaving(m, now) {
		h.Recorder.Record("server leaving", Fields{"server": m.ID(), "service": m.Service(), "address": m.Address(), "request": request, "status": r.StatusCode, "from": "response"})
		h.Pool.CloseIdle(m.Address())
		h.NotifyPeers()
	}
	if meta.Deferral != "" {
		w := deferral.ParseWish(meta.Deferral)
		rest := h.Fleet.Defer(m, w.Wait, now)
		h.Recorder.Record("server deferred", Fields{
			"server": m.ID(), "service": m.Service(), "address": m.Address(), "request": request, "text": meta.Deferral, "reading": w.Reading, "wait_ms": ms(rest),
		})
	}
}

// observeLimit records which limit a server names in a response. A text that is no limit says
// nothing, and neither does an unsigned response without one.
func (h *Handler) observeLimit(m *fleet.Member, meta ResponseMeta, request string, now time.Time) {
	event := ""
	if meta.Limit == "" {
		if meta.Signed && h.Fleet.EndLimit(m, now) {
			event = "server limit ended"
		}
	} else if limit, valid := serverlimit.Parse(meta.Limit); valid && h.Fleet.NameLimit(m, limit, now) {
		event = "server limit"
	}
	if event != "" {
		h.Recorder.Record(event, Fields{"server": m.ID(), "service": m.Service(), "request": request, "text": meta.Limit})
		h.NotifyPeers()
	}
}

// observeBrittle records whether a server says that it ends if it has to turn requests away.
// An unsigned response that does not say so tells nothing.
func (h *Handler) observeBrittle(m *fleet.Member, meta ResponseMeta, now time.Time) {
	if meta.NotRun {
		m.RecordRejection(now)
	}
	var event string
	switch {
	case meta.Brittle && h.Fleet.NameBrittle(m, now):
		event = "servers brittle"
	case !meta.Brittle && meta.Signed && h.Fleet.EndBrittle(m, now):
		event = "servers brittle no more"
	default:
		return
	}
	h.Recorder.Record(event, Fields{"service": m.Service(), "server": m.ID()})
	h.NotifyPeers()
}

// MergeBrittle applies what other nodes know of brittle servers, as of a time.
func (h *Handler) MergeBrittle(from string, r slotshare.Report, nodes int, at time.Time) {
	for _, service := range h.Fleet.MergeBrittle(from, r, nodes, at) {
		event := "servers brittle"
		if r[service].Ended {
			event = "servers brittle no more"
		}
		h.Recorder.Record(event, Fields{"service": service, "from": from})
	}
}

// MergeLimits applies the limits of servers that another node, or some, reported as of a time.
func (h *Handler) MergeLimits(from string, r serverlimit.Report, nodes int, at time.Time) {
	for _, server := range h.Fleet.MergeLimits(from, r, nodes, at) {
		x := r[server]
		h.Recorder.Record("server limit", Fields{"server": server, "limit": x.Limit, "ended": x.Ended, "age_ms": ms(x.Age), "from": from})
	}
}

// MergeLeaving records which servers said that they leave, as reported by another node.
func (h *Handler) MergeLeaving(all []fleet.LeavingServer, from string, now time.Time) {
	for _, x := range h.Fleet.MergeLeaving(all, now) {
		h.Recorder.Record("server leaving", Fields{"server": x.ID, "age_ms": ms(x.Age), "from": from})
	}
}
