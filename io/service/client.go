// Package service speaks to plain services beside the model engines, such as an
// order application.
//
// Calls to idempotent services are repeated on another server when one fails.
// Calls to the others are sent once: each goes over a connection of its own,
// because net/http repeats requests on connections that were used before, and
// redirects are not followed.
//
// # Usage
//
//	c := service.New(router)
//	response, server, err := c.Forward(ctx, service, call)      // idempotent
//	response, server, sent, err := c.Send(ctx, call, fencing)   // at most once
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/claim"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/route"
)

const (
	dialWait         = time.Second
	idleConnections  = 64
	maxResponseBytes = 8 << 20
	retryAfter       = 2 * time.Second
)

// Router finds servers for a call.
type Router interface {
	Reserve(ctx context.Context, c claim.Call, exclude map[string]bool) (*route.Lease, error)
	// Failed notes that a server could not be reached.
	Failed(s config.Server)
}

// Client calls plain services.
type Client struct {
	router Router
	pooled *http.Client
	single *http.Client
}

// New returns a client that takes its servers from r.
func New(r Router) *Client {
	d := &net.Dialer{Timeout: dialWait}
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	pooled := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute, DisableCompression: true}
	single := &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Client{
		router: r,
		pooled: &http.Client{Transport: pooled, CheckRedirect: stay},
		single: &http.Client{Transport: single, CheckRedirect: stay},
	}
}

// Forward runs a call to an idempotent service, on up to attempts servers.
func (c *Client) Forward(ctx context.Context, call claim.Call, attempts int) (claim.Response, string, error) {
	exclude := make(map[string]bool)
	reached := false
	var last error
	for range attempts {
		lease, err := c.router.Reserve(ctx, call, exclude)
		if err != nil {
			return claim.Response{}, "", afterAttempts(err, last, reached)
		}
		s := lease.Server()
		r, sent, err := c.call(ctx, c.pooled, s, call, 0)
		lease.Release()
		reached = reached || sent
		if err == nil && !unavailable(r.Status) {
			return r, s.Name(), nil
		}
		if err == nil {
			err = errors.Newf("status %d", r.Status)
		}
		last = fault.Wrap(err, fault.ServerFailed, "forward", s.Name())
		exclude[s.Name()] = true
		if !sent {
			c.router.Failed(s)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return claim.Response{}, "", afterAttempts(last, last, reached)
}

func afterAttempts(err, last error, reached bool) error {
	f := fault.From(err)
	if last != nil {
		f = fault.From(last)
	}
	if reached {
		return f.WithRan(fault.RanUnknown)
	}
	return f.WithRan(fault.NotRun).WithRetryAt(time.Now().Add(retryAfter))
}

func unavailable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// Send implements claim.Sender. Another server is tried only when the
// connection to the one before could not be made.
func (c *Client) Send(ctx context.Context, call claim.Call, fencing uint64) (claim.Response, string, bool, error) {
	exclude := make(map[string]bool)
	for {
		lease, err := c.router.Reserve(ctx, call, exclude)
		if err != nil {
			return claim.Response{}, "", false, err
		}
		s := lease.Server()
		r, sent, err := c.call(ctx, c.single, s, call, fencing)
		lease.Release()
		if sent || err == nil {
			return r, s.Name(), true, err
		}
		c.router.Failed(s)
		exclude[s.Name()] = true
		if ctx.Err() != nil {
			return claim.Response{}, s.Name(), false, fault.Wrap(err, fault.ServerFailed, "send", s.Name()).WithRan(fault.NotRun)
		}
	}
}

// call makes one request. sent tells whether a connection was made, so that a
// byte may have gone out.
func (c *Client) call(ctx context.Context, client *http.Client, s config.Server, call claim.Call, fencing uint64) (claim.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx, cancel := context.WithDeadline(httptrace.WithClientTrace(ctx, trace), call.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, s.Address()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return claim.Response{}, false, err
	}
	if !s.ChecksFencing() {
		fencing = 0
	}
	setHeaders(request, call, fencing)
	response, err := client.Do(request)
	if err != nil {
		return claim.Response{}, sent.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Newf("the response has more than %d bytes", maxResponseBytes)
	}
	return claim.Response{Status: response.StatusCode, Headers: endToEnd(response.Header), Body: body}, true, err
}

func setHeaders(r *http.Request, call claim.Call, fencing uint64) {
	for _, h := range call.Headers {
		r.Header.Add(h.Name, h.Value)
	}
	r.Header.Set("X-Organisation", call.Key.Organisation)
	if call.Key.Name != "" {
		r.Header.Set("Idempotency-Key", call.Key.Name)
	}
	if fencing > 0 {
		r.Header.Set("X-Fencing-Number", strconv.FormatUint(fencing, 10))
	}
}

var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Date": true,
}

// endToEnd returns the headers that are meant for the other end.
func endToEnd(h http.Header) []claim.Header {
	var all []claim.Header
	for name, values := range h {
		if hopByHop[textproto.CanonicalMIMEHeaderKey(name)] {
			continue
		}
		for _, v := range values {
			all = append(all, claim.Header{Name: name, Value: v})
		}
	}
	return all
}

var notForwarded = map[string]bool{"Authorization": true, "Host": true, "Idempotency-Key": true, "X-Organisation": true, "X-Fencing-Number": true, "Accept-Encoding": true}

// RequestHeaders returns those of a caller's headers that go to the server.
func RequestHeaders(h http.Header) []claim.Header {
	var all []claim.Header
	for _, x := range endToEnd(h) {
		if !notForwarded[textproto.CanonicalMIMEHeaderKey(x.Name)] {
			all = append(all, x)
		}
	}
	return all
}
