package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/config"
)

// Guards against bodies whose sum over all callers nothing limits.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	sum := sha256.Sum256([]byte("key"))
	c, err := config.Parse("t", []byte("[region r]\n[data-centre d]\nregion = r\n[service shop]\n[organisation o]\nkey-sha256 = "+hex.EncodeToString(sum[:])+"\n"))
	if err != nil {
		t.Fatal(err)
	}
	b := waitingBackend{config: c}
	buffers := bytebudget.New(100 << 10)
	s := httptest.NewServer(New(b, Limits{MaxBodyBytes: 1 << 20, Buffers: buffers, BodyReadTimeout: time.Second, WriteTimeout: time.Second}, b))
	defer s.Close()
	for _, length := range []int64{200 << 10, -1} {
		r, err := http.NewRequest(http.MethodPost, s.URL+"/services/shop/1", io.NopCloser(strings.NewReader(strings.Repeat("x", 200<<10))))
		if err != nil {
			t.Fatal(err)
		}
		r.ContentLength = length
		r.Header.Set("Authorization", "Bearer key")
		r.Header.Set("Idempotency-Key", "k")
		got, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(got.Body)
		_ = got.Body.Close()
		if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || !strings.Contains(string(text), `"ran":"not_run"`) {
			t.Errorf("length %d: got status %d, %s; want 503 with Retry-After, not run", length, got.StatusCode, text)
		}
	}
	if n := buffers.Held(); n != 0 {
		t.Errorf("%d bytes are held after all requests have ended", n)
	}
}
