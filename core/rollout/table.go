package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// holdTime is how long a version that appears beside others is not used without an order: hosts
// learn of an order about a second after its servers.
const holdTime = time.Second

// Table is what a host knows of roll-outs: the orders, the newest states, and the credit of
// requests that it may send to new versions. It is safe for concurrent use. Times are readings of
// a clock that keeps running while the host is suspended.
type Table struct {
	limits Limits
	random func() float64

	mu         sync.Mutex
	ordersAsOf time.Duration
	services   map[string]*service
}

// service is what is known of a service's roll-out.
type service struct {
	order       *Order
	state       *State
	confirmedAt time.Duration // when the driver confirmed the lease of the state
	storeOffset int64         // of the store's clock to this host's, in ms, by state's announcements
	versions    []string
	held        map[string]time.Duration // when versions appeared beside others
	alone       bool                     // the order's target served alone when the order appeared
	exposure
}

// NewTable returns a Table without orders. random returns numbers in [0, 1), math/rand/v2.Float64 if nil.
func NewTable(l Limits, random func() float64) *Table {
	if random == nil {
		random = rand.Float64
	}
	return &Table{limits: l, random: random, services: make(map[string]*service)}
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// SetOrders sets the current orders, as the store had them at a time.
func (t *Table) SetOrders(all []Order, asOf time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits.ExposureShare == 0 || asOf < t.ordersAsOf {
		return
	}
	t.ordersAsOf = asOf
	found := make(map[string]bool)
	for _, o := range all {
		found[o.Service] = true
		s := t.service(o.Service)
		if s.order == nil || *s.order != o {
			s.order = &o
			s.alone = s.servesAlone(o.Target)
		}
	}
	for name, s := range t.services {
		if !found[name] {
			s.order, s.alone = nil, false
		}
	}
}

// servesAlone reports whether the only servers that may be used are of a version.
func (s *service) servesAlone(version string) bool {
	alone := slices.Contains(s.versions, version)
	var ended []string
	if s.state != nil {
		ended = s.state.ended()
	}
	for _, v := range s.versions {
		alone = alone && (v == version || slices.Contains(ended, v))
	}
	return alone
}

// SetVersions sets the software versions of a service's registered servers: the whole registry's.
// A version that appears beside others is not used for a while, and until the orders were confirmed
// after that.
func (t *Table) SetVersions(name string, versions []string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits.ExposureShare == 0 {
		return
	}
	s := t.service(name)
	first := s.versions == nil
	for _, v := range versions {
		if len(s.versions) > 0 && !slices.Contains(s.versions, v) {
			if s.held == nil {
				s.held = make(map[string]time.Duration)
			}
			s.held[v] = now
		}
	}
	s.versions = append([]string{}, versions...)
	if first && s.order != nil {
		s.alone = s.servesAlone(s.order.Target)
	}
}

// heldVersions returns the versions that may still get an order.
func (t *Table) heldVersions(s *service, now time.Duration) []string {
	var all []string
	for v, since := range s.held {
		if now >= since+holdTime && t.ordersAsOf > since {
			delete(s.held, v)
			continue
		}
		all = append(all, v)
	}
	return all
}

// Merge records a state whose driver confirmed its lease age before now. It reports whether the
// state replaced the one that was known. A renewal of the lease is no new state.
func (t *Table) Merge(x State, age, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits.ExposureShare == 0 {
		return false
	}
	s := t.service(x.Service)
	if s.state != nil && s.state.Supersedes(x) {
		return false
	}
	same := s.state != nil && s.state.ID == x.ID && s.state.Term == x.Term
	replaced := !same || s.state.Seq != x.Seq || s.state.Phase != x.Phase
	at := now - age
	// Announcements arrive late, so that the store's clock is at least as far as any of them says.
	offset := x.LeaseUntilMS - LeaseTime.Milliseconds() - at.Milliseconds()
	if same {
		at, offset = max(at, s.confirmedAt), max(offset, s.storeOffset)
	}
	s.state, s.confirmedAt, s.storeOffset = &x, at, offset
	return replaced
}

// State returns the newest state of a service, with the time since its driver confirmed its lease.
func (t *Table) State(name string, now time.Duration) (s State, age time.Duration, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.services[name]
	if x == nil || x.state == nil {
		return State{}, 0, false
	}
	return *x.state, now - x.confirmedAt, true
}

// Announced is a state with the time since its driver confirmed its lease.
type Announced struct {
	State State
	Age   time.Duration
}

// States returns the newest states of all services, for other hosts.
func (t *Table) States(now time.Duration) []Announced {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Announced
	for _, s := range t.services {
		if s.state != nil {
			all = append(all, Announced{State: *s.state, Age: now - s.confirmedAt})
		}
	}
	slices.SortFunc(all, func(a, b Announced) int { return cmp.Compare(a.State.Service, b.State.Service) })
	return all
}

// Orders returns the current orders.
func (t *Table) Orders() []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Order
	for _, s := range t.services {
		if s.order != nil {
			all = append(all, *s.order)
		}
	}
	slices.SortFunc(all, func(a, b Order) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// StoreMS estimates the store's clock from the announcements of a service's driver. ok is false if
// there were none.
func (t *Table) StoreMS(name string, now time.Duration) (ms int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.state == nil {
		return 0, false
	}
	return now.Milliseconds() + s.storeOffset, true
}

// permitted reports whether the state permits something now.
func (s *service) permitted(now time.Duration) bool {
	return s.state != nil && !s.state.Phase.Final() && now < s.confirmedAt+PermitTime &&
		(s.order == nil || s.order.ID <= s.state.ID)
}

// excluded returns the versions that get nothing unless the service's state permits it.
func (s *service) excluded() []string {
	var all []string
	if s.state != nil {
		switch {
		case s.order != nil && s.order.ID > s.state.ID:
			all = s.state.ended()
		case s.state.Phase != Completed:
			return union(s.state.Excluded, []string{s.state.Target}, "")
		case s.order != nil:
			return union(s.state.Excluded, s.state.Old, s.state.Target)
		default:
			return s.state.Excluded
		}
	}
	if s.order == nil {
		return all
	}
	if s.alone {
		return union(all, nil, s.order.Target)
	}
	return union(all, []string{s.order.Target}, "")
}

// choice returns the choice of a request that isn't selected for the new version.
func (t *Table) choice(name string, s *service, now time.Duration) Choice {
	if s.permitted(now) && s.state.Phase == Draining {
		return s.target(name)
	}
	c := Choice{service: name, excluded: s.excluded()}
	for _, v := range t.heldVersions(s, now) {
		if !slices.Contains(c.excluded, v) {
			c.held = append(c.held, v)
		}
	}
	return c
}

// target returns the choice of a request for the new version.
func (s *service) target(name string) Choice {
	return Choice{
		service: name, required: s.state.Target, selected: true, order: s.state.ID, share: s.state.Share,
	}
}

// Choose selects the software version of a request's first attempt. If Choice.New reports true, the
// request may have taken credit: it is to be sent (Sent), or the credit given back (Release). If no
// server of the new version is usable, Fallback tells what else is allowed.
func (t *Table) Choose(name, route string, now time.Duration) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return Choice{}
	}
	if !s.permitted(now) {
		return t.choice(name, s, now)
	}
	switch s.state.Phase {
	case Canary:
		if s.spend(s.state.ID, route, t.random) {
			return s.target(name)
		}
	case Shifting:
		if s.step(s.state.Share) {
			return s.target(name)
		}
	}
	return t.choice(name, s, now)
}

// Fallback selects the software version of a further attempt: never the new one, unless all
// requests go there.
func (t *Table) Fallback(name string, now time.Duration) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return Choice{}
	}
	return t.choice(name, s, now)
}

// Sent records that a request was sent to a server of a version: it earns credit and, for the new
// version, spends it. It is to be called for each attempt, also of resumed streams.
func (t *Table) Sent(name, version string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return
	}
	id, target := s.current()
	if id == 0 {
		return
	}
	s.begin(id, t.random)
	s.earn(t.limits.canaryShare())
	if version == target {
		s.charge()
	}
}

// current returns the order that the host knows, from the configuration or its driver.
func (s *service) current() (id uint64, target string) {
	if s.order != nil && (s.state == nil || s.order.ID > s.state.ID) {
		return s.order.ID, s.order.Target
	}
	if s.state != nil {
		return s.state.ID, s.state.Target
	}
	return 0, ""
}

// Release gives back the credit of a choice whose request wasn't sent to the new version.
func (t *Table) Release(c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[c.service]; c.selected && s != nil {
		s.release(c.order)
	}
}
