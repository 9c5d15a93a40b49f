// Package holder stores the answers that this node generates or keeps copies of. It
// starts new answers, locates answers that other nodes hold, and takes over
// answers whose holder has failed.
//
// # Usage
//
//	s := holder.New(nodes, peers, replicator, generate)
//	r, err := s.Start(ctx, holder.Request{...})
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

	mu         sync.Mutex
	generating map[string]uint64
	takeovers  int64
	ctx        context.Context
	stop       context.CancelFunc
	wg         sync.WaitGroup
}

// New returns an empty store.
func New(n Membership, p Peers, r *replication.Replicator, g GenerateFunc) *AnswerStore {
	ctx, stop := context.WithCancel(context.Background())
	return &AnswerStore{
		nodes: n, peers: p, replicator: r, generate: g, ctx: ctx, stop: stop,
		answers:      shard.New[answerID, *answer.Answer](),
		reservations: shard.New[answerID, *reservation](),
		generating:   make(map[string]uint64),
	}
}

// Close cancels all running generations and waits until they have returned.
func (s *AnswerStore) Close() {
	s.stop()
	s.wg.Wait()
}

func (s *AnswerStore) self() string { return s.nodes.Self().Name }

// Start returns a reader of the answer to a request. It attaches to an existing
// answer or, if there is none, starts a new one on this node.
func (s *AnswerStore) Start(ctx context.Context, r Request) (*Reader, error) {
	id := answerID(r.Header.ID)
	if a, found := s.answers.Get(id); found {
		return s.localReader(a, r)
	}
	if r.Header.Keyed {
		loc, found := s.locate(ctx, r.Header.ID, s.self(), s.nodes.Self().Region)
		if found {
			return s.remoteReader(ctx, loc, r)
		}
	}
	a, existed := s.answers.GetOrPut(id, func() *answer.Answer { return answer.New(r.Header, s.self(), 1) })
	if !existed {
		s.ensureGenerating(a)
	}
	return s.localReader(a, r)
}

// Resume returns a reader that continues an existing answer after the request's
// event ID. It searches the node's own region first, then the others.
func (s *AnswerStore) Resume(ctx context.Context, r Request) (*Reader, error) {
	if a, found := s.answers.Get(answerID(r.Header.ID)); found {
		return s.localReader(a, r)
	}
	regions := append([]string{s.nodes.Self().Region}, s.nodes.Regions()...)
	for _, region := range regions {
		loc, found := s.locate(ctx, r.Header.ID, "", region)
		if found {
			return s.remoteReader(ctx, loc, r)
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

// ensureGenerating starts generating an answer unless another node holds it, the
// answer has ended, or it is already being generated under this epoch.
func (s *AnswerStore) ensureGenerating(a *answer.Answer) {
	holder, epoch := a.Holder()
	_, _, done := a.Progress()
	if holder != s.self() || done {
		return
	}
	id := a.Header().ID
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generating[id] >= epoch || s.ctx.Err() != nil {
		return
	}
	s.generating[id] = epoch
	ctx, cancel := context.WithCancel(s.ctx)
	a.SetCancel(cancel)
	s.wg.Go(func() {
		defer cancel()
		s.replicator.Add(a)
		s.generate(ctx, a, epoch)
		s.removeGenerating(id, epoch)
	})
}

func (s *AnswerStore) removeGenerating(id string, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generating[id] == epoch {
		delete(s.generating, id)
	}
}

// Maintain cancels generations that have had no readers for idleTimeout, replaces the
// request bodies of ended answers by minimal bodies, and evicts expired answers and
// reservations. It must be called periodically.
func (s *AnswerStore) Maintain(now time.Time) {
	for _, a := range s.answers.Values() {
		holder, _ := a.Holder()
		_, _, done := a.Progress()
		if holder == s.self() && !done && a.IdleSince(now.Add(-idleTimeout)) {
			a.Cancel()
		}
		if a.Ended() {
			s.replicator.Remove(a)
			a.CompactBody(completion.MinimalBody)
		}
	}
	s.answers.DeleteIf(func(_ answerID, a *answer.Answer) bool {
		if !a.IdleSince(now.Add(-retentionOf(a))) {
			return false
		}
		s.replicator.Remove(a)
		return true
	})
	s.reservations.DeleteIf(func(_ answerID, r *reservation) bool { return now.After(r.expires) })
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

// Counts summarises the state of an answer store for operators.
type Counts struct {
	Held      int   `json:"held"`
	Copies    int   `json:"copies"`
	Producing int   `json:"producing"`
	Takeovers int64 `json:"takeovers"`
}

// Counts returns the numbers of answers held, copies kept, generations running
// and takeovers done so far.
func (s *AnswerStore) Counts() Counts {
	var c Counts
	for _, a := range s.answers.Values() {
		if holder, _ := a.Holder(); holder == s.self() {
			c.Held++
			continue
		}
		c.Copies++
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Producing = len(s.generating)
	c.Takeovers = s.takeovers
	return c
}
