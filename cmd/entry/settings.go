package entry

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/cmd/connections"
	"cicadabeam/core/fleet"
	"cicadabeam/core/inifile"
	"cicadabeam/core/retrybudget"
	"cicadabeam/core/rollout"
	"cicadabeam/io/relay"
)

// Defaults for settings that are not given.
const (
	defaultMaxConfigAge = 2500 * time.Millisecond
	defaultMaxKeyAge    = 5 * time.Second
	defaultGrace        = 8 * time.Second
	defaultRetryRatio   = 0.5
	defaultRetryWindow  = 10 * time.Second
	defaultRetryExtra   = 100
	defaultRollback     = 5 * time.Second
	defaultMemoryMB     = 256
	// defaultBufferShare and maxBufferShare are shares of memory-mb: what may be buffered by default
	// and at most.
	defaultBufferShare = 0.2
	maxBufferShare     = 0.4
	maxDuration        = time.Hour
)

// Settings are the validated settings of an entry host on the users' platform.
type Settings struct {
	name     string
	topology fleet.Topology
	// callers, readiness, peers and metrics are the addresses to listen on. metrics may be
	// empty.
	callers   string
	readiness string
	peers     string
	metrics   string
	// advertised is the address under which other hosts reach the listener for them.
	advertised string
	platform   string // address of the platform's store
	source     net.IP // from which connections to servers are opened, nil if the system chooses it
	memoryMB   int
	// bufferBytes is what may be buffered of requests and responses.
	bufferBytes int64
	cores       int
	connections connections.Settings
	grace       time.Duration
	limits      relay.Limits
	exposure    rollout.Limits
	evenLoad    bool // see fleet.SetEvenLoad
	logLevel    string
}

// Load reads and validates a settings file. The error lists every problem.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	return Parse(path, text)
}

// Parse parses and validates settings. name is the file name that problems refer to.
func Parse(name string, text []byte) (*Settings, error) {
	d := inifile.Parse(name, text)
	s := &Settings{}
	x := d.Section("node")
	s.name = x.Required("name")
	s.topology.Node = s.name
	s.topology.DataCentre = x.Required("data-centre")
	x = d.Section("listen")
	s.callers = x.Address("callers", true)
	s.readiness = x.Address("readiness", true)
	s.peers = x.Address("neighbours", true)
	s.metrics = x.Address("metrics", false)
	if s.advertised = x.Address("advertised", false); s.advertised == "" {
		s.advertised = s.peers
	}
	s.platform = d.Section("platform").Address("address", true)
	s.readSource(d.Section("servers"))
	x = d.Section("limits")
	s.memoryMB = int(nonNegative(x, "memory-mb", defaultMemoryMB))
	s.readBuffers(x)
	s.connections = connections.ReadSettings(x)
	s.cores = int(nonNegative(x, "cores", 1))
	s.readLimits(d.Section("bounds"))
	s.readExposure(d.Section("bounds"))
	s.evenLoad = d.Section("balance").Bool("even-load", false)
	s.logLevel = d.Section("log").OneOf("level", "info", "debug", "info", "warn", "error")
	s.topology.Regions = make(map[string]string)
	for _, x := range d.Sections("data-centre") {
		s.topology.Regions[x.Name()] = x.Required("region")
	}
	d.RejectUnknown()
	return s, d.Err()
}

// readBuffers reads how much may be buffered of requests and responses.
func (s *Settings) readBuffers(x *inifile.Section) {
	memory := float64(s.memoryMB)
	if s.memoryMB == 0 {
		memory = defaultMemoryMB
	}
	mb := nonNegative(x, "buffer-mb", defaultBufferShare*memory)
	if most := maxBufferShare * memory; mb <= 0 || mb > most {
		x.AddProblem("buffer-mb", "is %v; allowed is more than 0 and at most %.1f, %v of memory-mb", mb, most, maxBufferShare)
	}
	s.bufferBytes = int64(mb * (1 << 20))
}

func (s *Settings) readSource(x *inifile.Section) {
	text := x.Value("source", "")
	if text == "" {
		return
	}
	if s.source = net.ParseIP(text); s.source == nil {
		x.AddProblem("source", "is %q; it must be an IP address of this host", text)
	}
}

func (s *Settings) readLimits(x *inifile.Section) {
	s.limits.MaxConfigAge = x.Duration("apply", defaultMaxConfigAge, time.Millisecond, maxDuration)
	revoke := x.Duration("revoke", defaultMaxKeyAge, time.Millisecond, maxDuration)
	if x.Bool("strict-revocation", false) {
		s.limits.MaxKeyAge = revoke
	}
	s.grace = x.Duration("grace", defaultGrace, time.Second, maxDuration)
	s.limits.RetryLimit = retrybudget.Limit{
		Ratio:  nonNegative(x, "repeat-ratio", defaultRetryRatio),
		Extra:  int(nonNegative(x, "repeat-extra", defaultRetryExtra)),
		Window: x.Duration("repeat-window", defaultRetryWindow, time.Second, maxDuration),
	}
}

// readExposure reads what a new software version may get. Without exposure-share, roll-outs are
// disabled. The tolerance and the time to roll back are bounds of the platform that a roll-out keeps
// whatever their values are, so they are only checked.
func (s *Settings) readExposure(x *inifile.Section) {
	s.exposure.ExposureShare = nonNegative(x, "exposure-share", 0)
	if s.exposure.ExposureShare > 1 {
		x.AddProblem("exposure-share", "is %v; allowed is a share from 0 to 1", s.exposure.ExposureShare)
	}
	nonNegative(x, "exposure-tolerance", 0)
	x.Duration("rollback", defaultRollback, time.Millisecond, maxDuration)
}

// nonNegative returns the value of key, a number of at least 0 that may have a fraction.
func nonNegative(x *inifile.Section, key string, fallback float64) float64 {
	v := x.Value(key, "")
	if v == "" {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 {
		x.AddProblem(key, "is %q; allowed is a number from 0 on", v)
		return fallback
	}
	return n
}
