package streamversion

import "time"

// history is what is known of the versions that services have had.
type history struct {
	services map[string]map[string]*lifetime
	// complete is set once versions whose servers have all left are known too.
	complete bool
}

// lifetime is when a server of a version was last registered, and whether the store has it.
type lifetime struct {
	seen   time.Time
	stored bool
}

// ServiceVersion is a version of a service.
type ServiceVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

func (h *history) observe(v ServiceVersion, seen time.Time) *lifetime {
	all := h.services[v.Service]
	if all == nil {
		all = make(map[string]*lifetime)
		h.services[v.Service] = all
	}
	l := all[v.Version]
	if l == nil {
		l = &lifetime{}
		all[v.Version] = l
	}
	if seen.After(l.seen) {
		l.seen = seen
	}
	return l
}

// Observe records that a server of a version is registered.
func (x *Index) Observe(service, version string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.observe(ServiceVersion{service, version}, now)
}

// observe records a version, and whether it is the second one of its service. x.mu is held.
func (x *Index) observe(v ServiceVersion, seen time.Time) *lifetime {
	n := len(x.history.services[v.Service])
	l := x.history.observe(v, seen)
	if n == 1 && len(x.history.services[v.Service]) == 2 {
		select {
		case x.branched <- struct{}{}:
		default:
		}
	}
	return l
}

// only returns the version of a service if no other one is known.
func (x *Index) only(service string) (string, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := x.history.services[service]
	if !x.history.complete || len(all) != 1 {
		return "", false
	}
	for version := range all {
		return version, version != ""
	}
	return "", false
}

// Complete reports whether versions whose servers have all left are known.
func (x *Index) Complete() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.history.complete
}

// MergeStored records the versions that the store has. All that have left are known from then on.
func (x *Index) MergeStored(all []ServiceVersion, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.history.complete = true
	for _, v := range all {
		x.observe(v, now).stored = true
	}
}

// Unstored returns the versions that the store lacks, and those that it need not have any more.
// MarkStored is to be called with the same versions once the store has been changed.
func (x *Index) Unstored(now time.Time) (missing, expired []ServiceVersion) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for service, all := range x.history.services {
		for version, l := range all {
			v := ServiceVersion{service, version}
			switch old := now.Sub(l.seen) > retention; {
			case old && l.stored:
				expired = append(expired, v)
			case old:
				delete(all, version)
			case !l.stored:
				missing = append(missing, v)
			}
		}
	}
	return missing, expired
}

// MarkStored records that versions were written to the store, and others removed from it.
func (x *Index) MarkStored(missing, expired []ServiceVersion) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, v := range missing {
		x.history.observe(v, time.Time{}).stored = true
	}
	for _, v := range expired {
		delete(x.history.services[v.Service], v.Version)
	}
}

// MarkRestored records that the store came back from an older copy, which may lack versions and
// streams.
func (x *Index) MarkRestored() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, all := range x.history.services {
		for _, l := range all {
			l.stored = false
		}
	}
	for i := range x.queue {
		x.queue[i].stored = false
	}
}
