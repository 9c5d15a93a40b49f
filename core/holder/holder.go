// Package holder stores the answers that this node generates or replicates. It
// starts new answers, locates answers that other nodes hold, and takes over
// answers whose holder has failed.
//
// # Usage
//
//	h := holder.New(nodes, peers, replicator, generate)
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
	findTimeout = 400 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// idleTimeout is how long an answer is still generated after its last reader
	// has left.
	idleTimeout = 30 * time.Second
	// retention is how long an answer is kept after its last reader has left or,
	// for a copy, after its last batch has arrived.
	retention        = 10 * time.Minute
	unkeyedRetention = 30 * time.Second
	reservationTTL   = 20 * time.Minute
)

// Request is a caller's request for an answer.
type Request struct {
	Header       answer.Header
	Request      *completion.Request
	Service      config.Service
	Organisation config.Organisation
	Fingerprint  quarantine.Fingerprint
	EventID      answer.EventID
}

// GenerateFunc generates an answer under the given epoch. It returns when the answer
// has ended, ctx is done, or this node is no longer the holder.
type GenerateFunc func(ctx context.Context, a *answer.Answer, epoch uint64)

type answerID string

type reservation struct {
	holder  string
	expires time.Time
}

// AnswerStore stores the answers of one node.
type AnswerStore struct {
	nodes        Membership
	peers        Peers
	replicator   *replication.Replicator
	generate     GenerateFunc
	answers      *shard.Map[answerID, *answer.Answer]
	reservations *shard.Map[answerID, *reservation]

	mu        sync.Mutex
	producing map[string]uint64
	takeovers int64
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

// New returns an empty store.
func New(n Membership, l Peers, c *replication.Replicator, p GenerateFunc) *AnswerStore {
	ctx, stop := context.WithCancel(context.Background())
	return &AnswerStore{
		nodes: n, peers: l, replicator: c, generate: p, ctx: ctx, stop: stop,
		answers:      shard.New[answerID, *answer.Answer](),
		reservations: shard.New[answerID, *reservation](),
		producing:    make(map[string]uint64),
	}
}

// Close cancels all running generations and waits until they have returned.
func (h *AnswerStore) Close() {
	h.stop()
	h.wg.Wait()
}

func (h *AnswerStore) self() string { return h.nodes.Self().Name }

// Start returns a reader of the answer to a request. It attaches to an existing
// answer or, if there is none, starts a new one on this node.
func (h *AnswerStore) Start(ctx context.Context, r Request) (*Reader, error) {
	id := answerID(r.Header.ID)
	if a, found := h.answers.Get(id); found {
		return h.localReader(a, r)
	}
	if r.Header.Keyed {
		loc, found := h.locate(ctx, r.Header.ID, h.self(), h.nodes.Self().Region)
		if found {
			return h.remoteReader(ctx, loc, r)
		}
	}
	a, existed := h.answers.GetOrPut(id, func() *answer.Answer { return answer.New(r.Header, h.self(), 1) })
	if !existed {
		h.ensureProducing(a)
	}
	return h.localReader(a, r)
}

// Resume returns a reader that continues an existing answer after the request's
// event ID. It searches the node's own region first, then the others.
func (h *AnswerStore) Resume(ctx context.Context, r Request) (*Reader, error) {
	if a, found := h.answers.Get(answerID(r.Header.ID)); found {
		return h.localReader(a, r)
	}
	regions := append([]string{h.nodes.Self().Region}, h.nodes.Regions()...)
	for _, region := range regions {
		loc, found := h.locate(ctx, r.Header.ID, "", region)
		if found {
			return h.remoteReader(ctx, loc, r)
		}
	}
	return nil, notFoundError(r.Header.ID)
}

func notFoundError(id string) error {
	return fault.Newf(fault.NotFound, "find-answer", "", "answer %s was not found on any node", id).WithRan(fault.RanUnknown)
}

func keyReusedError() error {
	return fault.Newf(fault.IdempotencyKeyReused, "find-answer", "", "the idempotency key was already used with a different request body")
}

func checkRequest(h answer.Header, r Request) error {
	if h.Organisation != r.Header.Organisation {
		return notFoundError(r.Header.ID)
	}
	if r.Header.BodyHash != 0 && h.BodyHash != r.Header.BodyHash {
		return keyReusedError()
	}
	return nil
}

func divergedError(id string) error {
	return fault.Newf(fault.AnswerDiverged, "resume", "", "answer %s was regenerated with different content; read it again from the beginning", id).WithRan(fault.DidRun)
}

// ensureProducing starts generating an answer unless another node holds it, the
// answer has ended, or it is already being generated under this epoch.
func (h *AnswerStore) ensureProducing(a *answer.Answer) {
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
	a.SetCancel(cancel)
	h.wg.Go(func() {
		defer cancel()
		h.replicator.Add(a)
		h.generate(ctx, a, epoch)
		h.removeProducing(id, epoch)
	})
}

func (h *AnswerStore) removeProducing(id string, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.producing[id] == epoch {
		delete(h.producing, id)
	}
}

// Maintain cancels generations without readers, replaces the request bodies of
// ended answers by summaries, and evicts expired answers and reservations. It must
// be called periodically.
func (h *AnswerStore) Maintain(now time.Time) {
	for _, a := range h.answers.Values() {
		holder, _ := a.Holder()
		_, _, done := a.Progress()
		if holder == h.self() && !done && a.IdleSince(now.Add(-idleTimeout)) {
			a.Cancel()
		}
		if a.Ended() {
			h.replicator.Remove(a)
			a.CompactBody(completion.MinimalBody)
		}
	}
	h.answers.DeleteIf(func(_ answerID, a *answer.Answer) bool {
		if !a.IdleSince(now.Add(-retentionOf(a))) {
			return false
		}
		h.replicator.Remove(a)
		return true
	})
	h.reservations.DeleteIf(func(_ answerID, r *reservation) bool { return now.After(r.expires) })
}

// retentionOf returns how long an answer without readers is kept. A complete
// answer without a caller's idempotency key is kept for less time: its key is
// known only to this system, so no caller requests it again.
func retentionOf(a *answer.Answer) time.Duration {
	if a.Ended() && !a.Header().Keyed {
		return unkeyedRetention
	}
	return retention
}

// Counts summarises the state of a holder for operators.
type Counts struct {
	Held      int   `json:"held"`
	Copies    int   `json:"copies"`
	Producing int   `json:"producing"`
	Takeovers int64 `json:"takeovers"`
}

// Counts returns the numbers of answers held, copies kept, generations running
// and takeovers done so far.
func (h *AnswerStore) Counts() Counts {
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
