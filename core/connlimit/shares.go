package connlimit

const (
	// reservedFiles is the number of file descriptors that are left for files, at most a quarter of all.
	reservedFiles = 200
	// callerPercent and hostPercent are shares of the descriptors that are not left for files. The rest is
	// for connections to servers, other hosts and the store: each request in progress has one to a server,
	// and two while it is hedged or moved. The share of other hosts leaves room for the tunnels that a
	// host accepts (512) beside 127 hosts with 2,870 descriptors.
	callerPercent = 30
	hostPercent   = 25
	// maxProbes is the most connections to a listener for probes or metrics, which have few callers, and
	// probePercent the share of the descriptors with which it is reached.
	maxProbes    = 32
	probePercent = 3
)

// Shares are the numbers of connections that a host accepts on its listeners.
type Shares struct{ callers, hosts, probes int }

// Divide returns the shares of a number of file descriptors.
func Divide(descriptors int) Shares {
	rest := descriptors - min(reservedFiles, descriptors/4)
	return Shares{callers: rest * callerPercent / 100, hosts: rest * hostPercent / 100, probes: max(1, min(maxProbes, rest*probePercent/100))}
}

// Callers returns the number of callers' connections.
func (s Shares) Callers() int { return s.callers }

// Hosts returns the number of connections from other hosts.
func (s Shares) Hosts() int { return s.hosts }

// Probes returns the number of connections to each listener for probes or metrics.
func (s Shares) Probes() int { return s.probes }
