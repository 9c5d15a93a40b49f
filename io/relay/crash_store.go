package relay

import (
	"math/rand/v2"
	"time"
)

// suspicionStoreSpread is the time, for each node, over which nodes that suspect the same store it, so
// that the first one does so soon and most others hear of that before.
const suspicionStoreSpread = 200 * time.Millisecond

// scheduleSuspicions stores what is suspected now, after some time, unless another node does.
func (d *crashDetector) scheduleSuspicions() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeDue || d.h.StoreSuspicion == nil {
		return
	}
	d.storeDue = true
	spread := suspicionStoreSpread * time.Duration(max(d.h.NodeCount(), 1))
	time.AfterFunc(rand.N(spread), d.storeSuspicions)
}

func (d *crashDetector) storeSuspicions() {
	d.mu.Lock()
	d.storeDue = false
	d.mu.Unlock()
	failed := false
	for _, c := range d.causes.UnstoredSuspicions() {
		if !d.h.StoreSuspicion(c) {
			failed = true
			continue
		}
		d.causes.RecordStored(c)
		d.h.NotifyPeers()
	}
	d.storeChanges()
	if failed {
		d.scheduleSuspicions()
	}
}
