package fleet

import (
	"math"
	"strconv"
	"sync"
	"time"

	"cicadabeam/core/deferral"
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
	loadDecayTime = time.Second
	// defaultAnswerTime is assumed for a server that has not answered yet.
	defaultAnswerTime = 40 * time.Millisecond
	answerTimeWeight  = 0.1
	// defaultPrefillRate, in prompt tokens per millisecond, is assumed for an engine
	// until its rate is measured.
	defaultPrefillRate = 8.0
	prefillRateWeight  = 0.2
	// fullPenalty is the cost added to an engine whose KV cache or slots are used up.
	fullPenalty     = 5 * time.Second
	maxKVCacheShare = 0.9
	// runPenalty is the cost of each run on an engine: a run gets hardly any tokens
	// while the engine processes a prompt.
	runPenalty = 250 * time.Millisecond
	// cachedPromptFactor is how many times the prompt's tokens are deducted for a server
	// that has already processed it: once for the time saved and once for the work
	// saved.
	cachedPromptFactor = 2
	// Costs are rounded to these steps. Servers with nearly equal costs then tie, so
	// that nodes that select at the same time do not all select the same server.
	engineCostStep = 100 * time.Millisecond
	plainCostStep  = 4 * time.Millisecond
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
	workByNode            map[string]workReport
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

// matches reports whether the server has the software version that a query asks for, if any.
func (m *Member) matches(q Query) bool { return q.Version == "" || q.Version == m.server.Version }

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
func (m *Member) cost(q Query) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := time.Duration(m.recentFailures(q.Now) * float64(failurePenalty))
	if q.Now.Before(m.backoffUntil) {
		c += unreachablePenalty
	}
	if q.Now.Before(m.indirectUntil) {
		c += indirectPenalty
	}
	if q.Capacity > 0 {
		return c + m.engineCost(q)
	}
	return c + m.plainCost(q)
}

// peerWork is the work of other nodes on the server. It comes from their reports or,
// if these are not current, from the server's last load report, which loses weight with
// age.
func (m *Member) peerWork(q Query) Work {
	if q.peerWorkKnown {
		return m.sumPeerWork(q.Now)
	}
	if m.loadAt.IsZero() {
		return Work{}
	}
	decay := math.Exp(-float64(q.Now.Sub(m.loadAt)) / float64(loadDecayTime))
	running := max(0, float64(m.load.Running+m.load.Waiting-m.ownAtLoad)) * decay
	return Work{
		Running: int(math.Round(running)), Memory: int(running * float64(q.Memory)),
		Prompts: int(decay * float64(m.load.Waiting*q.PromptTokens)),
	}
}

func (m *Member) plainCost(q Query) time.Duration {
	average := m.answerTime
	if average == 0 {
		average = defaultAnswerTime
	}
	slots := float64(max(m.server.Slots, 1))
	busy := float64(m.running+m.peerWork(q).Running) / slots
	c := time.Duration(float64(average) * (1 + busy/4 + max(0, busy-0.8)*2))
	return c.Round(plainCostStep)
}

func (m *Member) engineCost(q Query) time.Duration {
	peerWork := m.peerWork(q)
	running := m.running + peerWork.Running
	tokens := m.pendingPromptTokens + peerWork.Prompts + q.PromptTokens
	if q.CachedOn == m.server.ID {
		tokens -= cachedPromptFactor * q.PromptTokens
	}
	c := time.Duration(float64(tokens) / m.knownPrefillRate() * float64(time.Millisecond))
	c += time.Duration(running) * runPenalty
	if float64(m.reservedKVCacheTokens+peerWork.Memory+q.Memory) > maxKVCacheShare*float64(q.Capacity) {
		c += fullPenalty
	}
	if m.server.Slots > 0 && running >= m.server.Slots {
		c += fullPenalty
	}
	return c.Round(engineCostStep)
}

// PrefillTime returns the time that the server needs to process a prompt if it processes no
// other one, 0 if it has the prompt cached.
func (m *Member) PrefillTime(q Query) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q.CachedOn == m.server.ID {
		return 0
	}
	return time.Duration(float64(q.PromptTokens) / m.knownPrefillRate() * float64(time.Millisecond))
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
		measured := min(float64(max(m.pendingPromptTokens, q.PromptTokens))/ms, 4*defaultPrefillRate)
		if m.prefillRate == 0 {
			m.prefillRate = defaultPrefillRate
		}
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
func (m *Member) ExpectedLatency(q Query) time.Duration { return m.cost(q) }
