// Package engine is the HTTP client for model engines. It opens streams of generated
// text, probes health and fetches load reports.
//
// # Usage
//
//	c := engine.New(onLateEnd)
//	s, err := c.OpenStream(ctx, server, attempt)
//	defer s.Close()
//	chunk, err := s.Next()   // generation.ErrEndOfStream after the end marker
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/balance"
	"cicadabeam/core/bytebudget"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/generation"
	"cicadabeam/io/serverpath"
)

const (
	dialTimeout             = time.Second
	maxErrorBytes           = 4 << 10
	maxControlResponseBytes = 64 << 10
)

// Client is an HTTP client for all model engines. Each stream has a connection of its own:
// on one that was used before, a late copy of an earlier response would be taken for the
// stream. Only health probes and load reports reuse connections.
type Client struct {
	streamClient  *http.Client
	controlClient *http.Client
	buffers       *bytebudget.Budget
}

// Limit sets what events of streams may take. It is called before the client is used.
func (c *Client) Limit(b *bytebudget.Budget) { c.buffers = b }

// streamConn is the connection of an attempt. While its path is cut, it is kept after it was closed,
// so that the engine learns of the end soon after it is reached again.
type streamConn struct{ *serverpath.Conn }

// Close implements net.Conn.
func (c streamConn) Close() error {
	c.GiveUp()
	return nil
}

// New returns a client without connections. onLateEnd is called for each attempt whose engine learnt late
// of its end, with the engine's address, host and port, unless it is nil.
func New(onLateEnd func(server string, reason serverpath.Reason, lasted time.Duration)) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	paths := &serverpath.Dialer{OnLateEnd: onLateEnd, Direct: func(ctx context.Context, server string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", server)
	}}
	dial := func(ctx context.Context, _, server string) (net.Conn, error) {
		c, err := paths.DialDirect(ctx, server)
		if x, ok := c.(*serverpath.Conn); ok && err == nil {
			return streamConn{x}, nil
		}
		return c, err
	}
	streams := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	control := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true}
	return &Client{streamClient: &http.Client{Transport: streams}, controlClient: &http.Client{Transport: control}}
}

// OpenStream starts an attempt. Its error is a fault that states whether the request may
// have reached the server.
func (c *Client) OpenStream(ctx context.Context, s config.Server, a generation.Attempt) (generation.Stream, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.Address()+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		cancel()
		return nil, fault.Wrap(err, fault.Internal, "open-stream", s.Name()).WithRan(fault.NotRun)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("X-Request-Id", a.Request+"-"+strconv.Itoa(a.Number))
	response, err := c.streamClient.Do(request)
	if err != nil {
		cancel()
		f := fault.Wrap(err, fault.ServerFailed, "open-stream", s.Name())
		if !sent.Load() {
			f = f.WithRan(fault.NotRun)
		}
		return nil, f
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, statusError(response, s)
	}
	return newStream(response.Body, cancel, s.Name(), c.buffers.Hold("stream", cancel)), nil
}

// statusError returns the fault for a response with a status other than 200.
func statusError(r *http.Response, s config.Server) error {
	defer func() { _ = r.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	cause := errors.Newf("status %d: %s", r.StatusCode, bytes.TrimSpace(text))
	switch {
	case r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable:
		return fault.Wrap(cause, fault.ServerBusy, "open-stream", s.Name())
	case r.StatusCode >= http.StatusInternalServerError:
		return fault.Wrap(cause, fault.ServerFailed, "open-stream", s.Name())
	default:
		return fault.Wrap(cause, fault.ServerRefused, "open-stream", s.Name()).WithStatus(r.StatusCode)
	}
}

// Probe sends a health probe to a server. ctx sets the deadline.
func (c *Client) Probe(ctx context.Context, s config.Server) generation.Health {
	_, err := c.get(ctx, s.Address()+"/health")
	switch {
	case err == nil:
		return generation.Healthy
	case ctx.Err() != nil:
		return generation.Unresponsive
	default:
		return classifyProbeError(err)
	}
}

// classifyProbeError distinguishes a timeout, which occurs if packets are dropped on the
// path, from other failures, such as a closed port or connection.
func classifyProbeError(err error) generation.Health {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return generation.Unresponsive
	}
	return generation.Unreachable
}

// loadReport is the JSON body of a load report.
type loadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// FetchLoadReport fetches the load report of a server. ctx sets the deadline.
func (c *Client) FetchLoadReport(ctx context.Context, s config.Server) (balance.Report, error) {
	at := time.Now()
	body, err := c.get(ctx, s.Address()+"/load")
	if err != nil {
		return balance.Report{}, fault.Wrap(err, fault.ServerFailed, "read-load", s.Name())
	}
	var r loadReport
	if err := json.Unmarshal(body, &r); err != nil {
		return balance.Report{}, fault.Wrap(err, fault.ServerFailed, "read-load", s.Name())
	}
	return balance.Report{Server: s.Name(), Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving, At: at.UnixMilli()}, nil
}

// get returns the body of a response with status 200.
func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.controlClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxControlResponseBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Newf("status %d", response.StatusCode)
	}
	return body, err
}
