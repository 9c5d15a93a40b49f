package entry

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// maxStreamMemory is the memory that a node may use for one stream in progress.
const maxStreamMemory = 60 << 10

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if v, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.Atoi(strings.Fields(v)[0])
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("process %d: no VmRSS in its status file", pid)
}

// openStream starts a stream, reads its first line and leaves the stream open.
func (n *node) openStream(c *http.Client, i int) error {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/report/%d", n.CallerAddress(), i), http.NoBody)
	if err != nil {
		return err
	}
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", fmt.Sprint("open-", i))
	r.Header.Set("X-Token-Usage", "80,90")
	r.Header.Set("Authorization", "Bearer key-1")
	response, err := c.Do(r)
	if err != nil {
		return err
	}
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	return err
}

// A node must not use more than maxStreamMemory for each stream that is open at once.
func TestMemoryPerStream(t *testing.T) {
	s := start(t, 1)
	s.addEngines(1, func(int) []string { return nil })
	n := s.nodes[0]
	s.awaitStatus(n, "/report/1", "key-1", 200, testTimeout)
	s.store.Remove("servers", "engine-0")
	for i := range 8 {
		s.addServer(fmt.Sprint("slow-", i), "llm", backend.Stream(1000, 0, 200*time.Millisecond, nil))
	}
	time.Sleep(time.Second)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	const warmup, streams = 20, 400
	openStreams := func(from, to int) int {
		var g sync.WaitGroup
		for i := from; i < to; i++ {
			g.Go(func() {
				if err := n.openStream(c, i); err != nil {
					t.Error(err)
				}
			})
		}
		g.Wait()
		time.Sleep(time.Second)
		m, err := residentBytes(n.Pid())
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	before := openStreams(0, warmup)
	perStream := (openStreams(warmup, warmup+streams) - before) / streams
	t.Logf("%d bytes for each of %d streams in progress", perStream, streams)
	if perStream > maxStreamMemory {
		t.Errorf("a stream in progress uses %d bytes, limit %d", perStream, maxStreamMemory)
	}
}
