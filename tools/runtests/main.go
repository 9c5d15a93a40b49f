// Command runtests reads the output of go test -json and tells how the tests
// ended. It passes over just those failures that a file lists, and prints them.
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

// event is one line of go test -json.
type event struct {
	Action     string
	Package    string
	Test       string
	Output     string
	ImportPath string
}

// results collects what the tests did.
type results struct {
	known   map[string]bool
	outputs map[string]*strings.Builder
	passed  int
	failed  []string
	broken  []string // packages that failed outside their tests
	red     []string
	open    map[string]bool // packages that have begun and not ended
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
	r := &results{known: known, outputs: make(map[string]*strings.Builder), open: make(map[string]bool)}
	if err := r.read(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(2)
	}
	os.Exit(r.report())
}

// readKnown reads the lines "test: PACKAGE NAME".
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
		r.take(e)
	}
	return s.Err()
}

func (r *results) take(e event) {
	name := strings.TrimSpace(e.Package + " " + e.Test)
	r.follow(e)
	switch e.Action {
	case "output", "build-output":
		r.output(name, e)
	case "pass":
		if e.Test != "" {
			r.passed++
			delete(r.outputs, name)
		}
	case "fail":
		r.fail(name, e)
	}
}

// follow notes which packages have begun and not ended.
func (r *results) follow(e event) {
	if e.Test != "" || e.Package == "" {
		return
	}
	switch e.Action {
	case "start":
		r.open[e.Package] = true
	case "pass", "fail", "skip":
		delete(r.open, e.Package)
	}
}

func (r *results) output(name string, e event) {
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

// fail files a failure. A parent test fails with its subtests, and a package with
// its tests; a package that fails without them is broken.
func (r *results) fail(name string, e event) {
	if e.Test == "" {
		if !r.hasFailure(e.Package) {
			r.broken = append(r.broken, name)
		}
		return
	}
	parent, _, _ := strings.Cut(name, "/Test")
	if r.known[name] || r.known[parent] {
		r.red = append(r.red, name)
		return
	}
	r.failed = append(r.failed, name)
}

func (r *results) hasFailure(pkg string) bool {
	for _, name := range append(r.failed, r.red...) {
		if strings.HasPrefix(name, pkg+" ") {
			return true
		}
	}
	return false
}

func (r *results) report() int {
	for name := range r.open {
		r.broken = append(r.broken, name+" (did not end)")
	}
	for _, name := range append(r.failed, r.broken...) {
		fmt.Println("--- FAIL:", name)
		if o := r.outputs[name]; o != nil {
			fmt.Print(o.String())
		}
	}
	for _, name := range r.red {
		fmt.Println("known red:", name)
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, len(r.failed)+len(r.broken))
	if len(r.failed)+len(r.broken) > 0 || r.passed == 0 {
		return 1
	}
	return 0
}
