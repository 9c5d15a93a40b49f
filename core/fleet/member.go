package fleet

import (
	"cmp"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cicadabeam/core/deferral"
	"cicadabeam/core/placement"
)

const (
	avoidPenalty = 500 * time.Millisecond
	// unreachablePenalty ranks servers that were just unreachable behind all others.
	unreachablePenalty = time.Minute
	// failurePenalty is the cost added to a server if all its recent requests failed.
	failurePenalty  = 600 * time.Millisecond
	failureWeight   = 0.3
	failureHalfLife = 4 * time.Second
	// loadDecayTime is the time constant with which a load report loses weight.
	loadDecayTime     = time.Second
	answerTimeWeight  = 0.1
	prefillRateWeight = 0.2
	// initialBackoff is how long a server gets no requests after it was found
	// unreachable. The time doubles up to maxBackoff while the server remains
	// unreachable.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

type identity struct {
	service, address, version string
	started                   int64
}

// Load is a server's report of its own load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes on the server's machine now in proportion to the usual time,
	// 0 if the server doesn't tell.
	Slowdown float64
}

// Member is a server with its state as known to this node.
type Member struct {
	mu             sync.Mutex
	server         Server
	deregisteredAt time.Time
	leftBefore     bool      // it was leaving before the registry came back from an older copy
	heldUntil      time.Time // see HoldDeparted
	handover       handover  // of the address to another server
	saidLeaving    bool      // the server said in a response that it leaves
	deferral       deferral.State
	successor      *Member   // server at the same address that started later, by its entry
	contested      bool      // the server has not answered since successor was found
	doubtedUntil   time.Time // other servers are preferred until then, see linkSuccessor
	answeredAt     time.Time // when the server last answered under its own name
	restarted      bool      // the server started again under its ID

	running               int // requests of this node in flight
	urgent                int // those of them with Query.Urgent
	pendingPromptTokens   int // prompt tokens of this node's requests that are not processed yet
	reservedKVCacheTokens int // KV cache tokens that this node's requests may need
	failureShare          float64
	failedAt              time.Time
	backoffUntil          time.Time
	indirectUntil         time.Time // see RecordIndirect
	unreachableCount      int
	rejectedAt            time.Time     // when the server last turned a request away
	lastContact           time.Time     // when the server last sent anything
	lostAt                time.Time     // when this node or another last lost contact with it
	answerTime            time.Duration // moving average of the response time
	prefillRate           float64
	load                  Load
	ownAtLoad             int
	loadAt                time.Time
	reportsSlowdown       atomic.Bool       // load reports the slowdown of the machine
	peers                 placement.Reports // work of other nodes
}

func (m *Member) identity() identity {
	return identity{m.server.Service, m.server.Address, m.server.Version, m.server.StartedMS}
}

// ID returns the server's ID.
func (m *Member) ID() string { return m.server.ID }

const incarnationSeparator = '/'

// Incarnation names one start of the server.
func (m *Member) Incarnation() string {
	return m.server.ID + string(incarnationSeparator) + strconv.FormatInt(m.server.StartedMS, 10)
}

// Address returns the server's IP address and port.
func (m *Member) Address() string { return m.server.Address }

// DataCentre returns the server's data centre.
func (m *Member) DataCentre() string { return m.server.DataCentre }

// Service returns the name of the server's service.
func (m *Member) Service() string { return m.server.Service }

// Version returns the version of the server's software, "" if it is unknown.
func (m *Member) Version() string { return m.server.Version }

// matches reports whether a query allows the server's software version.
func (m *Member) matches(q Query) bool {
	return (q.Version == "" || q.Version == m.server.Version) && (q.Versions == nil || q.Versions.Allows(m.server.Version))
}

// update applies the fields of a registry entry that may change. The ID, service, version and
// address do not change. It reports whether anything changed.
func (m *Member) update(s Server) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Leaving = s.Leaving || m.leftBefore
	changed := m.server.Leaving != s.Leaving || m.server.Slots != s.Slots || !m.deregisteredAt.IsZero()
	m.server.Leaving = s.Leaving
	m.server.Slots = s.Slots
	m.deregisteredAt = time.Time{}
	return changed
}

func (m *Member) registration() Registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Registration{Server: m.server, DeregisteredAt: m.deregisteredAt}
}

func (m *Member) deregister(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.deregisteredAt.IsZero() {
		return false
	}
	m.deregisteredAt = at
	return true
}

