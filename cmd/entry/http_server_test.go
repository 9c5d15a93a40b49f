package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

func TestShutdownAnswersRequestInProgress(t *testing.T) {
	started := make(chan struct{})
	s, err := newHTTPServer(context.Background(), "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.run() }()
	answered := make(chan error, 1)
	go func() {
		r, err := http.Get("http://" + s.listener.Addr().String())
		if err == nil {
			_, err = io.ReadAll(r.Body)
			_ = r.Body.Close()
		}
		answered <- err
	}()
	<-started
	s.shutdown(time.Now().Add(5 * time.Second))
	if err := <-answered; err != nil {
		t.Errorf("the request in progress got no response: %v", err)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the server still runs after its shutdown")
	}
}
