// Package service is the HTTP client for services that are not model engines, such as an
// order application.
//
// A call to an idempotent service is retried on another server if one fails. A call to a
// non-idempotent service is sent at most once. Each call uses a new connection: net/http may
// retry a request on a reused one, and a late copy of an earlier response there would be
// taken for the response to the call. Redirects are not followed.
//
// # Usage
//
//	c := service.New(router)
//	response, server, err := c.CallWithRetries(ctx, call, attempts) // idempotent
//	response, server, sent, err := c.Send(ctx, call, fencing)       // at most once
package service

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/claim"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/route"
	"cicadabeam/io/tcp"
)

const (
	dialTimeout      = time.Second
	maxResponseBytes = 8 << 20
	retryDelay       = 2 * time.Second
)

// Router selects the server for a call.
type Router interface {
	// Reserve reserves a slot on a server that is not in exclude.
	Reserve(ctx context.Context, c claim.Call, exclude map[string]bool) (*route.Lease, error)
	// MarkUnreachable records that a server could not be reached.
	MarkUnreachable(s config.Server)
}

// Client calls services that are not model engines.
type Client struct {
	router  Router
	client  *http.Client
	buffers *bytebudget.Budget
}

// Limit sets what responses may take while they are read. It is called before the client is used.
func (c *Client) Limit(b *bytebudget.Budget) { c.buffers = b }

// New returns a client that uses r to select servers.
func New(r Router) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	t := &http.Transport{DialContext: tcp.CheckEnds(d.DialContext), DisableKeepAlives: true, DisableCompression: true}
	return &Client{router: r, client: &http.Client{Transport: t, CheckRedirect: noRedirects}}
}

// CallWithRetries sends a call to an idempotent service. It makes up to the given number of
// attempts, each on another server. It returns the response and the server's name.
func (c *Client) CallWithRetries(ctx context.Context, call claim.Call, attempts int) (claim.Response, string, error) {
	exclude := make(map[string]bool)
	anySent := false
	var lastErr error
	for range attempts {
		lease, err := c.router.Reserve(ctx, call, exclude)
		if err != nil {
			return claim.Response{}, "", finalError(err, lastErr, anySent)
		}
		s := lease.Server()
		r, sent, err := c.call(ctx, s, call, 0)
		lease.Release()
		anySent = anySent || sent
		if err == nil && !isUnavailable(r.Status) {
			return r, s.Name(), nil
		}
		if err == nil {
			err = errors.Newf("status %d", r.Status)
		}
		lastErr = fault.Wrap(err, fault.ServerFailed, "forward", s.Name())
		exclude[s.Name()] = true
		if !sent {
			c.router.MarkUnreachable(s)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return claim.Response{}, "", finalError(lastErr, lastErr, anySent)
}

// finalError returns the error of a call without a successful attempt: that of the last
// attempt or, if there was none, err. anySent states whether any attempt may have
// reached a server; if none has, the caller may retry.
func finalError(err, lastErr error, anySent bool) error {
	f := fault.From(err)
	if lastErr != nil {
		f = fault.From(lastErr)
	}
	if anySent {
		return f.WithRan(fault.RanUnknown)
	}
	return f.WithRan(fault.NotRun).WithRetryAt(time.Now().Add(retryDelay))
}

// isUnavailable reports whether a response with the status is treated as a failed attempt.
func isUnavailable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// Send implements claim.Sender. It tries another server only if the connection to the
// previous one could not be established.
func (c *Client) Send(ctx context.Context, call claim.Call, fencing uint64) (claim.Response, string, bool, error) {
	exclude := make(map[string]bool)
	for {
		lease, err := c.router.Reserve(ctx, call, exclude)
		if err != nil {
			return claim.Response{}, "", false, err
		}
		s := lease.Server()
		r, sent, err := c.call(ctx, s, call, fencing)
		lease.Release()
		if sent || err == nil {
			return r, s.Name(), true, err
		}
		c.router.MarkUnreachable(s)
		exclude[s.Name()] = true
		if ctx.Err() != nil {
			return claim.Response{}, s.Name(), false, fault.Wrap(err, fault.ServerFailed, "send", s.Name()).WithRan(fault.NotRun)
		}
	}
}

// call sends one request. The second result reports whether a connection was
// established, so that some bytes of the request may have been sent.
func (c *Client) call(ctx context.Context, s config.Server, call claim.Call, fencing uint64) (claim.Response, bool, error) {
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
	response, err := c.client.Do(request)
	if err != nil {
		return claim.Response{}, sent.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusContinue {
		return claim.Response{}, true, errors.Newf("the response has the invalid status %03d", response.StatusCode)
	}
	held := c.buffers.Hold("response", cancel)
	defer held.Release()
	body, err := bytebudget.ReadAll(response.Body, maxResponseBytes+1, response.ContentLength, held)
	if kept := held.Keep(); kept != nil {
		err = kept
	}
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Newf("the response body exceeds %d bytes", maxResponseBytes)
	}
	return claim.Response{Status: response.StatusCode, Headers: endToEndHeaders(response.Header), Body: body}, true, err
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

// hopByHopHeaders are the headers that are not forwarded in either direction. Besides the
// hop-by-hop headers, these are Content-Length and Date, which the HTTP library sets.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Date": true,
}

// endToEndHeaders returns the headers without those in hopByHopHeaders.
func endToEndHeaders(h http.Header) []claim.Header {
	var all []claim.Header
	for name, values := range h {
		if hopByHopHeaders[textproto.CanonicalMIMEHeaderKey(name)] {
			continue
		}
		for _, v := range values {
			all = append(all, claim.Header{Name: name, Value: v})
		}
	}
	return all
}

// notForwardedHeaders are the end-to-end request headers that are not forwarded to servers.
// They are meant for this system or set by it; Accept-Encoding is dropped as well.
var notForwardedHeaders = map[string]bool{"Authorization": true, "Host": true, "Idempotency-Key": true, "X-Organisation": true, "X-Fencing-Number": true, "Accept-Encoding": true}

// ForwardedRequestHeaders returns the headers of a caller's request that are forwarded to
// the server.
func ForwardedRequestHeaders(h http.Header) []claim.Header {
	var all []claim.Header
	for _, x := range endToEndHeaders(h) {
		if !notForwardedHeaders[textproto.CanonicalMIMEHeaderKey(x.Name)] {
			all = append(all, x)
		}
	}
	return all
}
