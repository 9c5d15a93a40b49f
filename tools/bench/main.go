// Command bench measures the system with real processes and stand-in servers. It has
// no pass criteria; docs/MEASUREMENTS.md records the results.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"cicadabeam/test/cluster"
)

type options struct {
	Bin string `long:"bin" value-name:"DIRECTORY" default:"bin" description:"where the programs are"`
}

var commonOptions options

// benchmark is a subcommand that runs one measurement.
type benchmark interface{ Execute(args []string) error }

func main() {
	p := flags.NewParser(&commonOptions, flags.Default)
	for _, x := range []struct {
		name, description string
		subcommand        benchmark
	}{
		{"relay", "overhead of an entry host: time to first token, tokens per second and core, memory per answer", &relayBench{}},
		{"resume", "pause in the output after the loss of an engine, and the engine work that recovery takes", &resumeBench{}},
		{"control", "control-plane overhead per node, by the number of nodes", &controlBench{}},
		{"overload", "goodput and refusals under a load of several times the capacity", &overloadBench{}},
		{"choose", "load balance with delayed load reports, compared with random and least-own choice", &chooseBench{}},
	} {
		if _, err := p.AddCommand(x.name, x.description, x.description, x.subcommand); err != nil {
			fmt.Fprintln(os.Stderr, "bench:", err)
			os.Exit(1)
		}
	}
	if _, err := p.Parse(); err != nil {
		os.Exit(1)
	}
}

// withCluster starts a cluster, runs f on it and stops it.
func withCluster(l cluster.Layout, f func(c *cluster.Cluster) error) error {
	dir, err := os.MkdirTemp("", "cicadabeam-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin, err := filepath.Abs(commonOptions.Bin)
	if err != nil {
		return err
	}
	l.ExtraSettings += "[log]\nlevel = warn\n"
	c, err := cluster.Start(dir, bin, l)
	if err != nil {
		return err
	}
	defer c.Stop()
	return f(c)
}
