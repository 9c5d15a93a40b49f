// Package soak lets entry hosts as real processes suffer faults drawn from a seed, while
// callers send requests, and judges what callers were told by what servers saw.
//
// # Usage
//
//	go test ./test/soak                                 # the seeds that CI plays
//	SOAK_SEEDS=100-149 SOAK_SECONDS=20 go test ./test/soak -timeout 60m
package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/entryhost"
)

const (
	hosts   = 3
	callers = 12
	// seconds is how long faults come, unless the environment says otherwise.
	seconds = 8
	// most is the number of breaches printed of one seed.
	most = 20
)

// seedsOfCI are played each time: a few, and each that ever failed with its cause.
var seedsOfCI = []uint64{
	1, 2,
	4,  // requests that waited while a host was frozen got their whole time again at servers
	38, // the same
}

var binary string

func TestMain(m *testing.M) { os.Exit(entryhost.Run(m, &binary)) }

// seeds reads SOAK_SEEDS, as FROM-TO.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	text := os.Getenv("SOAK_SEEDS")
	if text == "" {
		return seedsOfCI
	}
	first, last, _ := strings.Cut(text, "-")
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		t.Fatalf("SOAK_SEEDS is %q, not FROM-TO", text)
	}
	to, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		to = from
	}
	var all []uint64
	for s := from; s <= to; s++ {
		all = append(all, s)
	}
	return all
}

func length(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv("SOAK_SECONDS")
	if text == "" {
		return seconds * time.Second
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("SOAK_SECONDS is %q, not a number", text)
	}
	return time.Duration(n) * time.Second
}

func TestSoak(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, length(t))
		})
	}
}

func soak(t *testing.T, seed uint64, d time.Duration) {
	w, err := newWorld(binary, t.TempDir(), seed, hosts)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		t.Fatal(err)
	}
	w.recovered() // serves before the first fault
	stop := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() { w.balance(stop) })
	for i := range callers {
		keys := rand.New(rand.NewPCG(seed, uint64(100+i)))
		c := newCaller(fmt.Sprintf("c%d", i), seed*1000+uint64(i), w.pick, func() string { return w.key(keys) }, w.transcript)
		g.Go(func() { c.run(stop) })
	}
	w.suffer(time.Now().Add(d))
	w.recovered()
	close(stop)
	g.Wait()
	conclude(t, w, seed)
}

// conclude prints the breaches with the faults, and keeps the hosts' logs.
func conclude(t *testing.T, w *world, seed uint64) {
	t.Helper()
	breaches := append(w.found, w.check()...)
	counts := make(map[int]int)
	for _, x := range w.transcript.told() {
		counts[x.Status]++
	}
	t.Logf("seed %d: %d faults, answers by status %v", seed, len(w.faults), counts)
	if len(breaches) == 0 {
		return
	}
	for _, b := range breaches[:min(len(breaches), most)] {
		t.Errorf("%s", b)
	}
	t.Logf("%d breaches; faults by second:\n%s", len(breaches), strings.Join(w.log, "\n"))
	if dir := os.Getenv("SOAK_LOGS"); dir != "" {
		for _, h := range w.hosts {
			if b, err := os.ReadFile(h.Output()); err == nil {
				_ = os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d-%s.log", seed, h.Name())), b, 0o600)
			}
		}
	}
}
