package canary

// Judge collects the evidence on one order. It is not safe for concurrent use.
type Judge struct{}

// NewJudge returns a Judge of an order. exposed and bad are totals of an earlier driver, whose
// windows this host may not have seen; the judge's own are used once they are higher.
func NewJudge(orderID uint64, exposed, bad int) *Judge { return &Judge{} }

// Merge adds the report of an origin, a host or a data centre. Reports on other orders are ignored.
func (j *Judge) Merge(origin string, r ServiceReport) {}

// Verdict evaluates the evidence. Once it was Bad, it stays so.
func (j *Judge) Verdict() Verdict { return Verdict{} }
