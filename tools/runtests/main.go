// Command runtests summarises the output of go test -json. Failures of the tests
// that a file lists as known are printed, but do not fail the run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Known string `long:"known" value-name:"FILE" required:"true" description:"the tests that are known to fail"`
}

// event is one line of the output of go test -json.
type event struct {
	Action     string
	Package    string
	Test       string
	Output     string
	ImportPath string
}

// results collects the outcomes of the tests.
type results struct {
	known          map[string]bool             // tests that are expected to fail
	outputs        map[string]*strings.Builder // by test or package
	passed         int
	failed         []string
	failedPackages []string        // packages that failed without a failed test
	knownFailed    []string        // failed tests that are listed as known
	running        map[string]bool // packages that have started and not finished
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	known, err := readKnown(o.Known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(2)
	}
	r := &results{known: known, outputs: make(map[string]*strings.Builder), running: make(map[string]bool)}
	if err := r.read(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(2)
	}
	os.Exit(r.report())
}

// readKnown returns the tests that a file lists in lines "test: PACKAGE NAME".
func readKnown(path string) (map[string]bool, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool)
	for _, line := range strings.Split(string(b), "\n") {
		if name, found := strings.CutPrefix(line, "test: "); found {
			known[strings.TrimSpace(name)] = true
		}
	}
	return known, nil
}

func (r *results) read(out io.Reader) error {
	s := bufio.NewScanner(out)
	s.Buffer(nil, 64<<20)
	for s.Scan() {
		var e event
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			fmt.Println(s.Text())
			continue
		}
		r.add(e)
	}
	return s.Err()
}

// add counts an event and keeps its output.
func (r *results) add(e event) {
	name := strings.TrimSpace(e.Package + " " + e.Test)
	r.trackPackage(e)
	switch e.Action {
	case "output", "build-output":
		r.recordOutput(name, e)
	case "pass":
		if e.Test != "" {
			r.passed++
			delete(r.outputs, name)
		}
	case "fail":
		r.recordFailure(name, e)
	}
}

// trackPackage records which packages have started and not finished.
func (r *results) trackPackage(e event) {
	if e.Test != "" || e.Package == "" {
		return
	}
	switch e.Action {
	case "start":
		r.running[e.Package] = true
	case "pass", "fail", "skip":
		delete(r.running, e.Package)
	}
}

// recordOutput keeps the output of a test, to be printed if it fails. The results of
// packages and the errors of builds are printed at once.
func (r *results) recordOutput(name string, e event) {
	if e.Action == "build-output" {
		fmt.Print(e.Output)
		return
	}
	if e.Test == "" && (strings.HasPrefix(e.Output, "ok ") || strings.HasPrefix(e.Output, "FAIL\t")) {
		fmt.Print(e.Output)
	}
	if r.outputs[name] == nil {
		r.outputs[name] = &strings.Builder{}
	}
	r.outputs[name].WriteString(e.Output)
}

// recordFailure records a failed test or package. A parent test fails with its
// subtests and is recorded too. A package fails with its tests, so it is recorded only
// if none of them failed. A test that is not listed itself is still known if it is a
// subtest whose name begins with Test and the test before that name is listed.
func (r *results) recordFailure(name string, e event) {
	if e.Test == "" {
		if !r.hasFailure(e.Package) {
			r.failedPackages = append(r.failedPackages, name)
		}
		return
	}
	parent, _, _ := strings.Cut(name, "/Test")
	if r.known[name] || r.known[parent] {
		r.knownFailed = append(r.knownFailed, name)
		return
	}
	r.failed = append(r.failed, name)
}

func (r *results) hasFailure(pkg string) bool {
	for _, name := range append(r.failed, r.knownFailed...) {
		if strings.HasPrefix(name, pkg+" ") {
			return true
		}
	}
	return false
}

// report prints the failures and the totals, and returns the exit code: 1 if anything
// failed that is not known, or if no test passed.
func (r *results) report() int {
	for name := range r.running {
		r.failedPackages = append(r.failedPackages, name+" (did not end)")
	}
	for _, name := range append(r.failed, r.failedPackages...) {
		fmt.Println("--- FAIL:", name)
		if o := r.outputs[name]; o != nil {
			fmt.Print(o.String())
		}
	}
	for _, name := range r.knownFailed {
		fmt.Println("known red:", name)
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, len(r.failed)+len(r.failedPackages))
	if len(r.failed)+len(r.failedPackages) > 0 || r.passed == 0 {
		return 1
	}
	return 0
}
