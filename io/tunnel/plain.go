package tunnel

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Nodes of earlier versions send PlainMark, the server's address and a line feed, and expect one byte.
// From then on bytes are passed on as they are, without a lease.

// DialPlain opens a tunnel through a node of an earlier version.
func DialPlain(ctx context.Context, node, server string) (net.Conn, error) {
	c, err := connect(ctx, node, []byte(string(rune(PlainMark))+server+"\n"), make([]byte, 1))
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s through %s", server, node)
	}
	return c, nil
}

// servePlain serves a node of an earlier version.
func (n *Node) servePlain(c net.Conn) {
	address, err := readLine(c)
	if err != nil {
		return
	}
	s, err := n.dial(context.Background(), address)
	if err != nil {
		_, _ = c.Write([]byte{refused})
		return
	}
	defer func() { _ = s.Close() }()
	if _, err := c.Write([]byte{opened}); err != nil {
		return
	}
	_ = c.SetDeadline(time.Time{})
	var g sync.WaitGroup
	for _, x := range [][2]net.Conn{{c, s}, {s, c}} {
		g.Go(func() {
			if _, err := io.CopyBuffer(struct{ io.Writer }{x[0]}, x[1], make([]byte, frameBytes)); err != nil {
				reset(c)
				reset(s)
			}
			_ = c.Close()
			_ = s.Close()
		})
	}
	g.Wait()
}

// readLine reads up to a line feed and no further.
func readLine(r io.Reader) (string, error) {
	var line strings.Builder
	b := make([]byte, 1)
	for line.Len() < maxAddressBytes {
		if _, err := io.ReadFull(r, b); err != nil {
			return "", errors.Wrap(err, "read address")
		}
		if b[0] == '\n' {
			return line.String(), nil
		}
		line.WriteByte(b[0])
	}
	return "", errors.New("the address is too long")
}
