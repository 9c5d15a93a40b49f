package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/membership"
)

// silentNode is a node whose connections are accepted and then not read.
type silentNode struct{ address string }

func (n silentNode) Find(name string) (membership.Node, bool) {
	return membership.Node{Name: name, Address: n.address}, true
}
func (n silentNode) RecordSuccess(string, time.Time) {}
func (n silentNode) RecordFailure(string, time.Time) {}

func TestCallToSilentPeerEndsInTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	done := make(chan struct{})
	defer close(done)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_ = serverHandshake(c, "secret")
			<-done
			_ = c.Close()
		}
	}()
	c := NewClient(silentNode{l.Addr().String()}, "secret", nil, &Traffic{})
	defer c.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := c.OpenCopy(context.Background(), "silent", answer.Snapshot{Header: answer.Header{Body: make([]byte, 16<<20)}})
		ended <- err
	}()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the call succeeded")
		}
	case <-time.After(2 * callTimeout):
		t.Fatal("the call has not ended at twice its timeout")
	}
}
