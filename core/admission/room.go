package admission

import (
	"math/rand/v2"
	"time"

	"cicadabeam/core/fleet"
)

const (
	// memoryShare is the part of an engine's KV cache that the runs may need. The rest allows for
	// runs that this host does not know of yet.
	memoryShare = 0.9
	// backlogShare is the part of the tightest latency goal that the backlog of an engine may take for it
	// to get a further prompt, and shortageShare the mean backlog from which engines are short. An
	// urgent prompt of a quarter of its goal then still begins in time. Reports of other hosts are up
	// to 1.5 s old, so that an engine with less to do would stand idle.
	backlogShare  = 0.375
	shortageShare = 0.25
	// urgentPart is the number of urgent runs in progress for each server on which room is reserved
	// for the next: a run takes about five times the time for its prompt, and the runs that will have
	// begun until the reports of them arrive find room.
	urgentPart = 4
	// maxReserved is the part of the servers that is reserved at most.
	maxReserved = 0.5
)

// view is what a request saw of the servers.
type view struct {
	usable   int           // servers
	rooms    int           // servers with room for the request
	reserved int           // servers with room that others are to find
	excess   time.Duration // until the least loaded server has processed enough of its prompts
}

// Select implements fleet.Policy: it returns the servers with room for the request. If the first of
// all servers has room, it stays the first.
func (t *Ticket) Select(all []fleet.Candidate, now time.Time) []fleet.Candidate {
	r := t.request
	t.view = view{usable: len(all), excess: maxRetryAfter}
	available, urgent, backlog := 0, 0, time.Duration(0)
	rooms := make([]fleet.Candidate, 0, len(all))
	for _, c := range all {
		if !c.Available() {
			continue
		}
		available++
		urgent += c.Work().Urgent
		backlog += c.Backlog()
		t.view.excess = min(t.view.excess, c.Backlog()-t.gate.part(backlogShare))
		if t.prefill == 0 {
			t.prefill = c.Prefill(r.Tokens)
		}
		if r.fits(c, t.gate.part(backlogShare)) {
			rooms = append(rooms, c)
		}
	}
	if available == 0 {
		return all
	}
	t.view.rooms = len(rooms)
	t.view.reserved = min(t.reserve(urgent, now), int(maxReserved*float64(available)))
	if len(rooms) <= t.view.reserved && !t.repeated {
		return nil
	}
	if len(rooms) == 0 {
		return all
	}
	if rooms[0] != all[0] || backlog/time.Duration(available) > t.gate.part(shortageShare) {
		spread(rooms)
	}
	return rooms
}

// spread puts one of two random servers first, the one with less to do. Hosts that know of the same
// servers by the same reports would else all send to the first one.
func spread(rooms []fleet.Candidate) {
	rand.Shuffle(len(rooms), func(i, j int) { rooms[i], rooms[j] = rooms[j], rooms[i] })
	if len(rooms) > 1 && rooms[1].Backlog() < rooms[0].Backlog() {
		rooms[0], rooms[1] = rooms[1], rooms[0]
	}
}

// reserve returns how many servers with room are to be left to others.
func (t *Ticket) reserve(urgent int, now time.Time) int {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	if !t.request.Urgent {
		n = urgent / urgentPart
	}
	if g.shares.exceeded(t.request.Organisation, now) {
		n += g.shares.othersRate(t.request.Organisation, now, t.hosts)
	}
	return n
}

// fits reports whether a server has room for the request.
func (r Request) fits(c fleet.Candidate, maxBacklog time.Duration) bool {
	w := c.Work()
	if c.Slots() > 0 && w.Running >= c.Slots() || float64(w.Memory+r.Memory) > memoryShare*float64(r.Capacity) {
		return false
	}
	return c.Backlog() <= maxBacklog
}
