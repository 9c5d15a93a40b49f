package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/catalog"
	"cicadabeam/core/fault"
	"cicadabeam/io/tcp"
)

// startupWait is how long after the start of the node requests wait for the first
// responses of the store, which arrive within some 10 ms.
const startupWait = 300 * time.Millisecond

// awaitInitialState waits while a node that has just started loads the configuration
// and the servers.
func (x *exchange) awaitInitialState() {
	remaining := startupWait - x.arrived.Sub(x.h.started)
	if remaining <= 0 {
		return
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-x.h.Ready:
	case <-t.C:
	case <-x.r.Context().Done():
	}
}

// admit determines the route, the organisation and the deadline. It refuses the
// request if the state of this node is too old to decide.
func (x *exchange) admit() *fault.Error {
	c, age := x.h.Catalog.CatalogAndAge(x.h.Uptime())
	if c == nil {
		return notRunError(fault.NotReady, "admit", "no configuration has been loaded yet", retryAfterNotReady)
	}
	x.catalog = c
	stale := age >= x.h.Limits.MaxConfigAge
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = x.r.URL.EscapedPath()
	}
	route, found := c.Match(stripPort(x.r.Host), path)
	if !found {
		if stale {
			return notRunError(fault.NotReady, "route", "the configuration may be out of date", retryAfterStale)
		}
		return fault.Newf(fault.NotFound, "route", "", "no route matches this host and path")
	}
	x.route = route
	if err := x.authorise(stale, age); err != nil {
		return err
	}
	name := route.Pick(rand.Float64())
	x.setService(name)
	timeout := route.Timeout
	if x.meta.Timeout > 0 && (timeout == 0 || x.meta.Timeout < timeout) {
		timeout = x.meta.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if timeout <= x.readDelay {
		return notRunError(fault.NotReady, "admit", "the request waited in this entry host's kernel for at least its timeout", retryAfterNotReady)
	}
	x.deadline = x.arrived.Add(timeout - x.readDelay)
	x.uptimeDeadline = x.h.Uptime() + time.Until(x.deadline)
	return x.checkDraining(x.arrived)
}

// setService sets the service that the request is sent to.
func (x *exchange) setService(name string) {
	service, found := x.catalog.Service(name)
	if !found {
		service = catalog.Service{Name: name}
	}
	x.service = service
}

// defaultTimeout applies to requests for which neither the caller nor the route sets a
// timeout.
const defaultTimeout = time.Minute

func stripPort(h string) string {
	name, _, _ := strings.Cut(h, ":")
	return name
}

func (x *exchange) authorise(stale bool, age time.Duration) *fault.Error {
	if !x.catalog.RequiresKeys() || x.route.Public {
		return nil
	}
	o, found := x.catalog.Organisation(x.meta.APIKey)
	if !found && stale {
		return notRunError(fault.NotReady, "authorise", "the list of keys may be out of date", retryAfterStale)
	}
	if !found {
		return fault.Newf(fault.Unauthorized, "authorise", "", "the key is unknown")
	}
	if maxAge := x.h.Limits.MaxKeyAge; maxAge > 0 && age >= maxAge-revokeMargin {
		x.h.Recorder.Record("key unproven", Fields{"request": x.meta.ID, "age_ms": ms(age), "revision": x.catalog.Revision()})
		return notRunError(fault.NotReady, "authorise", "it can't be proved that the key is still valid", retryAfterStale)
	}
	x.organisation = o
	return nil
}

// readBody reads the whole request body.
func (x *exchange) readBody() *fault.Error {
	limit := x.catalog.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		return fault.Newf(fault.TooLarge, "read", "", "the request body exceeds %d bytes", limit)
	}
	if x.r.ContentLength == 0 {
		x.bodyRead = true
		x.header = x.h.Codec.ForwardedHeaders(x.r.Header, x.catalog.RequiresKeys())
		return nil
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.deadline)
	x.held = x.h.Buffers.Hold(bodyHolder, func() { _ = control.SetReadDeadline(time.Now()) })
	if !x.held.HasRoom(x.r.ContentLength) {
		return x.refuseBody()
	}
	stop := context.AfterFunc(tcp.CallerConnOf(x.r).Base, func() { _ = control.SetReadDeadline(time.Now()) })
	defer stop()
	b, err := bytebudget.ReadAll(x.r.Body, limit+1, x.r.ContentLength, x.held)
	if kept := x.held.Keep(); kept != nil || errors.Is(err, bytebudget.ErrSpent) {
		return x.refuseBody()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.bodyRead = true
		if x.stopping() {
			return x.drainingError("read", shuttingDown)
		}
		return fault.Newf(fault.RequestTimeout, "read", "", "the request body did not arrive in time")
	}
	_ = control.SetReadDeadline(time.Time{})
	x.bodyRead = err == nil && int64(len(b)) <= limit
	if err != nil {
		return fault.Newf(fault.BadRequest, "read", "", "cannot read the request body: %v", err)
	}
	if int64(len(b)) > limit {
		return fault.Newf(fault.TooLarge, "read", "", "the request body exceeds %d bytes", limit)
	}
	x.body = b
	x.header = x.h.Codec.ForwardedHeaders(x.r.Header, x.catalog.RequiresKeys())
	return nil
}

// unreadBodyTimeout limits the time for which a refusal that is sent before the body has been
// read waits for the rest of the body.
const unreadBodyTimeout = 500 * time.Millisecond

// limitUnreadBody limits the time in which net/http reads the rest of a body before it sends
// the response.
func (x *exchange) limitUnreadBody() {
	if !x.bodyRead && x.r.ContentLength != 0 {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// defaultBodyBytes limits request bodies if the configuration sets no limit.
const defaultBodyBytes = 4 << 20
