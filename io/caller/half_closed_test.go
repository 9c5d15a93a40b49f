package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cicadabeam/core/claim"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/holder"
)

// waitingBackend runs every request until its context ends.
type waitingBackend struct {
	Backend
	config *config.Config
}

func (b waitingBackend) Config() *config.Config                     { return b.config }
func (b waitingBackend) CheckReady() error                          { return nil }
func (b waitingBackend) CheckCall(config.Service, claim.Call) error { return nil }
func (b waitingBackend) Admit(config.Organisation) (func(), error)  { return func() {}, nil }
func (b waitingBackend) RequestEnded(RequestSummary)                {}
func (b waitingBackend) wait(ctx context.Context) error {
	<-ctx.Done()
	return fault.Wrap(ctx.Err(), fault.CallerLeft, "wait", "")
}

func (b waitingBackend) StartAnswer(ctx context.Context, _ holder.Request) (*holder.Reader, error) {
	return nil, b.wait(ctx)
}

func (b waitingBackend) CallAtMostOnce(ctx context.Context, _ claim.Call) (claim.Response, error) {
	return claim.Response{}, b.wait(ctx)
}

func TestCallerThatClosesItsSendingSideGetsNoEmptySuccess(t *testing.T) {
	sum := sha256.Sum256([]byte("key"))
	c, err := config.Parse("t", []byte("[region r]\n[data-centre d]\nregion = r\n[service shop]\n[organisation o]\nkey-sha256 = "+hex.EncodeToString(sum[:])+"\n"))
	if err != nil {
		t.Fatal(err)
	}
	b := waitingBackend{config: c}
	s := httptest.NewServer(New(b, Limits{MaxBodyBytes: 1 << 20, BodyReadTimeout: time.Second, WriteTimeout: time.Second}, b))
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprint(conn, "POST /services/shop/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", r.StatusCode)
	}
}

func TestMissingBodyDoesNotHoldBackRefusal(t *testing.T) {
	b := waitingBackend{}
	s := httptest.NewServer(New(b, Limits{MaxBodyBytes: 1 << 20, BodyReadTimeout: time.Second, WriteTimeout: time.Second}, b))
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprint(conn, "POST /services/shop/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", r.StatusCode)
	}
}
