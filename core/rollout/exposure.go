package rollout

const (
	// rareRoutePart is the part of a route's requests that may be selected.
	rareRoutePart = 0.5
	// commonRouteChance is the least chance with which a request of a frequent route takes the credit
	// that a request of a rare one could have: credit comes from 12 requests, so that it costs
	// little time.
	commonRouteChance = 1.0 / 3
	// plentyCredit is the credit from which all routes take it.
	plentyCredit = 2
	// maxRoutes limits the routes that are counted.
	maxRoutes = 1000
)

// exposure is the credit of requests that a host may send to the new version of a service before
// there is a verdict. It earns a share of each request that it sends and spends one for each request
// to the new version. It begins with a random part of a request: a host of 0.4 requests a second
// would else send none for half a minute, and all hosts at the same rate would send their first ones
// at the same moment. On average the hosts send what they earn, restarts included; no host
// exceeds it by a whole request.
type exposure struct {
	orderID  uint64
	credit   float64
	reserved int // requests that were selected and not sent yet
	routes   map[string]*routeUse
	stepped  float64 // part of a request, while the share rises
}

type routeUse struct{ requests, exposed int }

// begin starts afresh with an order.
func (e *exposure) begin(order uint64, random func() float64) {
	if e.orderID != order {
		*e = exposure{orderID: order, credit: random(), routes: make(map[string]*routeUse)}
	}
}

func (e *exposure) earn(share float64) { e.credit += share }

// charge spends credit for a request to the new version, which may have taken it when it was
// selected.
func (e *exposure) charge() {
	if e.reserved > 0 {
		e.reserved--
		return
	}
	e.credit--
}

// spend reports whether a request of a route is selected, and takes its credit.
func (e *exposure) spend(order uint64, route string, random func() float64) bool {
	e.begin(order, random)
	r := e.routes[route]
	if r == nil {
		if len(e.routes) == maxRoutes {
			clear(e.routes)
		}
		r = &routeUse{}
		e.routes[route] = r
	}
	r.requests++
	if e.credit < 1 || float64(r.exposed) >= rareRoutePart*float64(r.requests) {
		return false
	}
	rarest := r.requests
	for _, x := range e.routes {
		rarest = min(rarest, x.requests)
	}
	chance := float64(rarest) / float64(r.requests)
	if e.credit < plentyCredit && random() >= max(commonRouteChance, chance) {
		return false
	}
	r.exposed++
	e.credit--
	e.reserved++
	return true
}

// release gives back the credit of a request that wasn't sent to the new version.
func (e *exposure) release(order uint64) {
	if e.orderID == order && e.reserved > 0 {
		e.reserved--
		e.credit++
	}
}

// step reports whether a request is selected at a share, evenly.
func (e *exposure) step(share float64) bool {
	e.stepped += share
	if e.stepped < 1 {
		return false
	}
	e.stepped--
	return true
}
