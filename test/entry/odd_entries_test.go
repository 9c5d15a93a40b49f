package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

const largeText = 500_000 // bytes

// oddRows returns values that another writer may leave in a table. sound is a template of a sound
// one, with a JSON object's first field missing.
func oddRows(sound string) map[string][]byte {
	rows := map[string]string{
		"empty": "", "bytes": "\x00\xff\xfe{", "half": `{"Service":"ord`, "null": "null", "text": `"x"`, "list": "[]", "number": "1e400",
		"deep list":    strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000),
		"deep object":  strings.Repeat(`{"a":`, 30_000) + "1" + strings.Repeat("}", 30_000),
		"half deep":    strings.Repeat(`[{"a":`, 200_000),
		"long text":    `"` + strings.Repeat("x", largeText) + `"`,
		"long number":  strings.Repeat("9", largeText),
		"many fields":  "{" + strings.Repeat(`"a":1,`, 50_000) + `"b":1}`,
		"wrong types":  `{"Service":{},"Address":[],"Zone":1,"Version":null,"Slots":"6","State":true,"born":"x","name":7,"address":{},"Routes":{}}`,
		"deep in text": fmt.Sprintf(sound, `"Deep":`+strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)),
	}
	for name, field := range map[string]string{
		"unknown state": `"State":"asleep"`, "long state": `"State":"` + strings.Repeat("x", largeText) + `"`,
		"unknown service": `"Service":"printing"`, "long service": `"Service":"` + strings.Repeat("x", largeText) + `"`, "service with controls": `"Service":"orders\r\nX: y"`,
		"long version": `"Version":"` + strings.Repeat("v", largeText) + `"`, "version of 190 bytes": `"Version":"` + strings.Repeat("v", 190) + `"`,
		"long zone": `"Zone":"` + strings.Repeat("z", largeText) + `"`, "unreadable version": `"Version":"` + "\xff\xfe" + `"`,
		"large slots": `"Slots":1e30`, "most slots": `"Slots":9223372036854775807`, "negative slots": `"Slots":-5`, "no slots": `"Slots":0`,
		"large start": `"born":1e400`, "last start": `"born":9223372036854775807`, "negative start": `"born":-9223372036854775808`, "long start": `"born":` + strings.Repeat("9", largeText),
	} {
		rows[name] = fmt.Sprintf(sound, field)
	}
	for _, address := range []string{"", ":", "x", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "[::1]:80000", "host.example:80", "0.0.0.0:80", "999.1.1.1:80", strings.Repeat("1", largeText) + ":80", "127.0.0.1:80\\r\\nX: y"} {
		rows["address "+address[:min(len(address), 30)]] = fmt.Sprintf(sound, fmt.Sprintf(`"Address":"%s","address":"%s"`, address, address))
	}
	all := make(map[string][]byte, len(rows))
	for name, value := range rows {
		all[name] = []byte(value)
	}
	return all
}

// soundServer is a registry entry for an address; the field that is put in front is overridden
// by none, as of two equal fields the later one counts.
func soundServer(address string) string {
	fields := fmt.Sprintf(`{"Service":"orders","Address":%q,"Zone":"a","Version":"v1","Slots":6,"State":"ready","born":9,"Seq":1,`, address)
	return strings.ReplaceAll(fields, "%", "%%") + "%s}"
}

// namedServer tells who it is and runs only requests that are meant for it.
type namedServer struct {
	*backend.Server
	runs atomic.Int64
}

func (s *system) addNamedServer(id string) *namedServer {
	s.t.Helper()
	x := &namedServer{}
	x.Server = s.addServer(id, "orders", x.step(id))
	return x
}

func (x *namedServer) step(id string) backend.Step {
	return func(c *backend.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path == "/healthz" {
			return backend.WithHeader("X-Instance-Id: "+id, backend.Respond(200, "ok"))(c, r, body)
		}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
			return backend.WithHeader("X-Request-Id: "+r.Header.Get("X-Request-Id"), backend.Misdirected())(c, r, body)
		}
		x.runs.Add(1)
		return backend.Respond(200, "ok")(c, r, body)
	}
}

// checkSound checks that all hosts serve, follow the list of servers and have not ended.
func (s *system) checkSound(first, second *namedServer) {
	s.t.Helper()
	added := s.addNamedServer("added")
	s.register("s1", "orders", first.Address(), "draining")
	s.store.Remove("servers", "s2")
	time.Sleep(drainLimit)
	for _, n := range s.nodes {
		runs, left := added.runs.Load(), first.runs.Load()+second.runs.Load()
		for i := range 40 {
			if status, _ := n.send("/buy/1", "key-1"); status != 200 {
				s.t.Errorf("%s: request %d: got status %d, want 200", n.Name(), i, status)
			}
		}
		if added.runs.Load() == runs {
			s.t.Errorf("%s does not follow the list: a new server gets no requests", n.Name())
		}
		if first.runs.Load()+second.runs.Load() != left {
			s.t.Errorf("%s does not follow the list: servers that drain or are gone get requests", n.Name())
		}
		select {
		case <-n.Exited():
			s.t.Errorf("%s ended", n.Name())
		default:
		}
		b, err := os.ReadFile(n.OutputPath())
		if err != nil || bytes.Contains(b, []byte("panic")) || bytes.Contains(b, []byte("fatal error")) {
			s.t.Errorf("%s panicked (error %v)", n.Name(), err)
		}
		if len(b) > 4<<20 {
			s.t.Errorf("%s logged %d bytes", n.Name(), len(b))
		}
	}
}

