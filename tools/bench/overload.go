package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadabeam/test/cluster"
)

// overloadBench measures goodput and refusals above capacity.
type overloadBench struct {
	Factor  float64 `long:"times" default:"3" description:"offered load as a multiple of the capacity"`
	Seconds int     `long:"seconds" default:"20"`
	Rounds  int     `long:"rounds" default:"5"`
}

// All answers take equally long, so that the capacity is known: the number of slots
// divided by the time of an answer.
const (
	overloadSlots   = 16
	overloadTokens  = 50
	overloadTokenMS = 20
	// coldSeconds is how long the nodes do not know yet how fast requests start. Refusals
	// of requests that were sent in this time are left out of the refusal times, and the
	// late ones among them are counted separately.
	coldSeconds = 3
)

// Execute sends requests at a fixed rate above the capacity of the engines.
func (b *overloadBench) Execute([]string) error {
	fmt.Println("offered/s  capacity/s  goodput/capacity  refused  refusal ms: p50    p95    p99  over 50 ms (cold)  answered: first token p95 ms")
	for range b.Rounds {
		if err := b.measure(); err != nil {
			return err
		}
	}
	return nil
}

// overloadResult counts the outcomes of the requests.
type overloadResult struct {
	mu               sync.Mutex
	completed        int
	refused          int
	lateRefusals     int       // took over 50 ms
	lateColdRefusals int       // of requests that came in the first coldSeconds
	warmAt           time.Time // when coldSeconds have passed
	noRetryAfter     int       // refused without the header Retry-After
	failed           int
	refusalTime      *hdrhistogram.Histogram
	firstToken       *hdrhistogram.Histogram
}

func (b *overloadBench) measure() error {
	l := cluster.Layout{NodesPerDataCentre: 2, EnginesPerDataCentre: 4, Slots: overloadSlots, TokenMS: overloadTokenMS, ExtraServiceConfig: "queue-wait = 2s\n"}
	return withCluster(l, func(c *cluster.Cluster) error {
		capacity := 4 * overloadSlots * 1000 / float64(overloadTokens*overloadTokenMS)
		rate := b.Factor * capacity
		r := &overloadResult{refusalTime: newHistogram(), firstToken: newHistogram(), warmAt: time.Now().Add(coldSeconds * time.Second)}
		ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
		defer cancel()
		start := time.Now()
		var requests sync.WaitGroup
		for i := range int(rate * float64(b.Seconds)) {
			time.Sleep(time.Until(start.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
			requests.Go(func() {
				r.record(c.Node(i%2).Complete(ctx, cluster.CompletionRequest{Organisation: cluster.Organisations[i%3], Text: fmt.Sprintf("%d tokens=%d", i, overloadTokens)}))
			})
		}
		took := time.Since(start)
		requests.Wait()
		fmt.Printf("%9.0f %11.0f %17.3f %8d %16.1f %6.1f %6.1f %10d (%4d) %18.1f\n", rate, capacity, float64(r.completed)/capacity/took.Seconds(), r.refused,
			ms(r.refusalTime, 50), ms(r.refusalTime, 95), ms(r.refusalTime, 99), r.lateRefusals, r.lateColdRefusals, ms(r.firstToken, 95))
		if r.failed+r.noRetryAfter > 0 {
			fmt.Printf("%d failed in other ways, %d refused without Retry-After\n", r.failed, r.noRetryAfter)
		}
		return nil
	})
}

func (r *overloadResult) record(t *cluster.Transcript) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case t.Done:
		r.completed++
		_ = r.firstToken.RecordValue(t.Pieces[0].At.Sub(t.Started).Microseconds())
	case t.Status == http.StatusTooManyRequests || t.Status == http.StatusServiceUnavailable:
		r.refused++
		r.recordRefusal(t)
		if t.Header.Get("Retry-After") == "" {
			r.noRetryAfter++
		}
	default:
		r.failed++
	}
}

func (r *overloadResult) recordRefusal(t *cluster.Transcript) {
	took := t.Ended.Sub(t.Started)
	cold := t.Started.Before(r.warmAt)
	if !cold {
		_ = r.refusalTime.RecordValue(took.Microseconds())
	}
	if took > 50*time.Millisecond {
		r.lateRefusals++
		if cold {
			r.lateColdRefusals++
		}
	}
}
