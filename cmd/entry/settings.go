package entry

import (
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fleet"
	"cicadabeam/core/inifile"
	"cicadabeam/core/retrybudget"
	"cicadabeam/io/relay"
)

// Defaults of the bounds, for settings that leave them out.
const (
	defaultApply        = 2500 * time.Millisecond
	defaultRevoke       = 5 * time.Second
	defaultGrace        = 8 * time.Second
	defaultRepeatRatio  = 0.5
	defaultRepeatWindow = 10 * time.Second
	defaultRepeatExtra  = 100
	defaultMemoryMB     = 256
	maxBound            = time.Hour
)

// Settings are the checked settings of an entry host on the users' platform.
type Settings struct {
	name       string
	place      fleet.Topology
	callers    string
	readiness  string
	neighbours string
	metrics    string
	platform   string
	memoryMB   int
	cores      int
	grace      time.Duration
	bounds     relay.Bounds
	logLevel   string
}

// Load reads and checks a settings file. The error lists every problem.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	return Parse(path, text)
}

// Parse checks settings. name stands in the problems.
func Parse(name string, text []byte) (*Settings, error) {
	d := inifile.Parse(name, text)
	s := &Settings{}
	x := d.Section("node")
	s.name = x.Required("name")
	s.place.DataCentre = x.Required("data-centre")
	x = d.Section("listen")
	s.callers = x.Address("callers", true)
	s.readiness = x.Address("readiness", true)
	s.neighbours = x.Address("neighbours", true)
	s.metrics = x.Address("metrics", false)
	s.platform = d.Section("platform").Address("address", true)
	x = d.Section("limits")
	s.memoryMB = int(number(x, "memory-mb", defaultMemoryMB))
	s.cores = int(number(x, "cores", 1))
	s.readBounds(d.Section("bounds"))
	s.logLevel = d.Section("log").OneOf("level", "info", "debug", "info", "warn", "error")
	s.place.Regions = make(map[string]string)
	for _, x := range d.Sections("data-centre") {
		s.place.Regions[x.Name()] = x.Required("region")
	}
	d.RejectUnknown()
	return s, d.Err()
}

func (s *Settings) readBounds(x *inifile.Section) {
	s.bounds.Apply = x.Duration("apply", defaultApply, time.Millisecond, maxBound)
	revoke := x.Duration("revoke", defaultRevoke, time.Millisecond, maxBound)
	if x.Bool("strict-revocation", false) {
		s.bounds.Revoke = revoke
	}
	s.grace = x.Duration("grace", defaultGrace, time.Second, maxBound)
	s.bounds.Repeat = retrybudget.Limit{
		Ratio:  number(x, "repeat-ratio", defaultRepeatRatio),
		Extra:  int(number(x, "repeat-extra", defaultRepeatExtra)),
		Window: x.Duration("repeat-window", defaultRepeatWindow, time.Second, maxBound),
	}
}

// number reads a number that isn't negative and may have a fraction.
func number(x *inifile.Section, key string, fallback float64) float64 {
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
