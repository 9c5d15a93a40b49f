package main

import (
	"fmt"
	"strconv"
	"time"

	"cicadabeam/test/cluster"
)

// controlBench measures the resources that idle nodes use.
type controlBench struct {
	Nodes         []int `long:"nodes" default:"10" default:"20" default:"40" default:"80" description:"numbers of nodes in a data centre"`
	Servers       int   `long:"servers" default:"20" description:"backend servers"`
	Seconds       int   `long:"seconds" default:"15" description:"how long to measure each"`
	Organisations int   `long:"organisations" default:"0" description:"more organisations in the questionnaire"`
}

// Execute measures nodes without requests, so that all their traffic and processor time
// belongs to the control plane.
func (b *controlBench) Execute([]string) error {
	fmt.Println("nodes servers  cores/node %  peer out B/s  peer in B/s  RSS MB  heap MB  platform reads/s  revision everywhere ms")
	for _, n := range b.Nodes {
		if err := b.measure(n); err != nil {
			return err
		}
	}
	return nil
}

func (b *controlBench) measure(nodes int) error {
	return withCluster(cluster.Layout{NodesPerDataCentre: nodes, EnginesPerDataCentre: b.Servers}, func(c *cluster.Cluster) error {
		if _, err := c.Node(0).Apply(b.questionnaire(c, 0), 1, "bench"); err != nil {
			return err
		}
		if !awaitRevision(c, 2) {
			return fmt.Errorf("revision 2 is not in force on all nodes")
		}
		time.Sleep(3 * time.Second)
		before, err := sample(c)
		if err != nil {
			return err
		}
		time.Sleep(time.Duration(b.Seconds) * time.Second)
		after, err := sample(c)
		if err != nil {
			return err
		}
		applyDelay, err := b.applyDelay(c)
		if err != nil {
			return err
		}
		before.print(after, nodes, b.Servers, applyDelay)
		return nil
	})
}

func (b *controlBench) questionnaire(c *cluster.Cluster, round int) string {
	text := c.Questionnaire()
	for i := range b.Organisations {
		text += fmt.Sprintf("[organisation more-%d]\nkey-sha256 = %064x\nweight = %d\n", i, i+1, 1+round)
	}
	return text + "[service round-" + strconv.Itoa(round) + "]\n"
}

// applyDelay returns how long a change takes until it is in force on all nodes.
func (b *controlBench) applyDelay(c *cluster.Cluster) (time.Duration, error) {
	start := time.Now()
	if _, err := c.Node(0).Apply(b.questionnaire(c, 1), 2, "bench"); err != nil {
		return 0, err
	}
	if !awaitRevision(c, 3) {
		return 0, fmt.Errorf("revision 3 is not in force on all nodes")
	}
	return time.Since(start), nil
}

// awaitRevision waits up to a minute and reports whether a revision is in force on all
// nodes.
func awaitRevision(c *cluster.Cluster, revision uint64) bool {
	return cluster.Await(time.Minute, func() bool {
		for _, n := range c.Nodes() {
			if n.Revision() < revision {
				return false
			}
		}
		return true
	})
}

// totals are the sums over all nodes.
type totals struct {
	at      time.Time
	cpu     time.Duration
	out, in int64
	reads   int64
	rss     int
	heap    uint64
}

func sample(c *cluster.Cluster) (totals, error) {
	t := totals{at: time.Now()}
	for _, n := range c.Nodes() {
		u, err := readUsage(n.Process)
		if err != nil {
			return t, err
		}
		x, err := n.Status()
		if err != nil {
			return t, err
		}
		t.cpu += u.cpu
		t.rss += u.rss
		t.out += x.PeerSentBytes
		t.in += x.PeerReceivedByte
		t.reads += x.PlatformReads
		t.heap += x.HeapBytes
	}
	return t, nil
}

func (t totals) print(after totals, nodes, servers int, applyDelay time.Duration) {
	seconds := after.at.Sub(t.at).Seconds()
	n := float64(nodes)
	fmt.Printf("%5d %7d %13.2f %13.0f %12.0f %7.1f %8.1f %17.1f %23d\n", nodes, servers,
		100*(after.cpu-t.cpu).Seconds()/seconds/n, float64(after.out-t.out)/seconds/n, float64(after.in-t.in)/seconds/n,
		float64(after.rss)/n/1e6, float64(after.heap)/n/1e6, float64(after.reads-t.reads)/seconds, applyDelay.Milliseconds())
}
