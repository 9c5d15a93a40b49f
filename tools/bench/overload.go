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

type overload struct {
	Times   float64 `long:"times" default:"3" description:"offered load in parts of the capacity"`
	Seconds int     `long:"seconds" default:"20"`
	Rounds  int     `long:"rounds" default:"5"`
}

// The answers are alike, so that the capacity is known: slots over service time.
const (
	overloadSlots   = 16
	overloadTokens  = 50
	overloadTokenMS = 20
	// coldSeconds is how long no node knows yet how fast requests start. Refusals of
	// requests that came then are counted apart.
	coldSeconds = 3
)

// Execute offers more than the engines can do, at a fixed pace.
func (b *overload) Execute([]string) error {
	fmt.Println("offered/s  capacity/s  goodput/capacity  refused  refusal ms: p50    p95    p99  over 50 ms (cold)  answered: first token p95 ms")
	for range b.Rounds {
		if err := b.measure(); err != nil {
			return err
		}
	}
	return nil
}

type offered struct {
	mu       sync.Mutex
	whole    int
	refused  int
	late     int // refusals that took over 50 ms
	lateCold int // those of requests that came in the first seconds
	warm     time.Time
	silent   int // refused without saying when to come back
	failed   int
	refusals *hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
}

func (b *overload) measure() error {
	l := cluster.Layout{NodesEach: 2, EnginesEach: 4, Slots: overloadSlots, TokenMS: overloadTokenMS, Service: "queue-wait = 2s\n"}
	return withCluster(l, func(c *cluster.Cluster) error {
		capacity := 4 * overloadSlots * 1000 / float64(overloadTokens*overloadTokenMS)
		rate := b.Times * capacity
		o := &offered{refusals: newHistogram(), first: newHistogram(), warm: time.Now().Add(coldSeconds * time.Second)}
		ctx, cancel := context.WithTimeout(context.Background(), benchWait)
		defer cancel()
		start := time.Now()
		var work sync.WaitGroup
		for i := range int(rate * float64(b.Seconds)) {
			time.Sleep(time.Until(start.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
			work.Go(func() {
				o.note(c.Node(i%2).Ask(ctx, cluster.Prompt{Organisation: cluster.Organisations[i%3], Text: fmt.Sprintf("%d tokens=%d", i, overloadTokens)}))
			})
		}
		took := time.Since(start)
		work.Wait()
		fmt.Printf("%9.0f %11.0f %17.3f %8d %16.1f %6.1f %6.1f %10d (%4d) %18.1f\n", rate, capacity, float64(o.whole)/capacity/took.Seconds(), o.refused,
			ms(o.refusals, 50), ms(o.refusals, 95), ms(o.refusals, 99), o.late, o.lateCold, ms(o.first, 95))
		if o.failed+o.silent > 0 {
			fmt.Printf("%d failed in other ways, %d refused without Retry-After\n", o.failed, o.silent)
		}
		return nil
	})
}

func (o *offered) note(t *cluster.Transcript) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case t.Done:
		o.whole++
		_ = o.first.RecordValue(t.Pieces[0].At.Sub(t.Started).Microseconds())
	case t.Status == http.StatusTooManyRequests || t.Status == http.StatusServiceUnavailable:
		o.refused++
		o.noteRefusal(t)
		if t.Header.Get("Retry-After") == "" {
			o.silent++
		}
	default:
		o.failed++
	}
}

func (o *offered) noteRefusal(t *cluster.Transcript) {
	took := t.Ended.Sub(t.Started)
	cold := t.Started.Before(o.warm)
	if !cold {
		_ = o.refusals.RecordValue(took.Microseconds())
	}
	if took > 50*time.Millisecond {
		o.late++
		if cold {
			o.lateCold++
		}
	}
}
