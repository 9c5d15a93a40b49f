package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"cicadabeam/test/entryhost"
	"cicadabeam/test/standin/store"
)

const (
	// faultPause is between the beginnings of two faults, at most.
	faultPause = 900 * time.Millisecond
	// exitSlack is how much longer than its grace a stop may take on a busy machine.
	exitSlack = time.Second
	// lapse is how long the entry of a server that crashed stays.
	lapse = 1500 * time.Millisecond
)

// fault is one kind of trouble. It returns when the trouble is over.
type fault struct {
	name string
	does func(w *world, r *rand.Rand)
}

var faults = []fault{
	{"a host is killed", onHost(func(w *world, h *host, r *rand.Rand) { h.Kill(); pause(r, 100, 1500); w.restart(h) })},
	{"a host is stopped", onHost(stopHost)},
	{"a host freezes", onHost(func(_ *world, h *host, r *rand.Rand) { h.Freeze(); pause(r, 300, 6500); h.Thaw() })},
	{"a host reads its settings again", onHost(func(_ *world, h *host, _ *rand.Rand) { h.Signal(syscall.SIGHUP) })},
	{"all hosts are killed", killAll},
	{"the store fails", storeFails},
	{"the store fails for one host", onHost(func(_ *world, h *host, r *rand.Rand) {
		h.front.Fail(mode(r))
		pause(r, 500, 7000)
		h.front.Fail(store.Well)
	})},
	{"the store is slow", func(w *world, r *rand.Rand) {
		w.store.Delay(time.Duration(100+r.IntN(400)) * time.Millisecond)
		pause(r, 500, 4000)
		w.store.Delay(0)
	}},
	{"the store forgets its history", func(w *world, _ *rand.Rand) { w.store.DropHistory() }},
	{"the configuration changes", func(w *world, _ *rand.Rand) { w.configure() }},
	{"a key is taken away", func(w *world, _ *rand.Rand) { w.takeKey() }},
	{"a server crashes", onPlace(crashServer)},
	{"a server leaves", onPlace(leaveServer)},
	{"a server is in trouble", onPlace(func(_ *world, p *place, r *rand.Rand) {
		p.now.setTrouble(0.4)
		pause(r, 500, 4000)
		p.now.setTrouble(0)
	})},
	{"a server's connections are reset", onPlace(func(_ *world, p *place, _ *rand.Rand) { p.now.backend.CloseConnections() })},
	{"a server can't be reached", onPlace(func(w *world, p *place, r *rand.Rand) { p.link.Break(); pause(r, 300, 3000); w.must(p.link.Mend()) })},
	{"a server's link is silent", onPlace(func(w *world, p *place, r *rand.Rand) { w.must(p.link.Swallow()); pause(r, 300, 3000); p.link.Heal() })},
	{"a server's answers don't arrive", onPlace(func(w *world, p *place, r *rand.Rand) {
		w.must(p.link.SwallowAnswers())
		pause(r, 300, 3000)
		p.link.Heal()
	})},
	{"a server's link is slow", onPlace(func(w *world, p *place, r *rand.Rand) {
		w.must(p.link.Delay(20 + r.IntN(150)))
		pause(r, 500, 3000)
		p.link.Heal()
	})},
}

// pause waits between so many milliseconds.
func pause(r *rand.Rand, least, most int) {
	time.Sleep(time.Duration(least+r.IntN(most-least)) * time.Millisecond)
}

func mode(r *rand.Rand) store.Mode {
	return []store.Mode{store.Busy, store.Limited, store.Silent, store.Reset, store.Losing}[r.IntN(5)]
}

// onHost makes a fault of one host, which has one fault at a time.
func onHost(does func(w *world, h *host, r *rand.Rand)) func(w *world, r *rand.Rand) {
	return func(w *world, r *rand.Rand) {
		h := w.hosts[r.IntN(len(w.hosts))]
		if !h.busy.TryLock() {
			return
		}
		defer h.busy.Unlock()
		w.note("  %s", h.Name())
		does(w, h, r)
	}
}

