package holder

import (
	"context"
	"sort"
	"sync"
	"time"

	"cicadabeam/core/membership"
)

// location is the holder of an answer and the nodes with copies of it.
type location struct {
	holder string
	epoch  uint64
	copies []string // nodes that have a copy, most recent first
}

type findResult struct {
	node  string
	reply FindReply
	err   error
}

// locate asks the candidate nodes of an answer in a region which node holds it.
// If reserve is set and no candidate knows a holder, the first live candidate
// reserves the answer for that node.
func (s *AnswerStore) locate(ctx context.Context, id, reserve, region string) (location, bool) {
	l, known := s.queryCandidates(ctx, id, reserve, "", region)
	if known || l.holder == "" || l.holder == reserve {
		return l, known
	}
	// Only a reservation was found: ask the node that it names. If that node
	// can't be reached or does not have the answer, the reservation is stale.
	c, cancel := context.WithDeadline(ctx, time.Now().Add(findTimeout))
	defer cancel()
	r, err := s.find(c, l.holder, FindRequest{ID: id})
	if err == nil && r.Known {
		return location{holder: r.Holder, epoch: r.Epoch}, true
	}
	if reserve != "" {
		return s.queryCandidates(ctx, id, reserve, l.holder, region)
	}
	return location{}, false
}

// queryCandidates asks all live candidate nodes in parallel and returns the most
// recent location.
func (s *AnswerStore) queryCandidates(ctx context.Context, id, reserve, staleHolder, region string) (location, bool) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(findTimeout))
	defer cancel()
	candidates := s.liveCandidates(region, id)
	results := make([]findResult, len(candidates))
	var wg sync.WaitGroup
	for i, n := range candidates {
		r := FindRequest{ID: id, Instead: staleHolder}
		if i == 0 {
			r.Reserve = reserve
		}
		wg.Go(func() {
			reply, err := s.find(ctx, n.Name, r)
			results[i] = findResult{node: n.Name, reply: reply, err: err}
		})
	}
	wg.Wait()
	return mostRecent(results)
}

func (s *AnswerStore) liveCandidates(region, id string) []membership.Node {
	now := time.Now()
	var live []membership.Node
	for _, n := range s.nodes.Candidates(region, id) {
		if s.nodes.Alive(n.Name, now) {
			live = append(live, n)
		}
	}
	return live
}

func (s *AnswerStore) find(ctx context.Context, node string, r FindRequest) (FindReply, error) {
	if node == s.self() {
		return s.Find(r), nil
	}
	return s.peers.Find(ctx, node, r)
}

// mostRecent returns the location reported with the highest epoch, and among
// equal epochs the one with the most pieces. If the answer is only reserved, the
// location names just the holder and the second result is false.
func mostRecent(results []findResult) (location, bool) {
	var known []findResult
	reservedBy := ""
	for _, f := range results {
		switch {
		case f.err != nil:
		case f.reply.Known:
			known = append(known, f)
		case f.reply.Reserved && reservedBy == "":
			reservedBy = f.reply.Holder
		}
	}
	if len(known) == 0 {
		return location{holder: reservedBy}, false
	}
	sort.SliceStable(known, func(i, j int) bool { return newer(known[i].reply, known[j].reply) })
	l := location{holder: known[0].reply.Holder, epoch: known[0].reply.Epoch}
	for _, f := range known {
		if f.node != f.reply.Holder {
			l.copies = append(l.copies, f.node)
		}
	}
	return l, true
}

func newer(a, b FindReply) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Position > b.Position
}

// Find serves a FindRequest of another node.
func (s *AnswerStore) Find(r FindRequest) FindReply {
	if a, found := s.answers.Get(answerID(r.ID)); found {
		holder, epoch := a.Holder()
		n, _, _ := a.Progress()
		return FindReply{Known: true, Holder: holder, Epoch: epoch, Position: n}
	}
	if r.Reserve == "" {
		return s.findReservation(r.ID)
	}
	now := time.Now()
	created := &reservation{holder: r.Reserve, expires: now.Add(reservationTTL)}
	x, existed := s.reservations.GetOrPut(answerID(r.ID), func() *reservation { return created })
	if existed && (x.holder == r.Instead || now.After(x.expires)) {
		s.reservations.Put(answerID(r.ID), created)
		x = created
	}
	return FindReply{Reserved: true, Holder: x.holder}
}

func (s *AnswerStore) findReservation(id string) FindReply {
	x, found := s.reservations.Get(answerID(id))
	if !found {
		return FindReply{}
	}
	return FindReply{Reserved: true, Holder: x.holder}
}
