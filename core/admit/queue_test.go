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

// pool is a number of free slots of the service behind a queue.
type pool struct {
	mu    sync.Mutex
	free  int
	queue *admit.Queue
}

func (p *pool) acquire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free == 0 {
		return false
	}
	p.free--
	return true
}

func (p *pool) release() {
	p.mu.Lock()
	p.free++
	p.mu.Unlock()
	p.queue.Dispatch()
}

func (p *pool) request(organisation string, weight int, wait time.Duration) admit.Request {
	return admit.Request{Organisation: organisation, Weight: weight, Deadline: time.Now().Add(wait), TryAcquire: p.acquire}
}

// TestFairShares guards against starvation: an organisation that sends twenty times
// as many requests as another must not delay the other's requests.
func TestFairShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{free: 2, queue: admit.New()}
		waited := make(map[string]time.Duration)
		var mu sync.Mutex
		var group sync.WaitGroup
		send := func(organisation string) {
			start := time.Now()
			if err := p.queue.Acquire(context.Background(), p.request(organisation, 1, time.Hour)); err != nil {
				t.Errorf("%s: %v", organisation, err)
				return
			}
			mu.Lock()
			waited[organisation] = max(waited[organisation], time.Since(start))
			mu.Unlock()
			time.Sleep(time.Second)
			p.release()
		}
		for range 200 {
			group.Go(func() { send("greedy") })
		}
		synctest.Wait()
		for i := range 10 {
			group.Go(func() { send("modest") })
			time.Sleep(time.Duration(1+i%2) * time.Second)
		}
		group.Wait()
		if waited["modest"] > 2*time.Second {
			t.Errorf("the modest organisation waited %v behind the greedy one", waited["modest"])
		}
	})
}

// TestWeights checks that organisations with backlogs start requests in proportion to
// their weights.
func TestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{queue: admit.New()}
		started := make(map[string]int)
		var mu sync.Mutex
		var group sync.WaitGroup
		for i := range 60 {
			name, weight := "light", 1
			if i%2 == 0 {
				name, weight = "heavy", 3
			}
			group.Go(func() {
				if p.queue.Acquire(context.Background(), p.request(name, weight, time.Minute)) == nil {
					mu.Lock()
					started[name]++
					mu.Unlock()
				}
			})
		}
		synctest.Wait()
		for range 20 {
			p.release()
		}
		synctest.Wait()
		if started["heavy"] != 15 || started["light"] != 5 {
			t.Errorf("started %v; want 15 of heavy and 5 of light", started)
		}
		for range 40 {
			p.release()
		}
		group.Wait()
	})
}

// TestRefusals checks that a request which isn't expected to start before its deadline
// is refused immediately, with the time at which to retry, and that a waiting request
// is refused when its deadline passes.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{queue: admit.New()}
		start := time.Now()
		err := p.queue.Acquire(context.Background(), p.request("o", 1, 5*time.Second))
		if !fault.Is(err, fault.Overloaded) || time.Since(start) != 5*time.Second {
			t.Fatalf("Acquire returned after %v: %v", time.Since(start), err)
		}
		drain := warmUp(t, p)
		defer drain()
		start = time.Now()
		err = p.queue.Acquire(context.Background(), p.request("o", 1, 500*time.Millisecond))
		if !fault.Is(err, fault.Overloaded) || time.Since(start) != 0 {
			t.Fatalf("Acquire returned after %v: %v", time.Since(start), err)
		}
		if f := fault.From(err); f.Ran() != fault.NotRun || !f.RetryAt().After(time.Now()) {
			t.Fatalf("%+v", f)
		}
	})
}

// warmUp sets the start rate of the queue to one request per second. It leaves 40
// requests waiting, which drain starts.
func warmUp(t *testing.T, p *pool) (drain func()) {
	t.Helper()
	var group sync.WaitGroup
	for i := range 100 {
		group.Go(func() {
			if err := p.queue.Acquire(context.Background(), p.request(fmt.Sprint("o", i), 1, time.Hour)); err != nil {
				t.Error(err)
			}
		})
	}
	synctest.Wait()
	for range 60 {
		time.Sleep(time.Second)
		p.release()
	}
	return func() {
		for range 40 {
			p.release()
		}
		group.Wait()
	}
}

// TestUrgentFirst checks that an urgent request, one that has already started, starts
// before a new one that was queued earlier.
func TestUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{queue: admit.New()}
		order := make(chan string, 2)
		var group sync.WaitGroup
		send := func(name string, urgent bool) {
			r := p.request(name, 1, time.Minute)
			r.Urgent = urgent
			if p.queue.Acquire(context.Background(), r) == nil {
				order <- name
			}
		}
		group.Go(func() { send("new", false) })
		synctest.Wait()
		group.Go(func() { send("urgent", true) })
		synctest.Wait()
		p.release()
		synctest.Wait()
		p.release()
		group.Wait()
		if first := <-order; first != "urgent" {
			t.Errorf("%s started first; want urgent", first)
		}
	})
}

// TestOverloadRefusesAtOnce checks that at three times the capacity, with slots that are
// released in bursts, nearly all refusals are made on entry and not at the deadline.
func TestOverloadRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{queue: admit.New()}
		var mu sync.Mutex
		served, early, late := 0, 0, 0
		var group sync.WaitGroup
		for i := range 3000 {
			time.Sleep(10 * time.Millisecond)
			if i%24 == 0 {
				for range 8 {
					p.release()
				}
			}
			group.Go(func() {
				start := time.Now()
				err := p.queue.Acquire(context.Background(), p.request(fmt.Sprint("o", i%3), 1, 2*time.Second))
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
		group.Wait()
		if served < 950 || late*20 > early {
			t.Errorf("%d served, %d refused on entry, %d refused at their deadline", served, early, late)
		}
	})
}
