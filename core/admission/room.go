package admission

import (
	"time"

	"cicadabeam/core/fleet"
)

const (
	// memoryShare is the part of an engine's KV cache that the runs may need. The rest allows for
	// runs that this host does not know of yet.
	memoryShare = 0.9
	// backlogShare is the part of the tightest latency goal that the prompts of an engine may take for it
	// to get a further one, and targetShare the part up to which all engines are filled; they are short
	// from this mean on. An urgent prompt that takes a quarter of its goal then still meets it.
	// Reports of other hosts are up to 1.5 s old, so that engines with less to do would stand idle.
	backlogShare = 0.375
	targetShare  = 0.3
	// urgentPart is the number of urgent runs in progress for each server on which room is reserved
	// for the next ones: a run takes five to ten times the time for its prompt, and those that
	// begin while reports of them are on their way find room too.
	urgentPart = 4
	// maxReserved is the part of the servers that is reserved at most, so that no kind or organisation
	// is kept out by others.
	maxReserved = 0.5
	// reportAge is the age of what a host knows of the others' work.
	reportAge = time.Second
	// shortTime is how long engines count as short after that was last seen: what the hosts change then
	// makes them look less short, and the reports that tell are up to 1.5 s old.
	shortTime = 3 * time.Second
)

// view is what a request saw of the servers.
type view struct {
	usable    int // servers
	available int // those of them that are not known to be lost
	rooms     int // servers with room for the request
	reserved  int // servers with room that others are to find
	urgent    int // runs
	running   int
	own       int           // those of them of this host
	mean      time.Duration // backlog of a server
	gap       time.Duration // backlog that all servers together may still get
}

// Select implements fleet.Policy: it returns the servers with room for the request, all in their
// order unless engines are short. A request that is not to be held back gets those with room first.
func (t *Ticket) Select(all []fleet.Candidate, now time.Time) []fleet.Candidate {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	rooms := t.look(all)
	v := &t.view
	if v.available == 0 {
		return all
	}
	if len(rooms) == 0 || rooms[0] != all[0] || v.mean > g.part(targetShare) {
		g.shortUntil = now.Add(shortTime)
	}
	short := now.Before(g.shortUntil)
	if !t.admitted {
		v.reserved = min(g.reserved(t, now), int(maxReserved*float64(v.available)))
		if len(rooms) <= v.reserved || short && !t.request.Urgent && !g.credit.take(v, t.prefill, len(g.waiting), t.request.Hosts, now) {
			return nil
		}
	}
	if short && !(t.request.Cached && len(rooms) > 0 && rooms[0] == all[0]) {
		g.spread(rooms)
	}
	if t.admitted {
		return append(rooms, all...)
	}
	return rooms
}

// look sets the view of the servers and returns those with room for the request.
func (t *Ticket) look(all []fleet.Candidate) []fleet.Candidate {
	g := t.gate
	v := view{usable: len(all)}
	rooms := make([]fleet.Candidate, 0, len(all))
	backlog := time.Duration(0)
	for _, c := range all {
		if !c.Available() {
			continue
		}
		if v.available++; v.available == 1 {
			t.prefill = c.PrefillTime(t.request.Tokens)
		}
		w := c.Work()
		b := c.PrefillTime(w.Prompts)
		v.urgent += w.Urgent
		v.running += w.Running
		v.own += c.OwnRuns()
		v.gap += max(0, g.part(targetShare)-b)
		backlog += b
		if b <= g.part(backlogShare) && t.request.fits(c) {
			rooms = append(rooms, c)
		}
	}
	v.rooms = len(rooms)
	v.mean = backlog / time.Duration(max(v.available, 1))
	t.view = v
	return rooms
}

// fits reports whether a server has a slot and memory for the request.
func (r Request) fits(c fleet.Candidate) bool {
	w := c.Work()
	return (c.Slots() == 0 || w.Running < c.Slots()) && float64(w.Memory+r.Memory) <= memoryShare*float64(r.Capacity)
}

// spread puts one of two random servers first, the one with less to do. Hosts that know of the same
// servers by the same reports would else all send to the first one. More choices were no better.
func (g *Gate) spread(rooms []fleet.Candidate) {
	g.random.Shuffle(len(rooms), func(i, j int) { rooms[i], rooms[j] = rooms[j], rooms[i] })
	if len(rooms) > 1 && rooms[1].Work().Prompts < rooms[0].Work().Prompts {
		rooms[0], rooms[1] = rooms[1], rooms[0]
	}
}

// reserved returns how many servers with room are to be left to others: to urgent requests, by their
// recent demand, and to those of other organisations if the request's has got more than its share.
func (g *Gate) reserved(t *Ticket, now time.Time) int {
	n := 0
	if !t.request.Urgent {
		n = t.view.urgent / urgentPart
	}
	if g.shares.exceeded(t.request.Organisation, now) {
		n += g.shares.others(t.request.Organisation, now, t.request.Hosts)
	}
	return n
}

// credit limits how many requests a host begins while engines are short. All hosts see the same
// gap, and each fills its share of it in the time that it takes until they see what the others
// have sent.
type credit struct {
	requests float64
	at       time.Time
}

// take takes one request off the credit. The host's share of the gap is its share of the runs.
func (c *credit) take(v *view, prefill time.Duration, waiting, hosts int, now time.Time) bool {
	share := max(1/float64(max(hosts, 1)), float64(v.own+waiting)/float64(v.running+waiting+1))
	gap := share * float64(v.gap) / float64(max(prefill, time.Millisecond))
	c.requests = min(c.requests+gap*float64(now.Sub(c.at))/float64(reportAge), max(1, gap))
	c.at = now
	if c.requests < 1 {
		return false
	}
	c.requests--
	return true
}
