package neighbour

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"cicadabeam/core/freshness"
	"cicadabeam/core/streamversion"
)

type emptyHandler struct{}

func (emptyHandler) Exchange(NodeReport) NodeReport { return NodeReport{} }
func (emptyHandler) Configuration(ConfigurationRequest) ConfigurationReply {
	return ConfigurationReply{}
}
func (emptyHandler) Servers(freshness.StoreVersion) ServerList { return ServerList{} }
func (emptyHandler) WholeServers() WholeServerList             { return WholeServerList{} }
func (emptyHandler) Hosts() HostList                           { return HostList{} }
func (emptyHandler) RecordStream(StreamBegun)                  {}
func (emptyHandler) Rollouts() RolloutReport                   { return RolloutReport{} }
func (emptyHandler) FindStream([]streamversion.ID) FoundStream {
	return FoundStream{}
}

// crowdedListener has no file descriptor for its first connection.
type crowdedListener struct {
	net.Listener
	failed bool
}

func (l *crowdedListener) Accept() (net.Conn, error) {
	if l.failed {
		return l.Listener.Accept()
	}
	l.failed = true
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

func TestLackOfFileDescriptorsDoesNotEndServe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	go func() { ended <- Serve(&crowdedListener{Listener: l}, emptyHandler{}, nil) }()
	c := NewClient(l.Addr().String())
	defer c.Close()
	if _, err := c.Exchange(NodeReport{}, time.Now().Add(2*time.Second)); err != nil {
		t.Error(err)
	}
	select {
	case err := <-ended:
		t.Errorf("Serve ended: %v", err)
	default:
	}
}
