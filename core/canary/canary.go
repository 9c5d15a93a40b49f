// Package canary decides from the responses of a service's servers whether a new software version
// is as good as the old one.
//
// Each host counts responses in windows of one second by route, and by server for the new version
// or by data centre for the old one. Recent windows are sent with the hosts' reports. Windows are
// numbered by the store's clock, so that all hosts count in the same ones, and a report that comes
// twice or late changes nothing.
//
// # Usage
//
//	r := canary.NewRecorder()
//	r.Watch(map[string]uint64{"chat": order.ID})
//	r.Record(canary.Outcome{Service: "chat", Route: "/v1/chat", Server: "s1", New: true, First: d}, nowMS)
//	report := r.Report(nowMS)               // to other hosts
//	sum := canary.Sum(report, peerReport)   // of a data centre, by a gateway
//
//	j := canary.NewJudge("chat", order.ID, 0, 0)
//	j.Merge("host-1", report["chat"])       // on each host that may become the driver
//	switch v := j.Verdict(); v.Result { ... }
package canary

import "time"

// Outcome is what became of a request that was sent to a server.
type Outcome struct {
	Service    string
	Route      string
	Server     string // ID
	DataCentre string // of the server
	New        bool   // the server is of the version that the order names
	Failed     bool   // a 5xx of the server, a lost, broken or unsigned response
	// First is the time to the response or, for a stream, to its first event. Gap is the mean time
	// between the events of a stream, 0 if it has too few. Both count for responses that didn't fail.
	First time.Duration
	Gap   time.Duration
}

// Report has the recent windows of an origin (a host, or a data centre) by service.
type Report map[string]ServiceReport

// ServiceReport has the recent windows of a service with an order.
type ServiceReport struct {
	OrderID uint64
	Windows map[int64]Window // by second of the store's clock
}

// Window has the counts of one second.
type Window map[Stratum]Counts

// Stratum says what a response is compared with: responses of the same route and, for failures,
// data centre.
type Stratum struct {
	Route      string
	DataCentre string
	Server     string // of the new version; empty for the old one
}

// Counts has the responses of a stratum in a window. A number never falls while the window lasts.
type Counts struct {
	Responses int
	Failed    int
	First     map[int]int // responses by bucket of the time to the response or first event
	Gap       map[int]int // streams by bucket of the mean time between events
}

// Result is what the evidence says.
type Result int

// The results of a Verdict.
const (
	Undecided Result = iota
	Sound
	Bad
)

// Verdict is a result with what it is based on.
type Verdict struct {
	Result  Result
	Reason  string  // what decided, with the route if it was one of them
	Exposed int     // responses of the new version
	Bad     int     // those that failed or were slow
	Against bool    // the evidence of all routes, or of one, is rather for the version being worse
	Weight  float64 // log likelihood ratio of all routes together; positive is against the version
}
