// Package settings reads what a process needs to know before it can ask anyone:
// its own name and place, its addresses, the platform's address and the secrets.
//
// # Usage
//
//	s, err := settings.Load("node.ini")   // err lists every problem
//	s.Name()
package settings

import (
	"bytes"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/inifile"
	"cicadabeam/core/membership"
)

const (
	defaultBodyBytes    = 4 << 20
	maxBodyBytes        = 256 << 20
	defaultHeaderBytes  = 32 << 10
	maxHeaderBytes      = 1 << 20
	minSecretLength     = 16
	defaultBodyWait     = 30 * time.Second
	defaultWriteWait    = 10 * time.Second
	defaultDrainWait    = 10 * time.Minute
	defaultDrainGrace   = 3 * time.Second
	maxWait             = time.Hour
	defaultHeaderWait   = 5 * time.Second
	defaultIdleWait     = 2 * time.Minute
	maxDrainWait        = 24 * time.Hour
	defaultLogLevelName = "info"
)

// Settings are the checked settings of one node.
type Settings struct {
	self         membership.Node
	callers      string
	operators    string
	peers        string
	platform     string
	peerSecret   string
	operatorKey  string
	logLevel     string
	bodyBytes    int
	headerBytes  int
	headerWait   time.Duration
	idleWait     time.Duration
	bodyWait     time.Duration
	writeWait    time.Duration
	drainWait    time.Duration
	drainGrace   time.Duration
	seeds        []membership.Node
	certificates *certificates
}

// Load reads and checks a file. The error is inifile.Problems unless the file
// can't be read.
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
	s.readNode(d.Section("node"))
	s.readListen(d.Section("listen"))
	s.platform = d.Section("platform").URL("address")
	s.readSecrets(d.Section("secrets"))
	s.readTLS(d.Section("tls"))
	s.readLimits(d.Section("limits"))
	s.readDrain(d.Section("drain"))
	s.logLevel = d.Section("log").OneOf("level", defaultLogLevelName, "debug", "info", "warn", "error")
	s.readPeers(d)
	d.RejectUnknown()
	return s, d.Err()
}

func (s *Settings) readNode(x *inifile.Section) {
	s.self.Name = x.Required("name")
	s.self.DataCentre = x.Required("data-centre")
	s.self.Region = x.Required("region")
}

func (s *Settings) readListen(x *inifile.Section) {
	s.callers = x.Address("callers", true)
	s.operators = x.Address("operators", true)
	s.peers = x.Address("peers", true)
	s.self.Address = x.Address("peers-advertised", false)
	if s.self.Address == "" {
		s.self.Address = s.peers
	}
}

func (s *Settings) readSecrets(x *inifile.Section) {
	s.peerSecret = secret(x, "peers")
	s.operatorKey = secret(x, "operators")
}

// secret reads a secret from the settings or from the file that they name.
func secret(x *inifile.Section, key string) string {
	value := x.Value(key, "")
	path := x.Value(key+"-file", "")
	switch {
	case value != "" && path != "":
		x.AddProblem(key, "is given as well as %s-file; give one", key)
	case path != "":
		b, err := os.ReadFile(path)
		if err != nil {
			x.AddProblem(key+"-file", "is %q, which can't be read: %v", path, err)
			return ""
		}
		value = string(bytes.TrimSpace(b))
	}
	if len(value) < minSecretLength {
		x.AddProblem(key, "has %d characters; allowed are %d or more, here or in the file that %s-file names", len(value), minSecretLength, key)
	}
	return value
}

func (s *Settings) readLimits(x *inifile.Section) {
	s.bodyBytes = x.Int("body-bytes", defaultBodyBytes, 1, maxBodyBytes)
	s.headerBytes = x.Int("header-bytes", defaultHeaderBytes, 1<<10, maxHeaderBytes)
	s.headerWait = x.Duration("header-wait", defaultHeaderWait, time.Millisecond, maxWait)
	s.idleWait = x.Duration("idle-wait", defaultIdleWait, time.Millisecond, maxWait)
	s.bodyWait = x.Duration("body-wait", defaultBodyWait, time.Millisecond, maxWait)
	s.writeWait = x.Duration("write-wait", defaultWriteWait, time.Millisecond, maxWait)
}

func (s *Settings) readDrain(x *inifile.Section) {
	s.drainGrace = x.Duration("grace", defaultDrainGrace, 0, maxWait)
	s.drainWait = x.Duration("wait", defaultDrainWait, 0, maxDrainWait)
}

func (s *Settings) readPeers(d *inifile.Document) {
	for _, x := range d.Sections("peer") {
		if x.Name() == "" {
			x.AddProblem("", "has no name; write [peer NAME]")
		}
		s.seeds = append(s.seeds, membership.Node{
			Name:       x.Name(),
			DataCentre: x.Required("data-centre"),
			Region:     x.Required("region"),
			Address:    x.Address("address", true),
		})
	}
}

// Self returns the node as others know it.
func (s *Settings) Self() membership.Node { return s.self }

// Callers returns the address of the listener for callers.
func (s *Settings) Callers() string { return s.callers }

// Operators returns the address of the listener for operators.
func (s *Settings) Operators() string { return s.operators }

// Peers returns the address of the listener for other nodes.
func (s *Settings) Peers() string { return s.peers }

// Platform returns the platform's base URL.
func (s *Settings) Platform() string { return s.platform }

// PeerSecret returns the secret that the nodes share.
func (s *Settings) PeerSecret() string { return s.peerSecret }

// OperatorSecret returns the secret of the listener for operators.
func (s *Settings) OperatorSecret() string { return s.operatorKey }

// LogLevel returns the name of the log level.
func (s *Settings) LogLevel() string { return s.logLevel }

// BodyBytes returns the size of the largest request body.
func (s *Settings) BodyBytes() int64 { return int64(s.bodyBytes) }

// HeaderBytes returns the size of the largest request header.
func (s *Settings) HeaderBytes() int { return s.headerBytes }

// HeaderWait returns how long a request header may take to arrive.
func (s *Settings) HeaderWait() time.Duration { return s.headerWait }

// IdleWait returns how long a connection without a request is kept.
func (s *Settings) IdleWait() time.Duration { return s.idleWait }

// BodyWait returns how long a request body may take to arrive.
func (s *Settings) BodyWait() time.Duration { return s.bodyWait }

// WriteWait returns how long one write to a caller may take.
func (s *Settings) WriteWait() time.Duration { return s.writeWait }

// DrainGrace returns until when a node that begins to drain now takes new
// requests, so that the balancer can learn of it.
func (s *Settings) DrainGrace(now time.Time) time.Time { return now.Add(s.drainGrace) }

// DrainDeadline returns until when a node that begins to drain now waits for its
// requests.
func (s *Settings) DrainDeadline(now time.Time) time.Time { return now.Add(s.drainWait) }

// Seeds returns the nodes to ask while the platform's host list can't be
// read.
func (s *Settings) Seeds() []membership.Node { return s.seeds }

// BaseURL returns the URL of the listener for operators.
func (s *Settings) BaseURL() string {
	if s.certificates != nil {
		return "https://" + s.operators
	}
	return "http://" + s.operators
}
