// Package integration runs the whole system as real processes, injects failures and
// verifies that the guarantees of the system hold.
package integration

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/check"
	"cicadabeam/test/cluster"
)

// binaryDir is the directory with the programs under test.
var binaryDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cicadabeam-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "cicadabeam/cmd/cicadabeam", "cicadabeam/test/cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

// maxOutputGap is the maximum time that output may pause after a failure.
const maxOutputGap = 3 * time.Second

// testTimeout limits how long a test waits. It is not a limit of the system.
const testTimeout = 60 * time.Second

func startCluster(t *testing.T, l cluster.Layout) *cluster.Cluster {
	t.Helper()
	c, err := cluster.Start(t.TempDir(), binaryDir, l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Stop()
		if t.Failed() {
			printOutputs(t, c)
		}
	})
	return c
}

// maxPrintedOutput is the number of bytes printed of the output of each node when a test
// fails.
const maxPrintedOutput = 20000

func printOutputs(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, n := range c.Nodes() {
		b, err := os.ReadFile(n.OutputPath())
		if err != nil {
			continue
		}
		t.Logf("%s:\n%s", n.Name(), b[max(0, len(b)-maxPrintedOutput):])
	}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func contextWithCancel(t *testing.T) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithCancel(testContext(t))
}

func contains(text, part string) bool { return strings.Contains(text, part) }

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func await(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	if !cluster.Await(testTimeout, isMet) {
		t.Fatalf("condition not met in time: %s", condition)
	}
}

// checkOutputGap checks that output never paused for longer than maxOutputGap.
func checkOutputGap(t *testing.T, x *cluster.Transcript) {
	t.Helper()
	if gap := x.LongestGap(); gap > maxOutputGap {
		t.Fatalf("output paused for %v; the maximum is %v", gap, maxOutputGap)
	}
}

// checkComplete checks that a caller received a complete answer on one connection.
func checkComplete(t *testing.T, c *cluster.Cluster, x *cluster.Transcript, length int) {
	t.Helper()
	if x.Err != nil || !x.Done {
		t.Fatalf("answer is incomplete: status %d, done %v, error %v, failure %+v, %d pieces", x.Status, x.Done, x.Err, x.Failure, len(x.Pieces))
	}
	log, err := c.EngineLog()
	must(t, err)
	must(t, check.CompleteAnswer(x.Text(), length, x.Marker, log))
	if len(x.FinishReasons) != 1 {
		t.Fatalf("answer has %d finish reasons, not 1", len(x.FinishReasons))
	}
	if x.Usage.Completion != length {
		t.Fatalf("usage reports %d completion tokens, not %d", x.Usage.Completion, length)
	}
}
