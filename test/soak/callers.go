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

// The kinds of requests, by the first part of their paths.
const (
	buy    = "buy"    // at most once
	read   = "read"   // idempotent
	report = "report" // a stream that may be resumed
)

// forged is what callers put into headers that only the system may set.
const forged = "forged"

const (
	callDeadline   = 2 * time.Second
	streamDeadline = 6 * time.Second
	callerPause    = 40 * time.Millisecond
)

// Told is what a caller was told about one request.
type Told struct {
	ID     string
	Kind   string
	Path   string
	Host   string
	Key    string
	Sent   time.Time
	Ended  time.Time
	Status int // 0 if there was no answer
	Signed bool
	Retry  bool   // it says when to come back
	Body   string // that came
	Broken bool   // it broke off
	First  int    // of a stream, the event after which it was to go on
}

// transcript holds all that callers were told.
type transcript struct {
	mu  sync.Mutex
	all []Told
}

func (t *transcript) add(x Told) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, x)
}

func (t *transcript) told() []Told {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Told(nil), t.all...)
}

// caller sends one request after the other to hosts that the balancer gives it, on
// connections that it keeps.
type caller struct {
	name       string
	random     *rand.Rand
	client     *http.Client
	pick       func(r *rand.Rand) string // the address of a host
	key        func() string
	transcript *transcript
	count      int
}

func newCaller(name string, seed uint64, pick func(r *rand.Rand) string, key func() string, t *transcript) *caller {
	return &caller{
		name: name, random: rand.New(rand.NewPCG(seed, 7)), pick: pick, key: key, transcript: t,
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
		kind := []string{buy, read, report}[c.random.IntN(3)]
		c.send(kind)
		time.Sleep(time.Duration(c.random.Float64() * float64(callerPause)))
	}
}

// send sends a request, and comes back once with a stream that broke off.
func (c *caller) send(kind string) {
	c.count++
	path := fmt.Sprintf("/%s/%s-%d", kind, c.name, c.count)
	x := c.once(kind, path, 0)
	c.transcript.add(x)
	if kind != report || !x.Broken {
		return
	}
	if n := strings.Count(x.Body, "\n\n"); n > 0 {
		c.transcript.add(c.once(kind, path, n))
	}
}

func (c *caller) once(kind, path string, last int) (x Told) {
	x = Told{
		ID: fmt.Sprintf("%s-%d-%d", c.name, c.count, c.random.Uint32()), Kind: kind, Path: path, Host: c.pick(c.random), Key: c.key(), Sent: time.Now(), First: last,
	}
	defer func() { x.Ended = time.Now() }()
	method := http.MethodPost
	if kind == read {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://"+x.Host+path, http.NoBody)
	if err != nil {
		return x
	}
	c.describe(r, x)
	answer, err := c.client.Do(r)
	if err != nil {
		return x
	}
	defer func() { _ = answer.Body.Close() }()
	x.Status = answer.StatusCode
	x.Signed = answer.Header.Get("X-Server-Signature") != ""
	x.Retry = answer.Header.Get("Retry-After") != ""
	b, err := io.ReadAll(bufio.NewReader(answer.Body))
	x.Body, x.Broken = string(b), err != nil
	return x
}

func (c *caller) describe(r *http.Request, x Told) {
	deadline := callDeadline
	if x.Kind == report {
		deadline = streamDeadline
		r.Header.Set("X-Token-Usage", "800,90")
		r.Header.Set("X-Prefix-Hash", fmt.Sprintf("%x:800", x.Path))
	}
	if x.First > 0 {
		r.Header.Set("Last-Event-Id", fmt.Sprint(x.First))
	}
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", x.ID)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+x.Key)
	r.Header.Set("X-Tenant", forged)
	r.Header.Set("Kv-From", forged)
	r.Header.Set("X-Hold", forged)
}