// changeList lets the list of servers change many times, as it does in minutes, while all hosts serve.
// A host starts again meanwhile.
func (s *system) changeList(address string) {
	s.t.Helper()
	for i := range 60 {
		s.store.Put("servers", "s2", fmt.Appendf(nil, `{"Service":"orders","Address":%q,"Zone":"a","Version":"v1","Slots":%d,"State":"ready","born":5,"Seq":%d}`, address, 6+i%2, i))
		if i == 20 {
			s.nodes[1].Kill()
			if err := s.nodes[1].Start(); err != nil {
				s.t.Fatal(err)
			}
		}
		if i == 40 {
			s.await("the host that started again is ready", testTimeout, s.nodes[1].Ready)
		}
		for _, n := range s.nodes {
			if n == s.nodes[1] && i >= 20 && i < 40 {
				continue
			}
			if status, _ := n.send("/r1/", ""); status != 200 {
				s.t.Errorf("%s: got status %d after %d changes of the list", n.Name(), status, i)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against hosts that end, refuse or stop to follow the list of servers because of what
// another writer left there.
func TestOddEntriesAmongServers(t *testing.T) {
	for _, place := range []string{"of their own", "of a sound server"} {
		t.Run("address "+place, func(t *testing.T) {
			t.Parallel()
			s := start(t, 3)
			first := s.addNamedServer("s1")
			second := s.addNamedServer("s2")
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r1/", "", 200, applyLimit)
			}
			address := "127.0.0.1:9"
			if place == "of a sound server" {
				address = second.Address()
			}
			s.store.Put("servers", "sound copy", fmt.Appendf(nil, soundServer(address), `"x":1`))
			for name, value := range oddRows(soundServer(address)) {
				s.store.Put("servers", "odd "+name, value)
			}
			s.store.Put("servers", "odd\r\nX-Tenant: other\r\nX", fmt.Appendf(nil, soundServer(address), `"x":1`))
			s.store.Put("servers", strings.Repeat("k", 200), fmt.Appendf(nil, soundServer(address), `"x":1`))
			s.changeList(second.Address())
			s.checkSound(first, second)
			for _, b := range []*namedServer{first, second} {
				for _, r := range b.Requests() {
					if tenant := r.Header.Get("X-Tenant"); tenant != "" && tenant != "ndox" || len(r.Header["X"]) > 0 {
						t.Fatalf("a server got header fields from the key of an entry: %v", r.Header)
					}
				}
			}
			for _, n := range s.nodes {
				if lines := n.eventLines("software versions not stored"); len(lines) > 0 {
					t.Errorf("%s: an entry keeps the versions of others from being stored: %q", n.Name(), lines)
				}
			}
		})
	}
}

// Guards against hosts that end, or don't find each other, because of what another writer left in
// the table of entry hosts, which holds causes of crashes and software versions too.
func TestOddRowsAmongEntryHosts(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	first := s.addNamedServer("s1")
	second := s.addNamedServer("s2")
	for name, value := range oddRows(`{"name":"odd","data_centre":"a","region":"north","address":"127.0.0.1:9","features":[],"State":"quarantined","Service":"orders","Version":"v1",%s}`) {
		for _, key := range []string{"odd", "odd " + name, "crash-cause/odd " + name, "software-version/" + name, "software-version/orders/v1"} {
			s.store.Put("nodes", key, value)
		}
		s.store.Put("nodes", "named "+name, bytes.ReplaceAll(value, []byte(`"name":"odd"`), fmt.Appendf(nil, `"name":%q`, "named "+name)))
	}
	for i := 1; i < 4; i++ {
		s.nodes = append(s.nodes, s.startNode(i))
	}
	for _, n := range s.nodes {
		s.await(n.Name()+" is ready", testTimeout, n.Ready)
	}
	s.changeList(second.Address())
	s.checkSound(first, second)
}

// Guards against hosts that end or lose the configuration in force because of what another writer left
// beside it, or in its place.
func TestOddRowsInConfiguration(t *testing.T) {
	t.Parallel()
	s := start(t, 3)
	first := s.addNamedServer("s1")
	second := s.addNamedServer("s2")
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r1/", "", 200, applyLimit)
	}
	odd := oddRows(`{"Routes":[],"Services":[],"Limits":{},"Tenants":[],%s}`)
	for name, value := range odd {
		s.store.Put("op", "odd "+name, value)
	}
	s.changeList(second.Address())
	for name, value := range odd {
		s.store.Put("op", "config", value)
		time.Sleep(30 * time.Millisecond)
		for _, n := range s.nodes {
			if status, _ := n.send("/r1/", ""); status != 200 {
				t.Errorf("%s: got status %d beside the configuration %q", n.Name(), status, name)
			}
		}
	}
	s.configure(2, []string{"key-1"})
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r2/", "", 200, applyLimit)
		s.awaitStatus(n, "/buy/1", "key-1", 200, applyLimit)
	}
	s.checkSound(first, second)
}
