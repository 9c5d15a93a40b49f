package operator

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestMissingBodyDoesNotHoldBackRefusal(t *testing.T) {
	s := httptest.NewServer(NewHandler(nil, "secret", http.NotFoundHandler()))
	defer s.Close()
	for path, authorization := range map[string]string{"/v1/configuration": "none", "/v1/unknown": "Bearer secret"} {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: %s\r\nContent-Length: 100\r\n\r\nhalf", path, authorization)
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s: no response: %v", path, err)
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusUnauthorized && r.StatusCode != http.StatusNotFound {
			t.Errorf("%s: got status %d", path, r.StatusCode)
		}
	}
}
