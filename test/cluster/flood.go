package cluster

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// floodTimeout limits the time in which a connection of a flood is opened.
const floodTimeout = 10 * time.Second

// Flood are open connections that misbehave.
type Flood struct{ conns []net.Conn }

// OpenFlood opens connections to an address that send some bytes and read nothing, until they are closed.
// The error is that of the first connection that could not be opened.
func OpenFlood(address string, connections int, begin string) (*Flood, error) {
	f := &Flood{}
	for range connections {
		c, err := net.DialTimeout("tcp", address, floodTimeout)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.conns = append(f.conns, c)
		_, _ = c.Write([]byte(begin)) // the host may have closed it
	}
	return f, nil
}

// Close closes the connections.
func (f *Flood) Close() {
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// PeakBytes returns the peak resident memory of the process.
func (p *Process) PeakBytes() (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if v, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.Atoi(strings.Fields(v)[0])
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("process %d: no VmHWM in its status file", p.Pid())
}