// deregisteredRetention is how long a deregistered server is kept.
const deregisteredRetention = 10 * time.Second

func (m *Member) expired(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.deregisteredAt.IsZero() && now.Sub(m.deregisteredAt) > deregisteredRetention && m.running == 0 && !m.deferral.Active(now)
}

func (m *Member) usable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usableLocked(now)
}

func (m *Member) usableLocked(now time.Time) bool {
	return m.remainsLocked(now) && !m.deferral.Active(now)
}

func (m *Member) deregisteredLocked(now time.Time) bool {
	return !m.deregisteredAt.IsZero() && !now.Before(m.deregisteredAt)
}

func (m *Member) deregistered(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.deregisteredLocked(now)
}

// Usable reports whether the server may get requests. It is checked again right before a
// request is sent.
func (m *Member) Usable(now time.Time) bool { return m.usable(now) }

// cost is the expected response time, or for engines the expected time until the prompt
// is processed, plus penalties.
func (m *Member) cost(q Query, t *placement.Tally) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, r := m.stateLocked(q), q.need(m.server.ID)
	t.Add(s)
	c := s.Cost(r)
	if !q.evenly {
		c = r.Round(c)
	}
	return c + m.penaltyLocked(q.Now)
}

func (m *Member) penaltyLocked(now time.Time) time.Duration {
	c := time.Duration(m.recentFailures(now) * float64(failurePenalty))
	if now.Before(m.backoffUntil) {
		c += unreachablePenalty
	}
	if now.Before(m.indirectUntil) {
		c += indirectPenalty
	}
	return c
}

func (q Query) cachedOn(server string) bool { return q.CachedOn != "" && q.CachedOn == server }

// need is what the request needs of a server.
func (q Query) need(server string) placement.Request {
	return placement.Request{PromptTokens: q.PromptTokens, Memory: q.Memory, Capacity: q.Capacity, Cached: q.cachedOn(server), AnswerTime: q.answerTime}
}

func (m *Member) stateLocked(q Query) placement.Server {
	peers, ages := m.peerWork(q)
	return placement.Server{
		Slots: m.server.Slots, Own: m.workLocked(), Peers: peers, Ages: ages,
		AnswerTime: m.answerTime, PrefillRate: m.prefillRate, Slowdown: placement.Slowdown(m.load.Slowdown, q.Now.Sub(m.loadAt)),
	}
}

// peerWork is the work of other nodes on the server. It comes from their reports or,
// if these are not current, from the server's last load report, which loses weight with
// age.
func (m *Member) peerWork(q Query) (w Work, ages time.Duration) {
	if q.peerWorkKnown {
		return m.peers.Sum(q.Now)
	}
	if m.loadAt.IsZero() {
		return Work{}, 0
	}
	decay := math.Exp(-float64(q.Now.Sub(m.loadAt)) / float64(loadDecayTime))
	running := max(0, float64(m.load.Running+m.load.Waiting-m.ownAtLoad)) * decay
	return Work{
		Running: int(math.Round(running)), Memory: int(running * float64(q.Memory)),
		Prompts: int(decay * float64(m.load.Waiting*q.PromptTokens)),
	}, 0
}

// medianAnswerTime returns the time that is assumed for those of a service's servers that have not answered yet.
func medianAnswerTime(all []*Member) time.Duration {
	var known []time.Duration
	for _, m := range all {
		if t := m.averageAnswerTime(); t > 0 {
			known = append(known, t)
		}
	}
	return placement.MedianAnswerTime(known)
}

func (m *Member) averageAnswerTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answerTime
}

// PrefillTime returns the time that the server needs to process a prompt if it processes no
// other one, 0 if it has the prompt cached.
func (m *Member) PrefillTime(q Query) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q.CachedOn == m.server.ID {
		return 0
	}
	return placement.Server{PrefillRate: m.prefillRate, Slowdown: 1}.PrefillTime(q.PromptTokens)
}

// recentFailures is the share of failed requests, decayed by the time since the last
// result.
func (m *Member) recentFailures(now time.Time) float64 {
	if m.failureShare == 0 {
		return 0
	}
	return m.failureShare * math.Exp2(-float64(now.Sub(m.failedAt))/float64(failureHalfLife))
}

func (m *Member) reserve(q Query) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.matches(q) || !m.usableLocked(q.Now) || (q.MaxConnections > 0 && m.running >= q.MaxConnections) || m.limitedLocked(q) || q.hasQuota && m.running >= q.quota {
		return false
	}
	m.running++
	m.urgent += q.urgency()
	m.pendingPromptTokens += q.PromptTokens
	m.reservedKVCacheTokens += q.Memory
	return true
}

