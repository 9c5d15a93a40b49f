package fleet

import (
	"math"
	"sync"
	"time"
)

const (
	avoidCost = 500 * time.Millisecond
	// downCost puts servers that were just unreachable behind all others.
	downCost = time.Minute
	// failureCost is what a server is put back by if it fails every time.
	failureCost     = 600 * time.Millisecond
	failureWeight   = 0.3
	failureHalfLife = 4 * time.Second
	// loadTrust is how long a server's word about its load is believed.
	loadTrust = time.Second
	// firstWork is assumed of a server that has not answered yet.
	firstWork  = 40 * time.Millisecond
	workWeight = 0.1
	// readRate, in prompt tokens a millisecond, is assumed of an engine until it is
	// measured.
	readRate   = 8.0
	rateWeight = 0.2
	// fullCost is what an engine whose memory is taken is put back by.
	fullCost   = 5 * time.Second
	memoryUsed = 0.9
	// runCost is for each run on an engine, as it gets hardly a token while a prompt
	// is read there.
	runCost = 250 * time.Millisecond
	// readSaved is how many times over the reading counts that a server is spared which
	// has read the prompt before: once for the time and once for the work in vain.
	readSaved = 2
	// Servers whose costs differ by less are alike, so that nodes that choose at the
	// same time don't all choose the same one.
	engineGrain = 100 * time.Millisecond
	plainGrain  = 4 * time.Millisecond
	// downFirst is how long an unreachable server gets no work; it doubles up to
	// downMost while the server stays unreachable.
	downFirst = 250 * time.Millisecond
	downMost  = 2 * time.Second
)

type identity struct {
	service, address string
	started          int64
}

// Load is a server's own word about its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Member is a server with what this node knows of it.
type Member struct {
	mu       sync.Mutex
	server   Server
	goneAt   time.Time
	replaced bool    // another server has its address
	later    *Member // that registered at its address, and started after it

	running  int // requests of this node's
	prompts  int // prompt tokens of this node's requests that have not begun to run
	memory   int // tokens that this node's requests may need
	failure  float64
	failedAt time.Time
	downTill time.Time
	downs    int
	heardAt  time.Time     // when it last sent anything
	answers  time.Duration // the time in which it answers on average
	rate     float64
	load     Load
	loadOwn  int
	loadAt   time.Time
	nodes    map[string]heardWork
}

func (m *Member) identity() identity {
	return identity{m.server.Service, m.server.Address, m.server.StartedMS}
}

// ID returns the server's id.
func (m *Member) ID() string { return m.server.ID }

// Address returns the server's IP number and port.
func (m *Member) Address() string { return m.server.Address }

// DataCentre returns where the server is.
func (m *Member) DataCentre() string { return m.server.DataCentre }

func (m *Member) service() string { return m.server.Service }

// update takes what may change of a registered server. Its id, service and address
// don't.
func (m *Member) update(s Server) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.server.Leaving != s.Leaving || m.server.Slots != s.Slots || !m.goneAt.IsZero()
	m.server.Leaving = s.Leaving
	m.server.Slots = s.Slots
	m.goneAt = time.Time{}
	return changed
}

func (m *Member) registration() Registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Registration{Server: m.server, GoneAt: m.goneAt}
}

func (m *Member) gone(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.goneAt.IsZero() {
		return false
	}
	m.goneAt = at
	return true
}

// expiry is how long a server that is gone is remembered.
const expiry = 10 * time.Second

func (m *Member) expired(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.goneAt.IsZero() && now.Sub(m.goneAt) > expiry && m.running == 0
}

func (m *Member) usable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usableLocked(now)
}

func (m *Member) usableLocked(now time.Time) bool {
	return !m.server.Leaving && !m.supersededLocked(now) && !m.goneLocked(now)
}

func (m *Member) goneLocked(now time.Time) bool { return !m.goneAt.IsZero() && !now.Before(m.goneAt) }

func (m *Member) goneBy(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.goneLocked(now)
}

// supersededLocked takes the lock of the server that started later; none is taken the
// other way round.
func (m *Member) supersededLocked(now time.Time) bool {
	return m.replaced || m.later != nil && !m.later.goneBy(now)
}

func (m *Member) supersede(later *Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.later = later
}

// Usable tells whether the server may get work: it is asked again right before a
// request goes out.
func (m *Member) Usable(now time.Time) bool { return m.usable(now) }

// cost is the time in which the server is expected to begin to answer, with what
// speaks against it.
func (m *Member) cost(q Query) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := time.Duration(m.failing(q.Now) * float64(failureCost))
	if q.Now.Before(m.downTill) {
		c += downCost
	}
	if q.Capacity > 0 {
		return c + m.engineCost(q)
	}
	return c + m.plainCost(q)
}

