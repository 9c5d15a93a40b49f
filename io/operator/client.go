package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
	"cicadabeam/core/records"
)

// requestTimeout is the time limit of one request, including its response.
const requestTimeout = 15 * time.Second

// maxResponseBytes limits the size of a response. A questionnaire has at most 16 MiB.
const maxResponseBytes = 64 << 20

// Client is a client of a node's operator API.
type Client struct {
	baseURL string
	secret  string
	client  *http.Client
}

// NewClient returns a client for the node whose operator listener is at baseURL. c is the
// TLS configuration for an https URL; it may be nil.
func NewClient(baseURL, secret string, c *tls.Config) *Client {
	t := &http.Transport{TLSClientConfig: c}
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), secret: secret, client: &http.Client{Transport: t}}
}

// Error is an error response of the node.
type Error struct {
	status  int
	failure failure
}

// Error implements error.
func (e *Error) Error() string {
	s := e.failure.Message
	if len(e.failure.Problems) > 0 {
		s = strings.Join(e.failure.Problems, "\n")
	}
	return s
}

// Code returns the error code.
func (e *Error) Code() fault.Code { return e.failure.Code }

// Ran states whether the change took effect.
func (e *Error) Ran() fault.Ran { return e.failure.Ran }

// ConflictingEntry returns the audit entry of the conflicting change that was applied
// first, or nil if there is none.
func (e *Error) ConflictingEntry() *records.AuditEntry { return e.failure.Winner }

// Configuration returns the questionnaire in effect and its revision.
func (c *Client) Configuration(ctx context.Context) ([]byte, uint64, error) {
	body, header, err := c.do(ctx, http.MethodGet, "/v1/configuration", nil)
	if err != nil {
		return nil, 0, err
	}
	revision, err := strconv.ParseUint(header.Get(revisionHeader), 10, 64)
	return body, revision, errors.Wrap(err, "parse header X-Revision")
}

// Apply replaces the configuration by a questionnaire, provided that base is the newest
// revision.
func (c *Client) Apply(ctx context.Context, text []byte, base uint64, by, note string) (records.AuditEntry, error) {
	q := url.Values{"base": {strconv.FormatUint(base, 10)}, "by": {by}, "note": {note}}
	var a records.AuditEntry
	body, _, err := c.do(ctx, http.MethodPost, "/v1/configuration?"+q.Encode(), text)
	if err != nil {
		return a, err
	}
	return a, errors.Wrap(json.Unmarshal(body, &a), "decode audit entry")
}

// AuditTrail returns up to limit entries of the audit trail, newest first.
func (c *Client) AuditTrail(ctx context.Context, limit int) ([]records.AuditEntry, error) {
	body, _, err := c.do(ctx, http.MethodGet, "/v1/audit?limit="+strconv.Itoa(limit), nil)
	if err != nil {
		return nil, err
	}
	var all []records.AuditEntry
	return all, errors.Wrap(json.Unmarshal(body, &all), "decode audit trail")
}

// Status returns the node's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	body, _, err := c.do(ctx, http.MethodGet, "/v1/status", nil)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(body, &s), "decode status")
}

func (c *Client) do(ctx context.Context, method, path string, in []byte) ([]byte, http.Header, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(requestTimeout))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(in))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "request to %s", c.baseURL)
	}
	r.Header.Set("Authorization", "Bearer "+c.secret)
	response, err := c.client.Do(r)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "request to %s", c.baseURL)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Newf("the response exceeds %d bytes", maxResponseBytes)
	}
	if err != nil {
		return nil, nil, errors.Wrapf(err, "request to %s", c.baseURL)
	}
	if response.StatusCode == http.StatusOK {
		return body, response.Header, nil
	}
	e := &Error{status: response.StatusCode}
	if err := json.Unmarshal(body, &e.failure); err != nil {
		return nil, nil, errors.Newf("request to %s: status %d: %s", c.baseURL, response.StatusCode, body)
	}
	return nil, nil, e
}