// limitedLocked reports whether the server gets no further request at the same time, because
// of what it refused before. A stream that has begun may exceed the limit, unless that is a trial.
func (m *Member) limitedLocked(q Query) bool {
	return m.running >= m.deferral.Limit(q.Now) && (!q.Begun || m.deferral.OnTrial(q.Now))
}

// Release ends a reservation. promptProcessed is set if PromptProcessed was called.
func (m *Member) Release(q Query, promptProcessed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	m.urgent -= q.urgency()
	m.reservedKVCacheTokens -= q.Memory
	if !promptProcessed {
		m.pendingPromptTokens -= q.PromptTokens
	}
}

// PromptProcessed records that a run has processed its prompt, which took elapsed.
func (m *Member) PromptProcessed(q Query, elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answeredLocked(q.Now.Add(elapsed))
	ms := float64(elapsed) / float64(time.Millisecond)
	if ms > 0 && q.PromptTokens > 0 {
		measured := min(float64(max(m.pendingPromptTokens, q.PromptTokens))/ms, 4*placement.DefaultPrefillRate)
		m.prefillRate = cmp.Or(m.prefillRate, placement.DefaultPrefillRate)
		m.prefillRate += prefillRateWeight * (measured - m.prefillRate)
	}
	m.pendingPromptTokens -= q.PromptTokens
}

// RecordContact records that the server sent something.
func (m *Member) RecordContact(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact = now
	m.unreachableCount = 0
}

// ContactedSince reports whether the server sent anything to this node after t.
func (m *Member) ContactedSince(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact.After(t)
}

// recentlyContacted reports whether the server sent anything within recentContactWindow.
func (m *Member) recentlyContacted(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lastContact.IsZero() && now.Sub(m.lastContact) < recentContactWindow
}

// LostSince reports whether contact with the server was lost after t and has not been
// regained by this node.
func (m *Member) LostSince(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lostAt.After(t) && !m.lastContact.After(m.lostAt)
}

// Lost reports whether contact with the server was lost and has not been regained.
func (m *Member) Lost() bool { return m.LostSince(time.Time{}) }

// recordPeerLoss records that another node lost contact with the server.
func (m *Member) recordPeerLoss(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.lostAt) {
		m.lostAt = at
	}
}

// RecordLoad records a load report of the server.
func (m *Member) RecordLoad(l Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load = l
	m.reportsSlowdown.Store(l.Slowdown > 0)
	m.ownAtLoad = m.running
	m.loadAt = now
	m.lastContact = now
}

// RecordSuccess records a successful answer.
func (m *Member) RecordSuccess(elapsed time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordOutcome(0, now)
	m.deferral.RecordSuccess(now.Add(-elapsed))
	m.answeredLocked(now)
	m.backoffUntil = time.Time{}
	m.unreachableCount = 0
	if m.answerTime == 0 {
		m.answerTime = elapsed
	}
	m.answerTime += time.Duration(answerTimeWeight * float64(elapsed-m.answerTime))
}

// RecordFailure records a failure: an error, a refusal or an incomplete answer.
func (m *Member) RecordFailure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordOutcome(1, now)
}

func (m *Member) recordOutcome(failed float64, now time.Time) {
	f := m.recentFailures(now)
	m.failureShare = f + failureWeight*(failed-f)
	m.failedAt = now
}

// markUnreachable records that the server could not be reached. It reports whether this
// is the first such failure since the server was last in contact.
func (m *Member) markUnreachable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact = time.Time{}
	m.lostAt = now
	m.recordOutcome(1, now)
	if now.Before(m.backoffUntil) {
		return false
	}
	m.backoffUntil = now.Add(min(initialBackoff<<min(m.unreachableCount, 8), maxBackoff))
	m.unreachableCount++
	return m.unreachableCount == 1
}

// Reserve reserves this server for a request if it is usable, regardless of
// MaxConnections and of how much it turned away before, and reports whether it did.
func (m *Member) Reserve(q Query) bool {
	q.MaxConnections, q.Begun = 0, true
	return m.reserve(q)
}

// ExpectedLatency returns the expected response time, or for engines the expected time
// until the prompt is processed, plus penalties.
func (m *Member) ExpectedLatency(q Query) time.Duration { return m.cost(q, &placement.Tally{}) }