// onPlace makes a fault of one server, which has one fault at a time.
func onPlace(does func(w *world, p *place, r *rand.Rand)) func(w *world, r *rand.Rand) {
	return func(w *world, r *rand.Rand) {
		p := w.places[r.IntN(len(w.places))]
		if !p.busy.TryLock() {
			return
		}
		defer p.busy.Unlock()
		w.note("  %s at %s", p.now.id, p.now.address)
		does(w, p, r)
	}
}

func (w *world) must(err error) {
	if err != nil {
		w.breach("the soak itself: %v", err)
	}
}

func (w *world) restart(h *host) { w.must(h.Start()) }

func stopHost(w *world, h *host, r *rand.Rand) {
	h.Terminate()
	select {
	case <-h.Exited():
		if code := h.ExitCode(); code != 0 {
			w.breach("%s ended with code %d after SIGTERM", h.Name(), code)
		}
	case <-time.After(entryhost.Grace + exitSlack):
		w.breach("%s did not end within its grace", h.Name())
		h.Kill()
	}
	pause(r, 50, 800)
	w.restart(h)
}

// killAll kills all hosts that have no other fault.
func killAll(w *world, r *rand.Rand) {
	var g sync.WaitGroup
	for _, h := range w.hosts {
		if !h.busy.TryLock() {
			continue
		}
		h.Kill()
		wait := 100 + r.IntN(900)
		g.Go(func() {
			defer h.busy.Unlock()
			time.Sleep(time.Duration(wait) * time.Millisecond)
			w.restart(h)
		})
	}
	g.Wait()
}

func storeFails(w *world, r *rand.Rand) {
	w.store.Fail(mode(r))
	pause(r, 500, 8000)
	w.store.Fail(store.Well)
}

// crashServer ends a server at once; another one starts at its address before its
// entry lapses, or after.
func crashServer(w *world, p *place, r *rand.Rand) {
	old := p.now
	old.backend.Close()
	lapsed := time.AfterFunc(lapse, func() { w.store.Remove("servers", old.id) })
	defer lapsed.Stop()
	pause(r, 200, 2500)
	w.must(w.startServer(p, old.service, r.Uint64()))
	time.Sleep(lapse)
}

// leaveServer makes a server leave. Its address then goes to one of either service.
func leaveServer(w *world, p *place, r *rand.Rand) {
	old := p.now
	if r.IntN(2) == 0 {
		w.store.Put("servers", old.id, old.entry("draining"))
	} else {
		w.store.Remove("servers", old.id)
	}
	w.leave(old.id)
	time.Sleep(drainBound + 2*slack)
	old.backend.Close()
	w.store.Remove("servers", old.id)
	time.Sleep(reuseAfter)
	service := old.service
	if w.others(p, service) > 1 && r.IntN(2) == 0 {
		service = map[string]string{"orders": "llm", "llm": "orders"}[service]
	}
	w.must(w.startServer(p, service, r.Uint64()))
}

// others counts the places but one at which a service runs.
func (w *world) others(but *place, service string) int {
	n := 0
	for _, p := range w.places {
		if p != but && p.now.service == service {
			n++
		}
	}
	return n
}

// suffer brings on one fault after the other until a time, and waits for their ends.
func (w *world) suffer(till time.Time) {
	var g sync.WaitGroup
	for time.Now().Before(till) {
		f := faults[w.random.IntN(len(faults))]
		r := rand.New(rand.NewPCG(w.random.Uint64(), 5))
		w.note("%s", f.name)
		g.Go(func() {
			from := time.Now()
			f.does(w, r)
			w.disturb(from)
		})
		time.Sleep(time.Duration(w.random.Float64() * float64(faultPause)))
	}
	g.Wait()
}
