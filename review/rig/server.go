package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// arrival is a request that reached a server. It is a line of the output of a server's process.
type arrival struct {
	At       int64 // Unix milliseconds
	Server   string
	Request  string
	Method   string
	Target   string
	Expected string
	Tenant   string
	Deadline string
	Last     string
	Ran      bool // unless it is turned away after that
	Status   int
	Event    string // "gets", "rejects" (another server, no id) or "turns away" (full)
}

// behaviour answers a request that runs. It returns false if the connection ends with the answer.
type behaviour func(c *serverConn, r *http.Request, body []byte) bool

// server is a stand-in of a backend server.
type server struct {
	id       string
	behave   behaviour
	listener net.Listener
	report   func(a arrival)
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

type serverConn struct {
	net.Conn
	s      *server
	reader *bufio.Reader
}

func startServer(address, id string, b behaviour, report func(arrival)) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{id: id, behave: b, listener: l, report: report, conns: make(map[net.Conn]bool)}
	go s.accept()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// crash ends all connections, as the kernel does for a process that is killed.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		if s.closed {
			_ = c.Close()
		}
		s.mu.Unlock()
		go s.serve(&serverConn{Conn: c, s: s, reader: bufio.NewReader(c)})
	}
}

func (s *server) serve(c *serverConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !s.handle(c, r, body) {
			return
		}
	}
}

func (s *server) handle(c *serverConn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Request-Id")
	a := arrival{At: time.Now().UnixMilli(), Server: s.id, Request: id, Method: r.Method, Target: r.RequestURI, Expected: r.Header.Get("X-Expect-Instance"), Tenant: r.Header.Get("X-Tenant"), Deadline: r.Header.Get("X-Deadline-Ms"), Last: r.Header.Get("Last-Event-Id")}
	switch {
	case r.URL.Path == "/healthz":
		return c.respond(r, 200, "X-Instance-Id: "+s.id+"\r\n", "ok")
	case strings.HasPrefix(r.URL.Path, "/v1/report"):
		return c.respond(r, 200, "Content-Type: application/json\r\n", `{"Phase":"mixed","Models":[],"Busy":false,"Seq":1,"Queued":0,"Active":1,"KvUsed":0,"KvTotal":90000,"Handles":0,"Runs":[]}`)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-list"):
		return c.respond(r, 200, "Content-Type: application/json\r\n", `{"epoch":1,"Next":1,"held":[]}`)
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		return c.respond(r, 404, "X-Not-Executed: 1\r\n", "")
	case id == "":
		a.Event = "rejects"
		s.report(a)
		return c.respond(r, 400, "X-Not-Executed: 1\r\n", "")
	case a.Expected != "" && a.Expected != s.id:
		a.Event = "rejects"
		s.report(a)
		return c.respond(r, 421, "X-Not-Executed: 1\r\n", "")
	}
	a.Event, a.Ran = "gets", true
	s.report(a)
	return s.behave(c, r, body)
}

// respond sends a complete answer with a length.
func (c *serverConn) respond(r *http.Request, status int, headers, body string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), r.Header.Get("X-Request-Id"), headers, len(body))
	if r.Method != "HEAD" {
		text += body
	}
	_, err := c.Write([]byte(text))
	return err == nil
}

// turnAway refuses a request that the server has no slot for.
func (c *serverConn) turnAway(r *http.Request, headers string) bool {
	c.s.report(arrival{At: time.Now().UnixMilli(), Server: c.s.id, Request: r.Header.Get("X-Request-Id"), Method: r.Method, Target: r.RequestURI, Event: "turns away", Status: 503})
	return c.respond(r, 503, "X-Not-Executed: 1\r\n"+headers, "")
}

func (c *serverConn) signature() string { return "X-Server-Signature: s1." + c.s.id + "\r\n" }

// process is a server that runs as a process of its own, so that it can be killed.
type process struct {
	id, service, zone, addr string
	born                    int64
	cmd                     *exec.Cmd
	done                    chan struct{}
}

// startProcess starts a server's process and waits until it listens.
func startProcess(address, id, behaviour string, on func(arrival)) (*process, error) {
	p := &process{id: id, born: time.Now().UnixMilli(), done: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], "server", address, id, behaviour)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("server %s did not start", id)
	}
	p.addr = lines.Text()
	go func() {
		for lines.Scan() {
			var a arrival
			if json.Unmarshal(lines.Bytes(), &a) == nil {
				on(a)
			}
		}
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// serverMain is the main function of a server's process.
func serverMain(address, id, name string) {
	b := behaviours[name]
	if b == nil {
		fmt.Fprintln(os.Stderr, "unknown behaviour", name)
		os.Exit(2)
	}
	var mu sync.Mutex
	s, err := startServer(address, id, b, func(a arrival) {
		mu.Lock()
		defer mu.Unlock()
		x, _ := json.Marshal(a)
		_, _ = os.Stdout.Write(append(x, '\n'))
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	mu.Lock()
	fmt.Println(s.address())
	mu.Unlock()
	select {}
}

// entry is the row with which a server registers itself.
func entry(id, service, address, zone, state string, slots int, born int64, seq int) row {
	v, _ := json.Marshal(map[string]any{"Service": service, "Address": address, "Zone": zone, "Version": "v1", "Slots": slots, "State": state, "ColdLeftMs": 0, "Seq": seq, "born": born})
	return row{Table: "servers", Key: id, Value: v}
}

func gone(id string) row { return row{Table: "servers", Key: id, Deleted: true} }

func itoa(n int) string { return strconv.Itoa(n) }
