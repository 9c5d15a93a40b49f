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

// answerMemory is the memory that a node may need for one answer in progress.
const answerMemory = 64 << 10

// resident returns the memory of a process in bytes.
func resident(pid int) (int, error) {
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
	return 0, fmt.Errorf("process %d has no VmRSS", pid)
}

// openStream reads the first event of a stream and leaves it open.
func (n *node) openStream(c *http.Client, i int) error {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/report/%d", n.Callers(), i), http.NoBody)
	if err != nil {
		return err
	}
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", fmt.Sprint("open-", i))
	r.Header.Set("X-Token-Usage", "80,90")
	r.Header.Set("Authorization", "Bearer key-1")
	answer, err := c.Do(r)
	if err != nil {
		return err
	}
	_, err = bufio.NewReader(answer.Body).ReadString('\n')
	return err
}

func TestMemoryOfAnAnswer(t *testing.T) {
	s := start(t, 1)
	s.engines(1, func(int) []string { return nil })
	n := s.nodes[0]
	s.awaitStatus(n, "/report/1", "key-1", 200, testWait)
	s.store.Remove("servers", "engine-0")
	for i := range 8 {
		s.server(fmt.Sprint("slow-", i), "llm", backend.Stream(1000, 0, 200*time.Millisecond, nil))
	}
	time.Sleep(time.Second)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	const warm, streams = 20, 400
	open := func(from, to int) int {
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
		m, err := resident(n.Pid())
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	before := open(0, warm)
	each := (open(warm, warm+streams) - before) / streams
	t.Logf("%d bytes for each of %d answers in progress", each, streams)
	if each > answerMemory {
		t.Errorf("an answer in progress takes %d bytes, not %d", each, answerMemory)
	}
}
