// Package engine speaks to model engines: it opens streams of generated text,
// asks for their health and their load.
//
// # Usage
//
//	c := engine.New()
//	s, err := c.Open(ctx, server, attempt)
//	defer s.Close()
//	chunk, err := s.Next()   // generation.ErrEndOfStream after the finish marker
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
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/generation"
)

const (
	dialWait        = time.Second
	idleConnections = 256
	maxErrorBytes   = 4 << 10
	maxReportBytes  = 64 << 10
)

// Client speaks to all model engines.
type Client struct {
	streams *http.Client
	control *http.Client
}

// New returns a client with connection pools.
func New() *Client {
	return &Client{streams: &http.Client{Transport: transport(idleConnections)}, control: &http.Client{Transport: transport(2)}}
}

func transport(idle int) *http.Transport {
	d := &net.Dialer{Timeout: dialWait}
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: idle, MaxIdleConns: 0, IdleConnTimeout: time.Minute, DisableCompression: true}
}

// Open starts an attempt. The error is a fault that tells whether the request
// can have reached the server.
func (c *Client) Open(ctx context.Context, s config.Server, a generation.Attempt) (generation.Stream, error) {
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
	response, err := c.streams.Do(request)
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
		return nil, refusal(response, s)
	}
	return newStream(response.Body, cancel, s.Name()), nil
}

func refusal(r *http.Response, s config.Server) error {
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

// Probe asks a server whether it lives, until ctx is done.
func (c *Client) Probe(ctx context.Context, s config.Server) generation.Health {
	_, err := c.get(ctx, s.Address()+"/health")
	switch {
	case err == nil:
		return generation.Healthy
	case ctx.Err() != nil:
		return generation.Unresponsive
	default:
		return classify(err)
	}
}

// classify tells a closed port or connection from a path that swallows packets.
func classify(err error) generation.Health {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return generation.Unresponsive
	}
	return generation.Unreachable
}

// report is the body of a server's load report.
type report struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// Load asks a server for its load, until ctx is done.
func (c *Client) Load(ctx context.Context, s config.Server) (balance.Report, error) {
	at := time.Now()
	body, err := c.get(ctx, s.Address()+"/load")
	if err != nil {
		return balance.Report{}, fault.Wrap(err, fault.ServerFailed, "read-load", s.Name())
	}
	var r report
	if err := json.Unmarshal(body, &r); err != nil {
		return balance.Report{}, fault.Wrap(err, fault.ServerFailed, "read-load", s.Name())
	}
	return balance.Report{Server: s.Name(), Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving, At: at.UnixMilli()}, nil
}

func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.control.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Newf("status %d", response.StatusCode)
	}
	return body, err
}
