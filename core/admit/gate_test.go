package admit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadabeam/core/admit"
	"cicadabeam/core/fault"
)

// pool is the slots behind a gate.
type pool struct {
	mu   sync.Mutex
	free int
	gate *admit.Gate
}

func (p *pool) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free == 0 {
		return false
	}
	p.free--
	return true
}

func (p *pool) give() {
	p.mu.Lock()
	p.free++
	p.mu.Unlock()
	p.gate.Wake()
}

func (p *pool) request(organisation string, weight int, wait time.Duration) admit.Request {
	return admit.Request{Organisation: organisation, Weight: weight, Deadline: time.Now().Add(wait), Try: p.take}
}

// An organisation that sends twenty times its share doesn't hold up another.
func TestFairShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{free: 2, gate: admit.New()}
		waited := make(map[string]time.Duration)
		var mu sync.Mutex
		var work sync.WaitGroup
		ask := func(organisation string) {
			start := time.Now()
			if err := p.gate.Acquire(context.Background(), p.request(organisation, 1, time.Hour)); err != nil {
				t.Errorf("%s: %v", organisation, err)
				return
			}
			mu.Lock()
			waited[organisation] = max(waited[organisation], time.Since(start))
			mu.Unlock()
			time.Sleep(time.Second)
			p.give()
		}
		for range 200 {
			work.Go(func() { ask("greedy") })
		}
		synctest.Wait()
		for i := range 10 {
			work.Go(func() { ask("modest") })
			time.Sleep(time.Duration(1+i%2) * time.Second)
		}
		work.Wait()
		if waited["modest"] > 2*time.Second {
			t.Errorf("the modest organisation waited %v behind the greedy one", waited["modest"])
		}
	})
}

func TestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{gate: admit.New()}
		started := make(map[string]int)
		var mu sync.Mutex
		var work sync.WaitGroup
		for i := range 60 {
			name, weight := "light", 1
			if i%2 == 0 {
				name, weight = "heavy", 3
			}
			work.Go(func() {
				if p.gate.Acquire(context.Background(), p.request(name, weight, time.Minute)) == nil {
					mu.Lock()
					started[name]++
					mu.Unlock()
				}
			})
		}
		synctest.Wait()
		for range 20 {
			p.give()
		}
		synctest.Wait()
		if started["heavy"] != 15 || started["light"] != 5 {
			t.Errorf("started %v; want 15 and 5", started)
		}
		for range 40 {
			p.give()
		}
		work.Wait()
	})
}

// A request that can't start before its deadline is refused at once, with when to
// come back; one whose deadline passes is refused then.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{gate: admit.New()}
		start := time.Now()
		err := p.gate.Acquire(context.Background(), p.request("o", 1, 5*time.Second))
		if !fault.Is(err, fault.Overloaded) || time.Since(start) != 5*time.Second {
			t.Fatalf("after %v: %v", time.Since(start), err)
		}
		finish := teach(t, p)
		defer finish()
		start = time.Now()
		err = p.gate.Acquire(context.Background(), p.request("o", 1, 500*time.Millisecond))
		if !fault.Is(err, fault.Overloaded) || time.Since(start) != 0 {
			t.Fatalf("after %v: %v", time.Since(start), err)
		}
		if f := fault.From(err); f.Ran() != fault.NotRun || !f.RetryAt().After(time.Now()) {
			t.Fatalf("%+v", f)
		}
	})
}

// teach shows the gate that a request starts every second, and leaves 40 waiting
// until finish is called.
func teach(t *testing.T, p *pool) (finish func()) {
	t.Helper()
	var work sync.WaitGroup
	for i := range 100 {
		work.Go(func() {
			if err := p.gate.Acquire(context.Background(), p.request(fmt.Sprint("o", i), 1, time.Hour)); err != nil {
				t.Error(err)
			}
		})
	}
	synctest.Wait()
	for range 60 {
		time.Sleep(time.Second)
		p.give()
	}
	return func() {
		for range 40 {
			p.give()
		}
		work.Wait()
	}
}

// What has begun goes before what has not.
func TestUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{gate: admit.New()}
		order := make(chan string, 2)
		var work sync.WaitGroup
		ask := func(name string, urgent bool) {
			r := p.request(name, 1, time.Minute)
			r.Urgent = urgent
			if p.gate.Acquire(context.Background(), r) == nil {
				order <- name
			}
		}
		work.Go(func() { ask("new", false) })
		synctest.Wait()
		work.Go(func() { ask("begun", true) })
		synctest.Wait()
		p.give()
		synctest.Wait()
		p.give()
		work.Wait()
		if first := <-order; first != "begun" {
			t.Errorf("%s went first", first)
		}
	})
}

// At three times the capacity, with slots that come free in bursts, nearly all
// refusals are made at once and not at the deadline.
func TestOverloadRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{gate: admit.New()}
		var mu sync.Mutex
		served, early, late := 0, 0, 0
		var work sync.WaitGroup
		for i := range 3000 {
			time.Sleep(10 * time.Millisecond)
			if i%24 == 0 {
				for range 8 {
					p.give()
				}
			}
			work.Go(func() {
				start := time.Now()
				err := p.gate.Acquire(context.Background(), p.request(fmt.Sprint("o", i%3), 1, 2*time.Second))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					served++
				case time.Since(start) == 0:
					early++
				default:
					late++
				}
			})
		}
		work.Wait()
		if served < 950 || late*20 > early {
			t.Errorf("%d served, %d refused at once, %d at their deadline", served, early, late)
		}
	})
}
