package canary

import "time"

// Recorder counts requests on a host. It is safe for concurrent use.
type Recorder struct{}

// Attempt is a request that is being counted. Methods of the zero Attempt do nothing.
type Attempt struct{}

// NewRecorder returns a Recorder that watches no service.
func NewRecorder() *Recorder { return &Recorder{} }

// Watch sets the services with an order, with the orders' IDs. Requests of others aren't counted.
func (r *Recorder) Watch(orders map[string]uint64) {}

// Begin counts a request that is sent at a time of the store's clock.
func (r *Recorder) Begin(q Request, nowMS int64) *Attempt { return nil }

// Respond records the time to the response or, for a stream, to its first event, without the
// network's round trip to the server if that is known: the new servers may be farther away than
// the old ones. It is not called for a failure, nor if the server had the prompt in its cache.
func (a *Attempt) Respond(d time.Duration) {}

// End records the outcome. gap is the mean time between the events of a stream, 0 if it had too few.
func (a *Attempt) End(failed bool, gap time.Duration) {}

// Cancel records that the request ended without saying anything about the server.
func (a *Attempt) Cancel() {}

// Report returns the windows that are recent or have changed recently.
func (r *Recorder) Report(nowMS int64) Report { return nil }

// Sum adds up the reports of the hosts of a data centre.
func Sum(all ...Report) Report { return nil }