// others is the work of other nodes on the server: what they told, or else the
// server's last word, and the older that is the less of it.
func (m *Member) others(q Query) Work {
	if q.informed {
		return m.told(q.Now)
	}
	if m.loadAt.IsZero() {
		return Work{}
	}
	trust := math.Exp(-float64(q.Now.Sub(m.loadAt)) / float64(loadTrust))
	running := max(0, float64(m.load.Running+m.load.Waiting-m.loadOwn)) * trust
	return Work{
		Running: int(math.Round(running)), Memory: int(running * float64(q.Memory)),
		Prompts: int(trust * float64(m.load.Waiting*q.Tokens)),
	}
}

func (m *Member) plainCost(q Query) time.Duration {
	work := m.answers
	if work == 0 {
		work = firstWork
	}
	slots := float64(max(m.server.Slots, 1))
	busy := float64(m.running+m.others(q).Running) / slots
	c := time.Duration(float64(work) * (1 + busy/4 + max(0, busy-0.8)*2))
	return c.Round(plainGrain)
}

func (m *Member) engineCost(q Query) time.Duration {
	rate := m.rate
	if rate == 0 {
		rate = readRate
	}
	others := m.others(q)
	running := m.running + others.Running
	tokens := m.prompts + others.Prompts + q.Tokens
	if q.ReadBy == m.server.ID {
		tokens -= readSaved * q.Tokens
	}
	c := time.Duration(float64(tokens) / rate * float64(time.Millisecond))
	c += time.Duration(running) * runCost
	if float64(m.memory+others.Memory+q.Memory) > memoryUsed*float64(q.Capacity) {
		c += fullCost
	}
	if m.server.Slots > 0 && running >= m.server.Slots {
		c += fullCost
	}
	return c.Round(engineGrain)
}

// failing is the recent share of failures.
func (m *Member) failing(now time.Time) float64 {
	if m.failure == 0 {
		return 0
	}
	return m.failure * math.Exp2(-float64(now.Sub(m.failedAt))/float64(failureHalfLife))
}

func (m *Member) reserve(q Query) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.usableLocked(q.Now) || (q.Connections > 0 && m.running >= q.Connections) {
		return false
	}
	m.running++
	m.prompts += q.Tokens
	m.memory += q.Memory
	return true
}

// Release ends what Reserve counted. begun tells that Begun was called.
func (m *Member) Release(q Query, begun bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	m.memory -= q.Memory
	if !begun {
		m.prompts -= q.Tokens
	}
}

// Begun notes that a run has read its prompt, after elapsed.
func (m *Member) Begun(q Query, elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ms := float64(elapsed) / float64(time.Millisecond)
	if ms > 0 && q.Tokens > 0 {
		x := min(float64(max(m.prompts, q.Tokens))/ms, 4*readRate)
		if m.rate == 0 {
			m.rate = readRate
		}
		m.rate += rateWeight * (x - m.rate)
	}
	m.prompts -= q.Tokens
}

// Heard notes that the server sent something.
func (m *Member) Heard(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heardAt = now
	m.downs = 0
}

// heardSince tells whether the server sent something after a time.
func (m *Member) heardSince(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heardAt.After(t)
}

// alive tells whether the server sent something a moment ago.
func (m *Member) alive(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.heardAt.IsZero() && now.Sub(m.heardAt) < aliveWindow
}

// Loaded takes the server's word about its load.
func (m *Member) Loaded(l Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load = l
	m.loadOwn = m.running
	m.loadAt = now
	m.heardAt = now
}

// Succeeded notes an answer.
func (m *Member) Succeeded(elapsed time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(0, now)
	m.downTill = time.Time{}
	m.downs = 0
	if m.answers == 0 {
		m.answers = elapsed
	}
	m.answers += time.Duration(workWeight * float64(elapsed-m.answers))
}

// Failed notes a failure: an error, a refusal, an answer that broke off.
func (m *Member) Failed(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(1, now)
}

func (m *Member) note(failed float64, now time.Time) {
	f := m.failing(now)
	m.failure = f + failureWeight*(failed-f)
	m.failedAt = now
}

// unreachable tells whether the server could be reached until now.
func (m *Member) unreachable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heardAt = time.Time{}
	m.note(1, now)
	if now.Before(m.downTill) {
		return false
	}
	m.downTill = now.Add(min(downFirst<<min(m.downs, 8), downMost))
	m.downs++
	return m.downs == 1
}

// Replaced notes that another server has the address. This one is gone for good.
func (m *Member) Replaced() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replaced = true
}

// Superseded tells whether another server is known to have the address.
func (m *Member) Superseded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.supersededLocked(now)
}

// Take counts a request on this very server, if it may get work.
func (m *Member) Take(q Query) bool {
	q.Connections = 0
	return m.reserve(q)
}

// Expected is the time in which the server is expected to begin to answer.
func (m *Member) Expected(q Query) time.Duration { return m.cost(q) }
