// Package holder starts answers on this node, finds those that other nodes
// hold, and takes over those whose holder has died.
//
// # Usage
//
//	h := holder.New(nodes, link, copier, produce)
//	r, err := h.Start(ctx, holder.Request{...})
//	defer r.Close()
//	v, err := r.Next(ctx)
package holder

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/completion"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/quarantine"
	"cicadabeam/core/replication"
	"cicadabeam/core/shard"
)

const (
	findWait  = 400 * time.Millisecond
	pingWait  = 500 * time.Millisecond
	idleGrace = 30 * time.Second
	// retention is how long an answer is kept after its end or its last reader.
	retention          = 10 * time.Minute
	unkeyedRetention   = 30 * time.Second
	reservationKeeping = 20 * time.Minute
)

// Request is a caller's request for an answer.
type Request struct {
	Header       answer.Header
	Request      *completion.Request
	Service      config.Service
	Organisation config.Organisation
	Fingerprint  quarantine.Fingerprint
	Mark         answer.Mark
}

// Produce generates an answer under an epoch until it has ended, ctx is done, or
// the node is no longer its holder.
type Produce func(ctx context.Context, a *answer.Answer, epoch uint64)

type answerID string

type reservation struct {
	holder string
	till   time.Time
}

// Holder has the answers of one node.
type Holder struct {
	nodes        Nodes
	link         Link
	copier       *replication.Copier
	produce      Produce
	answers      *shard.Map[answerID, *answer.Answer]
	reservations *shard.Map[answerID, *reservation]

	mu        sync.Mutex
	producing map[string]uint64
	takeovers int64
	ctx       context.Context
	stop      context.CancelFunc
	work      sync.WaitGroup
}

// New returns a holder without answers.
func New(n Nodes, l Link, c *replication.Copier, p Produce) *Holder {
	ctx, stop := context.WithCancel(context.Background())
	return &Holder{
		nodes: n, link: l, copier: c, produce: p, ctx: ctx, stop: stop,
		answers:      shard.New[answerID, *answer.Answer](),
		reservations: shard.New[answerID, *reservation](),
		producing:    make(map[string]uint64),
	}
}

// Close stops all generations and waits for them.
func (h *Holder) Close() {
	h.stop()
	h.work.Wait()
}

func (h *Holder) self() string { return h.nodes.Self().Name }

// Start returns a reader of the answer to a request: the one that there is, or
// a new one.
func (h *Holder) Start(ctx context.Context, r Request) (*Reader, error) {
	id := answerID(r.Header.ID)
	if a, found := h.answers.Get(id); found {
		return h.reader(a, r)
	}
	if r.Header.Keyed {
		place, found := h.locate(ctx, r.Header.ID, h.self(), h.nodes.Self().Region)
		if found {
			return h.remoteReader(ctx, place, r)
		}
	}
	a, existed := h.answers.GetOrPut(id, func() *answer.Answer { return answer.New(r.Header, h.self(), 1) })
	if !existed {
		h.ensureProducing(a)
	}
	return h.reader(a, r)
}

// Resume returns a reader of an answer that was started before, from the
// request's mark on.
func (h *Holder) Resume(ctx context.Context, r Request) (*Reader, error) {
	if a, found := h.answers.Get(answerID(r.Header.ID)); found {
		return h.reader(a, r)
	}
	regions := append([]string{h.nodes.Self().Region}, h.nodes.Regions()...)
	for _, region := range regions {
		place, found := h.locate(ctx, r.Header.ID, "", region)
		if found {
			return h.remoteReader(ctx, place, r)
		}
	}
	return nil, noAnswer(r.Header.ID)
}

func noAnswer(id string) error {
	return fault.Newf(fault.NotFound, "find-answer", "", "no node has the answer %s", id).WithRan(fault.Unknown)
}

func otherBody() error {
	return fault.Newf(fault.KeyReused, "find-answer", "", "the key was used with another body")
}

func checkReader(h answer.Header, r Request) error {
	if h.Organisation != r.Header.Organisation {
		return noAnswer(r.Header.ID)
	}
	if r.Header.BodyHash != 0 && h.BodyHash != r.Header.BodyHash {
		return otherBody()
	}
	return nil
}

func diverged(id string) error {
	return fault.Newf(fault.AnswerDiverged, "resume", "", "the answer %s was generated anew; start over from its beginning", id).WithRan(fault.DidRun)
}

// ensureProducing starts the generation of an answer that the node holds, unless
// it runs or has ended.
func (h *Holder) ensureProducing(a *answer.Answer) {
	holder, epoch := a.Holder()
	_, _, done := a.Progress()
	if holder != h.self() || done {
		return
	}
	id := a.Header().ID
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.producing[id] >= epoch || h.ctx.Err() != nil {
		return
	}
	h.producing[id] = epoch
	ctx, cancel := context.WithCancel(h.ctx)
	a.SetStop(cancel)
	h.work.Go(func() {
		defer cancel()
		h.copier.Attach(a)
		h.produce(ctx, a, epoch)
		h.stopped(id, epoch)
	})
}

func (h *Holder) stopped(id string, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.producing[id] == epoch {
		delete(h.producing, id)
	}
}

// Maintain ends generations that nobody waits for and drops old answers. It is
// called now and then.
func (h *Holder) Maintain(now time.Time) {
	for _, a := range h.answers.Values() {
		holder, _ := a.Holder()
		_, _, done := a.Progress()
		if holder == h.self() && !done && a.Idle(now.Add(-idleGrace)) {
			a.Cancel()
		}
		if a.Ended() {
			h.copier.Detach(a)
			a.Summarise(completion.Summary)
		}
	}
	h.answers.DeleteIf(func(_ answerID, a *answer.Answer) bool {
		if !a.Idle(now.Add(-keeping(a))) {
			return false
		}
		h.copier.Detach(a)
		return true
	})
	h.reservations.DeleteIf(func(_ answerID, r *reservation) bool { return now.After(r.till) })
}

// keeping returns how long an answer is kept when nobody reads it. Nobody comes
// back to a whole answer under a key that only this system knows.
func keeping(a *answer.Answer) time.Duration {
	if a.Ended() && !a.Header().Keyed {
		return unkeyedRetention
	}
	return retention
}

// Counts is a summary for operators.
type Counts struct {
	Held      int   `json:"held"`
	Copies    int   `json:"copies"`
	Producing int   `json:"producing"`
	Takeovers int64 `json:"takeovers"`
}

// Counts returns how many answers the node holds and keeps copies of.
func (h *Holder) Counts() Counts {
	var c Counts
	for _, a := range h.answers.Values() {
		if holder, _ := a.Holder(); holder == h.self() {
			c.Held++
			continue
		}
		c.Copies++
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c.Producing = len(h.producing)
	c.Takeovers = h.takeovers
	return c
}
