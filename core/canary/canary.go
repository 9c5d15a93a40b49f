// Package canary decides from the responses of a service's servers whether a new software version
// is as good as the old one.
//
// Each host counts requests in windows of one second by the time at which they were sent, by route
// and data centre, and by server for the new version. Requests of the same window meet the same
// outages, and those that are still without a response are known to be slow after a while, so that
// fast responses of a slow version don't come first. Recent windows are sent with the hosts'
// reports. They are numbered by the store's clock, so that all hosts count in the same ones, and a
// report that comes twice or late changes nothing.
//
// # Usage
//
//	r := canary.NewRecorder()
//	r.Watch(map[string]uint64{"chat": order.ID})
//	a := r.Begin(canary.Request{Service: "chat", Route: "/v1/chat", Server: "s1", New: true}, nowMS)
//	a.Respond(d)                            // first event or response
//	a.End(failed, gap)                      // or a.Cancel()
//	report := r.Report(nowMS)               // to other hosts
//
//	c := canary.NewCollector()              // sums of a data centre, for a gateway
//	c.Merge("host-1", report)
//	sum := c.Report()
//
//	j := canary.NewJudge(order.ID, 0, 0)
//	j.Merge("host-1", report["chat"])       // on each host that may become the driver
//	switch v := j.Verdict(); v.Result { ... }
package canary

// Request is one sending of a request to a server.
type Request struct {
	Service    string
	Route      string
	Server     string // ID
	DataCentre string // of the server
	New        bool   // the server is of the version that the order names
}

// Report has the recent windows of an origin (a host, or a data centre) by service.
type Report map[string]ServiceReport

// ServiceReport has the recent windows of a service with an order.
type ServiceReport struct {
	OrderID uint64
	AtMS    int64            // when it was made, by the store's clock
	Windows map[int64]Window // by second of the store's clock
}

// Window has the counts of the requests that were sent in one second.
type Window map[Stratum]Counts

// Stratum says what a request is compared with: requests of the same route and, for failures,
// data centre.
type Stratum struct {
	Route      string
	DataCentre string
	Server     string // of the new version; empty for the old one
}

// Counts has the requests of a stratum in a window. No number ever falls.
type Counts struct {
	Sent      int
	Cancelled int         // by the caller or in favour of another attempt, without an outcome
	Failed    int         // a 5xx of the server, a lost, broken or unsigned response
	Lost      int         // those of Failed that had no first event or response
	Untimed   int         // responses whose time says nothing about the version
	First     map[int]int // by bucket of the time to the response or first event
	Gap       map[int]int // by bucket of the mean time between the events of a stream
}

// Result is what the evidence says.
type Result int

// The results of a Verdict.
const (
	Undecided Result = iota
	Sound
	Bad
)

func (r Result) String() string { return [...]string{"undecided", "sound", "bad"}[r] }

// Verdict is a result with what it is based on.
type Verdict struct {
	Result  Result
	Reason  string  // what decided, with the route if it was one of them
	Exposed int     // requests to the new version
	Bad     int     // those that failed or were slow
	Against bool    // the evidence of all routes, or of one, is rather for the version being worse
	Weight  float64 // log likelihood ratio of all routes together; positive is against the version
	Rate    float64 // requests a second to both versions lately
}
