// Package settings reads the local settings that a node needs before it can reach the
// platform or other nodes: its name and location, its addresses, the platform's address,
// the secrets, certificates and limits.
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

	"cicadabeam/cmd/connections"
	"cicadabeam/core/inifile"
	"cicadabeam/core/membership"
)

const (
	defaultBodyBytes     = 4 << 20
	maxBodyBytes         = 256 << 20
	defaultBufferBytes   = 256 << 20
	maxBufferBytes       = 1 << 40
	defaultHeaderBytes   = 32 << 10
	maxHeaderBytes       = 1 << 20
	minSecretLength      = 16
	defaultBodyTimeout   = 30 * time.Second
	defaultWriteTimeout  = 10 * time.Second
	defaultDrainTimeout  = 10 * time.Minute
	defaultDrainGrace    = 3 * time.Second
	maxTimeout           = time.Hour
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	maxDrainTimeout      = 24 * time.Hour
	defaultLogLevel      = "info"
)

// Settings holds the validated settings of one node.
type Settings struct {
	self            membership.Node
	callerAddress   string
	operatorAddress string
	peerAddress     string
	platformURL     string
	peerSecret      string
	operatorSecret  string
	logLevel        string
	maxBodyBytes    int
	maxHeaderBytes  int
	bufferBytes     int
	connections     connections.Settings
	headerTimeout   time.Duration
	idleTimeout     time.Duration
	bodyTimeout     time.Duration
	writeTimeout    time.Duration
	drainTimeout    time.Duration
	drainGrace      time.Duration
	seeds           []membership.Node
	certificates    *certificates
}

// Load reads and validates a settings file. The error is inifile.Problems unless the file
// cannot be read.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	return Parse(path, text)
}

// Parse parses and validates settings. name is the file name that problems refer to.
func Parse(name string, text []byte) (*Settings, error) {
	d := inifile.Parse(name, text)
	s := &Settings{}
	s.readNode(d.Section("node"))
	s.readListen(d.Section("listen"))
	s.platformURL = d.Section("platform").URL("address")
	s.readSecrets(d.Section("secrets"))
	s.readTLS(d.Section("tls"))
	s.readLimits(d.Section("limits"))
	s.readDrain(d.Section("drain"))
	s.logLevel = d.Section("log").OneOf("level", defaultLogLevel, "debug", "info", "warn", "error")
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
	s.callerAddress = x.Address("callers", true)
	s.operatorAddress = x.Address("operators", true)
	s.peerAddress = x.Address("peers", true)
	s.self.Address = x.Address("peers-advertised", false)
	if s.self.Address == "" {
		s.self.Address = s.peerAddress
	}
}

func (s *Settings) readSecrets(x *inifile.Section) {
	s.peerSecret = secret(x, "peers")
	s.operatorSecret = secret(x, "operators")
}

// secret returns a secret that is given in the settings or in a file named there.
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
	s.maxBodyBytes = x.Int("body-bytes", defaultBodyBytes, 1, maxBodyBytes)
	s.maxHeaderBytes = x.Int("header-bytes", defaultHeaderBytes, 1<<10, maxHeaderBytes)
	s.bufferBytes = x.Int("buffer-bytes", max(defaultBufferBytes, 2*s.maxBodyBytes), 1<<20, maxBufferBytes)
	if s.bufferBytes < 2*s.maxBodyBytes {
		x.AddProblem("buffer-bytes", "is %d; allowed is twice body-bytes, %d, or more", s.bufferBytes, 2*s.maxBodyBytes)
	}
	s.connections = connections.ReadSettings(x)
	s.headerTimeout = x.Duration("header-wait", defaultHeaderTimeout, time.Millisecond, maxTimeout)
	s.idleTimeout = x.Duration("idle-wait", defaultIdleTimeout, time.Millisecond, maxTimeout)
	s.bodyTimeout = x.Duration("body-wait", defaultBodyTimeout, time.Millisecond, maxTimeout)
	s.writeTimeout = x.Duration("write-wait", defaultWriteTimeout, time.Millisecond, maxTimeout)
}

func (s *Settings) readDrain(x *inifile.Section) {
	s.drainGrace = x.Duration("grace", defaultDrainGrace, 0, maxTimeout)
	s.drainTimeout = x.Duration("wait", defaultDrainTimeout, 0, maxDrainTimeout)
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

// Self returns the node's own entry, in the form that is sent to other nodes.
func (s *Settings) Self() membership.Node { return s.self }

// CallerAddress returns the address of the listener for callers.
func (s *Settings) CallerAddress() string { return s.callerAddress }

// OperatorAddress returns the address of the listener for operators.
func (s *Settings) OperatorAddress() string { return s.operatorAddress }

// PeerAddress returns the address of the listener for other nodes.
func (s *Settings) PeerAddress() string { return s.peerAddress }

// PlatformURL returns the platform's base URL.
func (s *Settings) PlatformURL() string { return s.platformURL }

// PeerSecret returns the shared secret by which nodes authenticate each other.
func (s *Settings) PeerSecret() string { return s.peerSecret }

// OperatorSecret returns the secret by which operators authenticate.
func (s *Settings) OperatorSecret() string { return s.operatorSecret }

// LogLevel returns the name of the log level.
func (s *Settings) LogLevel() string { return s.logLevel }

// MaxBodyBytes returns the maximum size of a request body.
func (s *Settings) MaxBodyBytes() int64 { return int64(s.maxBodyBytes) }

// BufferBytes returns the number of bytes that may be buffered of requests and responses of all
// connections together.
func (s *Settings) BufferBytes() int64 { return int64(s.bufferBytes) }

// Connections returns the settings of the limits of connections.
func (s *Settings) Connections() connections.Settings { return s.connections }

// MaxHeaderBytes returns the maximum size of a request header.
func (s *Settings) MaxHeaderBytes() int { return s.maxHeaderBytes }

// HeaderTimeout returns the time limit for reading a request header.
func (s *Settings) HeaderTimeout() time.Duration { return s.headerTimeout }

// IdleTimeout returns how long an idle connection is kept open.
func (s *Settings) IdleTimeout() time.Duration { return s.idleTimeout }

// BodyTimeout returns the time limit for reading a request body.
func (s *Settings) BodyTimeout() time.Duration { return s.bodyTimeout }

// WriteTimeout returns the time limit for each write to a caller.
func (s *Settings) WriteTimeout() time.Duration { return s.writeTimeout }

// DrainGraceEnd returns the end of the grace period of a drain that starts now. Until then
// new requests are accepted, so that the load balancer has time to detect the drain.
func (s *Settings) DrainGraceEnd(now time.Time) time.Time { return now.Add(s.drainGrace) }

// DrainDeadline returns the time until which a drain that starts now waits for the
// requests in flight.
func (s *Settings) DrainDeadline(now time.Time) time.Time { return now.Add(s.drainTimeout) }

// Seeds returns the nodes to contact while the platform's host list cannot be read.
func (s *Settings) Seeds() []membership.Node { return s.seeds }

// OperatorBaseURL returns the base URL of the listener for operators.
func (s *Settings) OperatorBaseURL() string {
	if s.certificates != nil {
		return "https://" + s.operatorAddress
	}
	return "http://" + s.operatorAddress
}
