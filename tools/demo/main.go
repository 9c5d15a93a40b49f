// Command demo shows on one machine how an answer survives the loss of its engine. It
// starts a platform, engines and entry hosts, streams one long answer, kills the engine
// that generates it part of the way through, and prints the longest pause in the stream.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"cicadabeam/test/check"
	"cicadabeam/test/cluster"
)

type options struct {
	Bin string `long:"bin" value-name:"DIRECTORY" required:"true" description:"where the programs are"`
}

const (
	answerTokens = 120
	killAfter    = 40 // events with text
	demoTimeout  = time.Minute
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := runDemo(o.Bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func runDemo(bin string) error {
	dir, err := os.MkdirTemp("", "cicadabeam-demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin, err = filepath.Abs(bin)
	if err != nil {
		return err
	}
	c, err := cluster.Start(dir, bin, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 1, EnginesPerDataCentre: 2, AppsPerDataCentre: 1, TokenMS: 25})
	if err != nil {
		return err
	}
	defer c.Stop()
	fmt.Println("started: 1 platform, 4 engines, 2 application servers, 2 entry hosts in 2 data centres")
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	t := c.Node(0).CompleteWithCallback(ctx, cluster.CompletionRequest{Text: fmt.Sprintf("tokens=%d", answerTokens)}, func(t *cluster.Transcript) {
		if len(t.Pieces) == killAfter {
			killEngine(c)
		}
	})
	return report(c, t)
}

// killEngine kills the engine that wrote the last log entry. The demo's answer is the
// only one, so this engine is generating it.
func killEngine(c *cluster.Cluster) {
	log, err := c.EngineLog()
	if err != nil || len(log) == 0 {
		return
	}
	name := log[len(log)-1].Server
	c.EngineNamed(name).Kill()
	fmt.Println("killed", name, "which was generating the answer")
}

// report checks that the answer is complete and prints its times.
func report(c *cluster.Cluster, t *cluster.Transcript) error {
	if t.Err != nil || !t.Done {
		return fmt.Errorf("the answer is incomplete: status %d, %+v, %w", t.Status, t.Failure, t.Err)
	}
	log, err := c.EngineLog()
	if err != nil {
		return err
	}
	if err := check.CompleteAnswer(t.Text(), answerTokens, t.Marker, log); err != nil {
		return err
	}
	fmt.Printf("the answer has all %d tokens, each once\n", answerTokens)
	fmt.Printf("first token after %v, longest pause %v\n", t.Pieces[0].At.Sub(t.Started).Round(time.Millisecond), t.LongestGap().Round(time.Millisecond))
	return nil
}
