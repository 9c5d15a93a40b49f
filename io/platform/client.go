// Package platform speaks to the platform: its transactional table, its object
// store and its list of hosts.
//
// # Usage
//
//	c := platform.New("http://10.0.0.1:9000", "node-1")
//	row, found, err := c.Get(ctx, "config", "head")
//	revision, err := c.Commit(ctx, platform.Transaction{...})
//	hosts, err := c.Hosts(ctx)
//
// An error of Commit other than a *ConflictError leaves open whether the
// transaction took effect.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
)

const (
	requestWait      = 2 * time.Second
	awayAfter        = time.Second
	maxResponseBytes = 16 << 20
	idleConnections  = 4
)

// Row is a row of the table. Revision grows with each change of any row.
type Row struct {
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Condition holds when a row is at a revision; revision 0 means there is none.
type Condition struct {
	Table    string `json:"table"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets the value of a row, or removes the row.
type Write struct {
	Table string          `json:"table"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Remove takes the row away.
	Remove bool `json:"remove,omitempty"`
}

// Transaction is applied whole if all conditions hold.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// ConflictError names the conditions, by index, that did not hold.
type ConflictError struct {
	Failed []int `json:"failed"`
}

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// EntryHost is an entry host on the platform's list.
type EntryHost struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Address    string `json:"address"`
	Leaving    bool   `json:"leaving"`
}

// BackendServer is a backend server on the platform's list.
type BackendServer struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Hosts is the platform's list of live and leaving hosts. It lags.
type Hosts struct {
	EntryHosts     []EntryHost     `json:"entry_hosts"`
	BackendServers []BackendServer `json:"backend_servers"`
}

// Client speaks to one platform.
type Client struct {
	base    string
	reader  string
	client  *http.Client
	reached atomic.Int64
	failing atomic.Int64 // Unix time in milliseconds since when every request fails
	reads   atomic.Int64
	writes  atomic.Int64
}

// New returns a client. reader names the node to the platform.
func New(base, reader string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute}
	return &Client{base: base, reader: reader, client: &http.Client{Transport: t}}
}

// Reached returns when the platform last answered.
func (c *Client) Reached() time.Time {
	ms := c.reached.Load()
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// Away tells whether every request has failed for a while.
func (c *Client) Away() bool {
	since := c.failing.Load()
	return since != 0 && time.Since(time.UnixMilli(since)) > awayAfter
}

// Reads returns the number of reads sent.
func (c *Client) Reads() int64 { return c.reads.Load() }

// Writes returns the number of transactions sent.
func (c *Client) Writes() int64 { return c.writes.Load() }

// Get returns a row and whether there is one.
func (c *Client) Get(ctx context.Context, table, key string) (Row, bool, error) {
	c.reads.Add(1)
	var r Row
	err := c.do(ctx, http.MethodGet, "/v1/rows/"+table+"/"+url.PathEscape(key), nil, &r)
	if fault.Is(err, fault.NotFound) {
		return r, false, nil
	}
	return r, err == nil, err
}

// List returns the newest rows of a table whose keys begin with prefix, by
// falling key.
func (c *Client) List(ctx context.Context, table, prefix string, limit int) ([]json.RawMessage, error) {
	c.reads.Add(1)
	q := url.Values{"prefix": {prefix}, "limit": {itoa(limit)}}
	var rows []Row
	err := c.do(ctx, http.MethodGet, "/v1/rows/"+table+"?"+q.Encode(), nil, &rows)
	values := make([]json.RawMessage, 0, len(rows))
	for _, r := range rows {
		values = append(values, r.Value)
	}
	return values, err
}

// Commit applies a transaction and returns the revision of its writes.
func (c *Client) Commit(ctx context.Context, t Transaction) (uint64, error) {
	c.writes.Add(1)
	var r Row
	err := c.do(ctx, http.MethodPost, "/v1/transactions", t, &r)
	return r.Revision, err
}

// Hosts returns the platform's list of hosts.
func (c *Client) Hosts(ctx context.Context) (Hosts, error) {
	c.reads.Add(1)
	var h Hosts
	err := c.do(ctx, http.MethodGet, "/v1/hosts?reader="+url.QueryEscape(c.reader), nil, &h)
	return h, err
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(requestWait))
	defer cancel()
	status, body, err := c.roundTrip(ctx, method, path, in)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.failing.CompareAndSwap(0, time.Now().UnixMilli())
		}
		return fault.Wrap(err, fault.PlatformAway, method+" "+path, c.base)
	}
	c.reached.Store(time.Now().UnixMilli())
	c.failing.Store(0)
	switch status {
	case http.StatusOK:
		return errors.Wrapf(json.Unmarshal(body, out), "platform %s: %s %s", c.base, method, path)
	case http.StatusNotFound:
		return fault.New(fault.NotFound, method+" "+path, c.base)
	case http.StatusConflict:
		conflict := &ConflictError{}
		if err := json.Unmarshal(body, conflict); err != nil {
			return fault.Wrap(err, fault.PlatformAway, method+" "+path, c.base)
		}
		return conflict
	default:
		return fault.Wrap(errors.Newf("status %d: %s", status, body), fault.PlatformAway, method+" "+path, c.base)
	}
}

func (c *Client) roundTrip(ctx context.Context, method, path string, in any) (int, []byte, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(b)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, b, err
}
