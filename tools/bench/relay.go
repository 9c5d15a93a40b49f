package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadabeam/test/cluster"
)

// relayBench measures the overhead of an entry host.
type relayBench struct {
	Streams int    `long:"streams" default:"200" description:"concurrent answers"`
	Tokens  int    `long:"tokens" default:"400" description:"tokens of each"`
	TokenMS int    `long:"token-ms" default:"10" description:"time between tokens"`
	Rounds  int    `long:"rounds" default:"5"`
	Profile string `long:"profile" value-name:"FILE" description:"write a profile of the node's processor time here"`
}

const (
	startInterval = 5 * time.Millisecond // open loop: answers start whether or not others wait
	benchTimeout  = 5 * time.Minute

	profileSeconds = 4
	minCPU         = 0.01 // seconds; avoids a division by 0, as the direct path uses no node
)

// Execute compares requests sent directly to the engines with requests through an entry
// host, with and without a replica.
func (b *relayBench) Execute([]string) error {
	fmt.Println("way            first token ms: p50    p95    p99   gap p95 ms  tokens/s  node cores  tokens/s/core  node RSS MB  heap KB/answer")
	for range b.Rounds {
		for _, path := range []struct {
			name  string
			nodes int
		}{{"straight", 1}, {"no-replica", 1}, {"replica", 2}} {
			if err := b.measure(path.name, path.nodes); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *relayBench) measure(path string, nodes int) error {
	l := cluster.Layout{DataCentres: nodes, NodesPerDataCentre: 1, EnginesPerDataCentre: 4 / nodes, Slots: 1000, TokenMS: b.TokenMS}
	return withCluster(l, func(c *cluster.Cluster) error {
		url, key := c.Node(0).URL(), "key-forge"
		if path == "straight" {
			url = ""
		}
		before, err := readUsage(c.Node(0).Process)
		if err != nil {
			return err
		}
		if b.Profile != "" {
			go func() { _ = c.Node(0).WriteCPUProfile(b.Profile, profileSeconds) }()
		}
		idle, err := c.Node(0).Status()
		if err != nil {
			return err
		}
		r := b.run(c, url, key)
		after, err := readUsage(c.Node(0).Process)
		if err != nil {
			return err
		}
		d := after.since(before)
		tokens := float64(b.Streams * b.Tokens)
		perAnswer := (float64(r.heap) - float64(idle.HeapBytes)) / float64(b.Streams) / 1000
		fmt.Printf("%-14s %20.1f %6.1f %6.1f %12.1f %9.0f %11.2f %14.0f %12.1f %15.1f\n", path, ms(r.firstToken, 50), ms(r.firstToken, 95), ms(r.firstToken, 99), ms(r.gaps, 95),
			tokens/r.took.Seconds(), d.cores(before), tokens/max(d.cpu.Seconds(), minCPU), float64(after.rss)/1e6, perAnswer)
		if r.failed > 0 {
			return fmt.Errorf("%s: %d answers failed", path, r.failed)
		}
		return nil
	})
}

// relayResult is what the callers measured.
type relayResult struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram // microseconds
	gaps       *hdrhistogram.Histogram
	failed     int
	took       time.Duration
	heap       uint64 // of the node while all answers run
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func ms(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (b *relayBench) run(c *cluster.Cluster, url, key string) *relayResult {
	r := &relayResult{firstToken: newHistogram(), gaps: newHistogram()}
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	start := time.Now()
	var answers sync.WaitGroup
	for i := range b.Streams {
		target := url
		if target == "" {
			target = c.Engine(i % len(c.Engines())).URL()
		}
		answers.Go(func() { r.stream(ctx, target, key, b.Tokens, i) })
		time.Sleep(startInterval)
	}
	if s, err := c.Node(0).Status(); err == nil {
		r.heap = s.HeapBytes
	}
	answers.Wait()
	r.took = time.Since(start)
	return r
}

// stream reads one answer and records the times of its tokens. It does not decode the
// events.
func (r *relayResult) stream(ctx context.Context, url, key string, tokens, i int) {
	body := fmt.Sprintf(`{"model":"ledger","stream":true,"messages":[{"role":"user","content":"%d tokens=%d marker=m%d"}]}`, i, tokens, i)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		r.countFailure()
		return
	}
	request.Header.Set("Authorization", "Bearer "+key)
	sent := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil || response.StatusCode != http.StatusOK {
		r.countFailure()
		return
	}
	defer func() { _ = response.Body.Close() }()
	last := time.Time{}
	done := false
	s := bufio.NewScanner(response.Body)
	for s.Scan() {
		switch {
		case bytes.Contains(s.Bytes(), []byte(`"content":" t`)):
			now := time.Now()
			r.recordToken(sent, last, now)
			last = now
		case bytes.HasPrefix(s.Bytes(), []byte("data: [DONE]")):
			done = true
		}
	}
	if !done {
		r.countFailure()
	}
}

func (r *relayResult) recordToken(sent, last, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last.IsZero() {
		_ = r.firstToken.RecordValue(now.Sub(sent).Microseconds())
		return
	}
	_ = r.gaps.RecordValue(now.Sub(last).Microseconds())
}

func (r *relayResult) countFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
}
