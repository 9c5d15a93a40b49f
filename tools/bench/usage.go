package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"cicadabeam/test/cluster"
)

// ticksPerSecond is the number of clock ticks per second in which /proc counts processor
// time.
const ticksPerSecond = 100

// usage is the resource usage of a process up to a point in time.
type usage struct {
	at  time.Time
	cpu time.Duration
	rss int // bytes
}

// readUsage reads the usage of a process from /proc.
func readUsage(p *cluster.Process) (usage, error) {
	u := usage{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return u, err
	}
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, err := strconv.Atoi(f[11])
	if err != nil {
		return u, err
	}
	system, err := strconv.Atoi(f[12])
	if err != nil {
		return u, err
	}
	pages, err := strconv.Atoi(f[21])
	if err != nil {
		return u, err
	}
	u.cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	u.rss = pages * os.Getpagesize()
	return u, nil
}

// cores returns how many processor cores u corresponds to over the time since before.
func (u usage) cores(before usage) float64 {
	return u.cpu.Seconds() / u.at.Sub(before.at).Seconds()
}

func (u usage) since(before usage) usage {
	return usage{at: u.at, cpu: u.cpu - before.cpu, rss: u.rss - before.rss}
}
