// Command harness plays one case of the review: it starts the platform's store stand-in and entry
// hosts as processes, plays servers and clients itself, and judges what these have seen.
//
// # Usage
//
//	harness tunnel    // exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run
package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// errSetup ends a case that couldn't run.
type errSetup struct{ text string }

func fail(format string, args ...any) { panic(errSetup{fmt.Sprintf(format, args...)}) }

// system is the store and the entry hosts of a case.
type system struct {
	dir    string // temporary
	record *record
	start  time.Time
	store  string // address
	base   int    // second and third byte of the addresses

	mu        sync.Mutex
	processes []*process
}

// process is a process that the case started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func newSystem(r *record) *system {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	s := &system{dir: dir, record: r, start: r.start, base: os.Getpid() % 50000}
	s.store = freeAddress("127.0.0.1")
	s.run("store", "review/target/standin", nil, "--kind", "platform", "--listen", s.store)
	s.await("the store", func() bool {
		r, err := http.Get("http://" + s.store + "/v1/rows-get?Table=op&part=")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
	return s
}

// ip returns the n-th loopback address of the case.
func (s *system) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", 1+s.base/250, s.base%250, n) }

func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("no free port: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// run starts a program; its output goes to a file in the temporary folder.
func (s *system) run(name, program string, env []string, args ...string) *process {
	out, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log of %s: %v", name, err)
	}
	c := exec.Command(program, args...)
	c.Stdout, c.Stderr, c.Env = out, out, append(os.Environ(), env...)
	if err := c.Start(); err != nil {
		fail("start %s: %v", name, err)
	}
	_ = out.Close()
	p := &process{cmd: c, done: make(chan struct{})}
	go func() { _ = c.Wait(); close(p.done) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p
}

func (p *process) signal(x syscall.Signal) { _ = p.cmd.Process.Signal(x) }

// close ends all processes and removes the temporary folder.
func (s *system) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		<-p.done
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

func (s *system) await(what string, ok func() bool) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	fail("%s is not there after 15 s", what)
}

// put writes a row as the operator or a server does.
func (s *system) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		fail("%v", err)
	}
	s.commit(map[string]any{"ExpectedRev": []any{}, "Writes": []any{map[string]any{"Table": table, "part": "", "Key": key, "Value": base64.StdEncoding.EncodeToString(b)}}, "Remove": []any{}})
}

// remove removes a row.
func (s *system) remove(table, key string) {
	defer func() {
		if x := recover(); x != nil { // the case may have ended
			s.record.log("%s/%s was not removed: %v", table, key, x)
		}
	}()
	s.commit(map[string]any{"ExpectedRev": []any{}, "Writes": []any{}, "Remove": []any{map[string]any{"Table": table, "part": "", "Key": key}}})
}

func (s *system) commit(x any) {
	b, _ := json.Marshal(x)
	r, err := http.Post("http://"+s.store+"/v1/rows-tx", "application/json", bytes.NewReader(b))
	if err != nil {
		fail("store: %v", err)
	}
	defer func() { _ = r.Body.Close() }()
	if answer, _ := io.ReadAll(r.Body); r.StatusCode != http.StatusOK {
		fail("store: %d %s", r.StatusCode, answer)
	}
}

// host is an entry host.
type host struct {
	*process
	system   *system
	name, ip string
	settings string
}

// settingsText follows deploy/entry.ini. The source of connections to servers is the host's
// own address, as it is on a machine of its own.
const settingsText = `[node]
name = %[1]s
data-centre = %[2]s
[listen]
callers = %[3]s:8740
readiness = %[3]s:8749
neighbours = %[3]s:8720
metrics = %[3]s:8721
[platform]
address = %[4]s
[servers]
source = %[3]s
[limits]
memory-mb = 284
cores = 1
[bounds]
apply = 2500ms
strict-revocation = yes
revoke = 5000ms
grace = 8s
repeat-ratio = 0.8
repeat-window = 10s
repeat-extra = 150
[data-centre zone-a]
region = region-a
[data-centre zone-b]
region = region-a
[data-centre zone-c]
region = region-a
`

// addHost starts an entry host with the command of the deploy file.
func (s *system) addHost(n int, name, zone string) *host {
	h := &host{system: s, name: name, ip: s.ip(n), settings: filepath.Join(s.dir, name+".ini")}
	if err := os.WriteFile(h.settings, []byte(fmt.Sprintf(settingsText, name, zone, h.ip, s.store)), 0o600); err != nil {
		fail("settings: %v", err)
	}
	h.restart()
	return h
}

func (h *host) restart() {
	h.process = h.system.run(h.name, "target/cicadabeam", []string{"CICADABEAM_CONFIG=" + h.settings}, "entry")
}

func (h *host) callers() string { return h.ip + ":8740" }

func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	r, err := c.Get("http://" + h.ip + ":8749/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (s *system) awaitReady(all ...*host) {
	for _, h := range all {
		s.await("entry host "+h.name, h.ready)
	}
	time.Sleep(1500 * time.Millisecond) // the hosts read the list of hosts for the second time
}

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(dir string) *record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fail("record: %v", err)
	}
	return &record{start: time.Now(), file: f}
}

// log writes a line with the time since the start.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}
