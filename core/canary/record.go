package canary

// Recorder counts outcomes on a host. It is safe for concurrent use.
type Recorder struct{}

// NewRecorder returns a Recorder that watches no service.
func NewRecorder() *Recorder { return &Recorder{} }

// Watch sets the services with an order, with the orders' IDs. Outcomes of others aren't counted.
func (r *Recorder) Watch(orders map[string]uint64) {}

// Record counts an outcome at a time of the store's clock.
func (r *Recorder) Record(o Outcome, nowMS int64) {}

// Report returns the windows of the last seconds.
func (r *Recorder) Report(nowMS int64) Report { return nil }

// Sum adds up the reports of the hosts of a data centre.
func Sum(all ...Report) Report { return nil }
