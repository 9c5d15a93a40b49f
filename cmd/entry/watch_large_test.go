package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cicadabeam/platform"
)

// Guards against a watcher that asks for the same changes for ever because they are too large.
func TestWatcherReadsTableIfChangesAreTooLarge(t *testing.T) {
	n := newTestNode()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	changes := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "feed") {
			_, _ = fmt.Fprintf(w, `{"Rows":[],"Ver":%d,"NowMs":1}`, 7+changes)
			return
		}
		changes++
		_, _ = fmt.Fprintf(w, `{"Rows":[{"Key":"odd","Value":"%s"}],"Ver":8,"NowMs":1}`, strings.Repeat("AAAA", 5<<20))
	}))
	defer s.Close()
	n.store = platform.NewStoreClient(s.URL, "node-1").WithEras(n.eras)
	w := n.newWatcher("servers", nil, nil)
	w.awaitPeerState = func(context.Context) bool { return false }
	w.shouldRead = func() bool { return true }
	w.pollWait = func() time.Duration { return 0 }
	whole := 0
	w.onUpdate = func(u tableUpdate) {
		if whole++; u.full && whole == 3 {
			cancel()
		}
	}
	_ = w.run(ctx)
	if whole != 3 || changes != 2 {
		t.Errorf("read the table %d times after %d responses that are too large, want 3 and 2", whole, changes)
	}
}
