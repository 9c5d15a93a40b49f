package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Request kinds, equal to the first segment of the path.
const (
	buy    = "buy"    // at most once
	read   = "read"   // idempotent
	report = "report" // resumable stream
	once   = "once"   // stream that may run at most once
)

func isStream(kind string) bool { return kind == report || kind == once }

func isAtMostOnce(kind string) bool { return kind == buy || kind == once }

// forged is the value that callers send in headers that only the system may set.
const forged = "forged"

const (
	callDeadline   = 2 * time.Second
	streamDeadline = 6 * time.Second
	maxCallerPause = 40 * time.Millisecond
)

// Result is the result of one request as seen by its caller.
type Result struct {
	ID            string
	Kind          string
	Path          string
	Host          string
	Key           string
	Sent          time.Time
	Finished      time.Time
	Status        int // 0 if there was no response
	HasSignature  bool
	HasRetryAfter bool   // the response has a Retry-After header
	ServerLeaving bool   // the response says that the server leaves
	Body          string // the part that was received
	Truncated     bool   // the response was truncated
	Parts         string // the parts of the prompt before its own
	LastEventID   int    // for a resumed stream, the Last-Event-Id that the caller sent; 0 otherwise
	Resumes       string // for a resumed stream, the request that brought its first event
	Versions      string // lines with the software versions of the servers that the events came from
}

// resultLog holds the results of all requests.
type resultLog struct {
	mu      sync.Mutex
	entries []Result
}

func (l *resultLog) add(x Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, x)
}

func (l *resultLog) list() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Result(nil), l.entries...)
}

// caller sends requests one at a time, over persistent connections, to the hosts that
// pickHost selects.
type caller struct {
	name     string
	random   *rand.Rand
	client   *http.Client
	pickHost func(r *rand.Rand) string // returns the address of a host
	pickKey  func() string
	results  *resultLog
	kinds    []string
	parts    string // the parts of all its prompts before their own
	maxPause time.Duration
	count    int
}

func newCaller(name string, seed uint64, pick func(r *rand.Rand) string, key func() string, l *resultLog) *caller {
	return &caller{
		name: name, random: rand.New(rand.NewPCG(seed, 7)), pickHost: pick, pickKey: key, results: l, kinds: []string{buy, read, report, once}, maxPause: maxCallerPause,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

// run sends requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	defer c.client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		kind := c.kinds[c.random.IntN(len(c.kinds))]
		c.send(kind)
		time.Sleep(time.Duration(c.random.Float64() * float64(c.maxPause)))
	}
}

// send sends a request. A truncated stream is resumed until it is complete, or refused.
func (c *caller) send(kind string) {
	c.count++
	path := fmt.Sprintf("/%s/%s-%d", kind, c.name, c.count)
	x := c.sendOnce(kind, path, 0, "")
	c.results.add(x)
	first, received := x.ID, 0
	for range maxAttempts - 1 {
		received += strings.Count(x.Body, "\n\n")
		if kind != report || !x.Truncated || received == 0 {
			return
		}
		x = c.sendOnce(kind, path, received, first)
		c.results.add(x)
	}
}

func (c *caller) sendOnce(kind, path string, lastEventID int, resumes string) (x Result) {
	x = Result{
		ID: fmt.Sprintf("%s-%d-%d", c.name, c.count, c.random.Uint32()), Kind: kind, Path: path, Host: c.pickHost(c.random), Key: c.pickKey(), Sent: time.Now(), Parts: c.parts, LastEventID: lastEventID, Resumes: resumes,
	}
	defer func() { x.Finished = time.Now() }()
	method := http.MethodPost
	if kind == read {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://"+x.Host+path, http.NoBody)
	if err != nil {
		return x
	}
	c.setHeaders(r, x)
	response, err := c.client.Do(r)
	if err != nil {
		return x
	}
	defer func() { _ = response.Body.Close() }()
	x.Status = response.StatusCode
	x.HasSignature = response.Header.Get("X-Server-Signature") != ""
	x.HasRetryAfter = response.Header.Get("Retry-After") != ""
	x.ServerLeaving = response.Header.Get("Server-Leaving") == "1"
	b, err := io.ReadAll(bufio.NewReader(response.Body))
	x.Body, x.Truncated = versionLine.ReplaceAllString(string(b), ""), err != nil
	x.Versions = string(b)
	return x
}

func (c *caller) setHeaders(r *http.Request, x Result) {
	deadline := callDeadline
	if isStream(x.Kind) {
		deadline = streamDeadline
		r.Header.Set("X-Token-Usage", "800,90")
		r.Header.Set("X-Prefix-Hash", fmt.Sprintf("%s%x:800", x.Parts, x.Path))
	}
	if x.LastEventID > 0 {
		r.Header.Set("Last-Event-Id", fmt.Sprint(x.LastEventID))
		r.Header.Set("Resumes", x.Resumes)
	}
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", x.ID)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+x.Key)
	r.Header.Set("X-Tenant", forged)
	r.Header.Set("Kv-From", forged)
	r.Header.Set("X-Hold", forged)
}
