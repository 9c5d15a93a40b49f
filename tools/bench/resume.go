package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/engine"
)

// resumeBench measures recovery from the loss of engines.
type resumeBench struct {
	Answers int `long:"answers" default:"60" description:"concurrent answers"`
	Tokens  int `long:"tokens" default:"300" description:"tokens of each"`
	Rounds  int `long:"rounds" default:"5"`
	Lost    int `long:"lost" default:"1" description:"engines lost at once, of 8"`
}

// Execute kills engines, suspends them or cuts their connections under load.
func (b *resumeBench) Execute([]string) error {
	fmt.Println("loss          policy   answers hit  still ms: p50    p95    max  generated/needed  start-over would")
	faults := map[string]func(c *cluster.Cluster, e *cluster.Engine) error{
		"death":  func(_ *cluster.Cluster, e *cluster.Engine) error { e.Kill(); return nil },
		"freeze": func(_ *cluster.Cluster, e *cluster.Engine) error { e.Suspend(); return nil },
		"cut":    func(c *cluster.Cluster, e *cluster.Engine) error { return c.Link("nodes", e.Name()).DropData() },
	}
	for range b.Rounds {
		for _, policy := range []string{"latency", "cost"} {
			for name, inject := range faults {
				if err := b.measure(name, policy, inject); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (b *resumeBench) measure(name, policy string, inject func(c *cluster.Cluster, e *cluster.Engine) error) error {
	l := cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 4, Slots: 32, TokenMS: 20, ExtraServiceConfig: "recovery = " + policy + "\n"}
	return withCluster(l, func(c *cluster.Cluster) error {
		ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
		defer cancel()
		answers := make([]*cluster.Transcript, b.Answers)
		var requests sync.WaitGroup
		for i := range answers {
			requests.Go(func() {
				answers[i] = c.Node(i%4).Complete(ctx, cluster.CompletionRequest{Text: fmt.Sprintf("%d tokens=%d", i, b.Tokens)})
			})
		}
		time.Sleep(2 * time.Second)
		for i := range b.Lost {
			// A stride of 3 takes engines from both data centres.
			if err := inject(c, c.Engine(i*3%8)); err != nil {
				return err
			}
		}
		requests.Wait()
		return b.report(c, name, policy, answers)
	})
}

func (b *resumeBench) report(c *cluster.Cluster, name, policy string, answers []*cluster.Transcript) error {
	log, err := c.EngineLog()
	if err != nil {
		return err
	}
	pauses := newHistogram()
	for _, x := range answers {
		if x == nil || !x.Done {
			return fmt.Errorf("%s: an answer is incomplete: %+v", name, x)
		}
		if attempts(log, x.Marker) > 1 {
			_ = pauses.RecordValue(x.LongestGap().Microseconds())
		}
	}
	printPauses(name, policy, pauses, log, b.Answers*b.Tokens)
	return nil
}

func printPauses(name, policy string, pauses *hdrhistogram.Histogram, log []engine.Record, needed int) {
	generated, repeated := generatedTokens(log)
	fmt.Printf("%-13s %-8s %11d %16.0f %6.0f %6.0f %17.3f %17.3f\n", name, policy, pauses.TotalCount(), ms(pauses, 50), ms(pauses, 95), ms(pauses, 100),
		float64(generated)/float64(needed), float64(generated+repeated)/float64(needed))
}

// attempts returns how often the engines started the request with a marker.
func attempts(log []engine.Record, marker string) int {
	n := 0
	for _, r := range log {
		if r.Event == "start" && r.Marker == marker {
			n++
		}
	}
	return n
}

// generatedTokens returns the number of tokens that the engines generated, and how many
// more they would have generated if each attempt had started at the first token. A
// generation whose end was not logged counts up to the furthest position at which an
// attempt for its request started.
func generatedTokens(log []engine.Record) (generated, repeated int) {
	ended := make(map[string]bool)
	for _, r := range log {
		if r.Event == "end" {
			ended[r.Generation] = true
			generated += r.Tokens
		}
	}
	for _, r := range log {
		if r.Event == "start" {
			repeated += r.From
			if !ended[r.Generation] {
				generated += lastStart(log, r) - r.From
			}
		}
	}
	return generated, repeated
}

// lastStart returns the furthest position at which an attempt for the request of x
// started, or the start of x itself if none started after it.
func lastStart(log []engine.Record, x engine.Record) int {
	last := x.From
	for _, r := range log {
		if r.Event == "start" && r.Marker == x.Marker && r.From > last {
			last = r.From
		}
	}
	return last
}
