package serverpath

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

var errRefused = errors.New("refused")

// refuse fails at once, hang waits for the end of the context, and open succeeds after a time.
func refuse(context.Context) (net.Conn, error) { return nil, errRefused }

func hang(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func open(after time.Duration) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) {
		time.Sleep(after)
		c, _ := net.Pipe()
		return c, nil
	}
}

func TestDial(t *testing.T) {
	type step = func(context.Context) (net.Conn, error)
	for _, x := range []struct {
		name        string
		direct      step
		nodes       []step
		partitioned bool
		wantDirect  bool
		wantErr     bool
		indirect    bool          // reported
		within      time.Duration // of the call
		through     int           // nodes that were asked
	}{
		{"direct", open(0), []step{open(0)}, false, true, false, false, 50 * time.Millisecond, 0},
		{"slow", open(60 * time.Millisecond), []step{open(0)}, false, true, false, false, 110 * time.Millisecond, 0},
		{"refused, a node connects", refuse, []step{open(0)}, false, false, false, true, 50 * time.Millisecond, 1},
		{"hangs, a node connects", hang, []step{open(0)}, false, false, false, true, 200 * time.Millisecond, 1},
		{"hangs, one node hangs, another connects", hang, []step{hang, open(0)}, false, false, false, true, 300 * time.Millisecond, 2},
		{"refused to all", refuse, []step{refuse, refuse}, false, true, true, false, 50 * time.Millisecond, 2},
		{"hangs for all", hang, []step{hang, hang}, false, true, true, false, 500 * time.Millisecond, 2},
		{"no other node", refuse, nil, false, true, true, false, 50 * time.Millisecond, 0},
		{"partitioned", hang, []step{open(0), open(0)}, true, false, false, false, 50 * time.Millisecond, 1},
		{"partitioned until now", open(0), []step{refuse}, true, true, false, false, 50 * time.Millisecond, 1},
	} {
		var mu sync.Mutex
		indirect, asked := false, []string{}
		names := []string{"a", "b"}[:len(x.nodes)]
		d := &Dialer{
			Direct: func(ctx context.Context, _ string) (net.Conn, error) { return x.direct(ctx) },
			Through: func(ctx context.Context, node, _ string) (net.Conn, error) {
				mu.Lock()
				asked = append(asked, node)
				mu.Unlock()
				return x.nodes[slices.Index(names, node)](ctx)
			},
			Nodes:       func() []string { return names },
			Partitioned: func() bool { return x.partitioned },
			OnDirect:    func() {}, OnIndirect: func(string) { indirect = true },
		}
		began := time.Now()
		c, direct, err := d.Dial(context.Background(), "server")
		took := time.Since(began)
		mu.Lock()
		n := len(asked)
		mu.Unlock()
		if direct != x.wantDirect || (err != nil) != x.wantErr || (c == nil) != x.wantErr || indirect != x.indirect || took > x.within || n != x.through {
			t.Errorf("%s: direct %v, error %v, reported %v, after %v, %d nodes asked", x.name, direct, err, indirect, took, n)
		}
	}
}

// Guards against connections that are left open because another one was faster.
func TestLaterConnectionsAreClosed(t *testing.T) {
	mine, theirs := net.Pipe()
	d := &Dialer{
		Direct: func(context.Context, string) (net.Conn, error) {
			time.Sleep(200 * time.Millisecond)
			return mine, nil
		},
		Through: func(ctx context.Context, _, _ string) (net.Conn, error) { return open(0)(ctx) },
		Nodes:   func() []string { return []string{"a"} }, Partitioned: func() bool { return false }, OnDirect: func() {}, OnIndirect: func(string) {},
	}
	if _, direct, err := d.Dial(context.Background(), "server"); direct || err != nil {
		t.Fatalf("direct %v, error %v", direct, err)
	}
	_ = theirs.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := theirs.Read(make([]byte, 1)); errors.Is(err, context.DeadlineExceeded) || err == nil {
		t.Errorf("the later connection is open: %v", err)
	}
}
