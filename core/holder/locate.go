package holder

import (
	"context"
	"sort"
	"sync"
	"time"

	"cicadabeam/core/membership"
)

// place is where an answer was found.
type place struct {
	holder string
	epoch  uint64
	copies []string // nodes that have a copy, best first
}

type finding struct {
	node  string
	reply FindReply
	err   error
}

// locate asks the homes of an answer in a region who has it. With reserve set,
// the first live home notes that node as the holder if nobody knows of one.
func (h *Holder) locate(ctx context.Context, id, reserve, region string) (place, bool) {
	p, known := h.ask(ctx, id, reserve, "", region)
	if known || p.holder == "" || p.holder == reserve {
		return p, known
	}
	// Only a reservation was found. Its holder knows better, unless it is gone.
	c, cancel := context.WithDeadline(ctx, time.Now().Add(findWait))
	defer cancel()
	r, err := h.find(c, p.holder, FindRequest{ID: id})
	if err == nil && r.Known {
		return place{holder: r.Holder, epoch: r.Epoch}, true
	}
	if reserve != "" {
		return h.ask(ctx, id, reserve, p.holder, region)
	}
	return place{}, false
}

// ask collects the findings of the homes.
func (h *Holder) ask(ctx context.Context, id, reserve, instead, region string) (place, bool) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(findWait))
	defer cancel()
	homes := h.liveHomes(region, id)
	findings := make([]finding, len(homes))
	var work sync.WaitGroup
	for i, n := range homes {
		r := FindRequest{ID: id, Instead: instead}
		if i == 0 {
			r.Reserve = reserve
		}
		work.Go(func() {
			reply, err := h.find(ctx, n.Name, r)
			findings[i] = finding{node: n.Name, reply: reply, err: err}
		})
	}
	work.Wait()
	return choose(findings)
}

func (h *Holder) liveHomes(region, id string) []membership.Node {
	now := time.Now()
	var live []membership.Node
	for _, n := range h.nodes.Homes(region, id) {
		if h.nodes.Alive(n.Name, now) {
			live = append(live, n)
		}
	}
	return live
}

func (h *Holder) find(ctx context.Context, node string, r FindRequest) (FindReply, error) {
	if node == h.self() {
		return h.Find(r), nil
	}
	return h.link.Find(ctx, node, r)
}

// choose takes the finding of the highest epoch, and there the longest.
func choose(findings []finding) (place, bool) {
	var known []finding
	reserved := ""
	for _, f := range findings {
		switch {
		case f.err != nil:
		case f.reply.Known:
			known = append(known, f)
		case f.reply.Reserved && reserved == "":
			reserved = f.reply.Holder
		}
	}
	if len(known) == 0 {
		return place{holder: reserved}, false
	}
	sort.SliceStable(known, func(i, j int) bool { return ahead(known[i].reply, known[j].reply) })
	p := place{holder: known[0].reply.Holder, epoch: known[0].reply.Epoch}
	for _, f := range known {
		if f.node != f.reply.Holder {
			p.copies = append(p.copies, f.node)
		}
	}
	return p, true
}

func ahead(a, b FindReply) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Position > b.Position
}

// Find tells what the node knows of an answer, for another node.
func (h *Holder) Find(r FindRequest) FindReply {
	if a, found := h.answers.Get(answerID(r.ID)); found {
		holder, epoch := a.Holder()
		n, _, _ := a.Progress()
		return FindReply{Known: true, Holder: holder, Epoch: epoch, Position: n}
	}
	if r.Reserve == "" {
		return h.reserved(r.ID)
	}
	now := time.Now()
	fresh := &reservation{holder: r.Reserve, till: now.Add(reservationKeeping)}
	x, existed := h.reservations.GetOrPut(answerID(r.ID), func() *reservation { return fresh })
	if existed && (x.holder == r.Instead || now.After(x.till)) {
		h.reservations.Put(answerID(r.ID), fresh)
		x = fresh
	}
	return FindReply{Reserved: true, Holder: x.holder}
}

func (h *Holder) reserved(id string) FindReply {
	x, found := h.reservations.Get(answerID(id))
	if !found {
		return FindReply{}
	}
	return FindReply{Reserved: true, Holder: x.holder}
}
