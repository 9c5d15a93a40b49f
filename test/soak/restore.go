package soak

import (
	"bytes"
	"math/rand/v2"
	"os"
	"regexp"
	"sync"
	"time"

	"cicadabeam/test/standin/store"
)

const (
	copyInterval = 250 * time.Millisecond
	maxCopies    = 20
	// maxRestoreInterval is the longest time between the starts of two restores.
	maxRestoreInterval = 6 * time.Second
	// operatorTime and serverTime are how long after a restore the operator and the servers
	// have written again.
	operatorTime = 1500 * time.Millisecond
	serverTime   = 1900 * time.Millisecond
)

// injectRestores lets the store come back from older copies until a time, in half of the
// seeds. It draws from its own source, so that the other faults of a seed stay the same.
func (e *testEnv) injectRestores(until time.Time) {
	r := e.restores
	if r.IntN(2) == 0 {
		return
	}
	e.restoreRepeatedly(r, until)
}

func (e *testEnv) restoreRepeatedly(r *rand.Rand, until time.Time) {
	var copies []store.Copy
	next := time.Now().Add(time.Duration(r.Float64() * float64(maxRestoreInterval)))
	for time.Now().Before(until) {
		copies = append(copies, e.store.Copy())
		copies = copies[max(0, len(copies)-maxCopies):]
		if time.Now().After(next) {
			from := time.Now()
			e.restoreStore(r, copies)
			e.recordFault(fault{name: "the store comes back older"}, from)
			e.mu.Lock()
			e.restoring = append(e.restoring, span{from: from, to: time.Now()})
			e.mu.Unlock()
			copies = nil // later copies only, or else writes of the last restore would be lost for good
			next = time.Now().Add(time.Duration(r.Float64() * float64(maxRestoreInterval)))
		}
		time.Sleep(copyInterval)
	}
}

// restoreStore takes the store away for a moment, or not at all, and brings it back from a
// copy, at times twice in a row. It returns when the operator and the servers have written
// again.
func (e *testEnv) restoreStore(r *rand.Rand, copies []store.Copy) {
	older := copies[r.IntN(len(copies))]
	away := time.Duration(0)
	if r.IntN(4) > 0 {
		away = time.Duration(r.IntN(1500)) * time.Millisecond
		e.store.SetMode(randomMode(r))
		time.Sleep(away)
	}
	lost := e.store.Copy()
	e.store.Restore(older)
	e.store.SetMode(store.Healthy)
	e.logFault("the store comes back older, away for %v, era %d", away, e.store.Era())
	if r.IntN(3) == 0 {
		time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
		e.rewrite(rand.New(rand.NewPCG(r.Uint64(), 1)), lost, older, 0, 0)
		lost = e.store.Copy()
		e.store.Restore(older)
		e.logFault("the store comes back older again, era %d", e.store.Era())
	}
	e.rewrite(r, lost, older, operatorTime, serverTime)
}

// rewrite lets the operator and the servers write again, each at a random time within a limit.
func (e *testEnv) rewrite(r *rand.Rand, lost, older store.Copy, operatorLimit, serverLimit time.Duration) {
	var g sync.WaitGroup
	writeAgain := func(table, key string, limit time.Duration) {
		wait := time.Duration(r.Float64() * float64(limit))
		g.Go(func() {
			time.Sleep(wait)
			e.store.Rewrite(table, key, lost, older)
		})
	}
	writeAgain("op", "config", operatorLimit)
	keys := append(older.Keys("servers"), lost.Keys("servers")...)
	seen := make(map[string]bool)
	for _, key := range keys {
		if !seen[key] {
			seen[key] = true
			writeAgain("servers", key, serverLimit)
		}
	}
	g.Wait()
}

var restoredLine = regexp.MustCompile(`message="store restored".* new_era=(\d+)`)

// checkRestoreLines checks that no host logged a rise of the era twice.
func (e *testEnv) checkRestoreLines() {
	for _, h := range e.hosts {
		b, err := os.ReadFile(h.OutputPath())
		e.recordError(err)
		seen := make(map[string]bool)
		for line := range bytes.Lines(b) {
			m := restoredLine.FindSubmatch(line)
			if m == nil {
				continue
			}
			if era := string(m[1]); seen[era] {
				e.addViolation("%s logged the rise to era %s twice", h.Name(), era)
			}
			seen[string(m[1])] = true
		}
	}
}
