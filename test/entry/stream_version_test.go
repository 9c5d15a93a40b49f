package entry

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

const (
	versionedEvents = 40
	versionedPause  = 15 * time.Millisecond
	// maxMixedStreams is how many streams a day may hold events of servers of two versions.
	maxMixedStreams = 2
	// minTakenUpShare is the least share of streams that go on when they are taken up, of the share
	// of new streams that begin.
	minTakenUpShare = 0.5
	// storedWithin is how long after its beginning a stream is to be in the store.
	storedWithin = 2 * time.Second
	// standstill is how long a host stands still while servers join.
	standstill = 2 * time.Second
)

// take is what a caller got in one or more attempts at a stream.
type take struct {
	id       string          // of the first attempt
	versions map[string]bool // of the servers that its events came from
	last     int             // its last event
	complete bool
	resumed  bool // an attempt after the first one brought an event
}

// addVersionedServer adds a server of a software version. Its runs break off after a number of
// events, 0 for none.
func (s *system) addVersionedServer(id, version string, breakAfter int) *backend.Server {
	s.t.Helper()
	step := backend.StreamOf(version, versionedEvents, 0, versionedPause, nil)
	if breakAfter > 0 {
		step = func(c *backend.Conn, r *http.Request, body []byte) bool {
			first := 0
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
			return backend.StreamOf(version, versionedEvents, first+breakAfter, versionedPause, backend.CloseConnection())(c, r, body)
		}
	}
	b, err := backend.Start("127.0.0.1:0", step)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Close)
	s.registerVersion(id, b.Address(), version)
	return b
}

func (s *system) registerVersion(id, address, version string) {
	s.store.Put("servers", id, fmt.Appendf(nil, `{"Service":"llm","Address":%q,"Zone":"a","Version":%q,"Slots":48,"State":"ready","born":5,"Seq":1}`, address, version))
}

// attempt sends an attempt at a stream to a node and reads its events, at most n. It returns the
// status, 0 without a response.
func (x *take) attempt(n *node, id, resumes string, most int) int {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.CallerAddress()+"/report/1", http.NoBody)
	if err != nil {
		return 0
	}
	r.Host, r.Close = "test.example", true
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "20000")
	r.Header.Set("X-Token-Usage", "800,90")
	r.Header.Set("X-Prefix-Hash", "aa:200,"+id+":600")
	r.Header.Set("Authorization", "Bearer key-1")
	if resumes != "" {
		r.Header.Set("Resumes", resumes)
		r.Header.Set("Last-Event-Id", fmt.Sprint(x.last))
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode
	}
	lines := bufio.NewScanner(response.Body)
	for got := 0; got < most && lines.Scan(); {
		version, _, found := strings.Cut(strings.TrimPrefix(lines.Text(), "data: "), "-")
		if !found || !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		got++
		x.last++
		x.versions[version] = true
		x.resumed = x.resumed || resumes != ""
	}
	x.complete = x.last == versionedEvents
	return response.StatusCode
}

// takeAll lets callers take up n streams at the same time. follow makes the attempts of one.
func takeAll(n int, follow func(i int, x *take)) []*take {
	all := make([]*take, n)
	var wg sync.WaitGroup
	for i := range all {
		all[i] = &take{id: fmt.Sprintf("%08x%08x", i, time.Now().Nanosecond()), versions: make(map[string]bool)}
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			follow(i, all[i])
		}()
	}
	wg.Wait()
	return all
}

// checkTakes checks that streams hold events of one version, and, if wanted, that streams that
// were taken up went on.
func checkTakes(t *testing.T, all []*take, goesOn bool) {
	t.Helper()
	mixed, begun, resumed, complete := 0, 0, 0, 0
	for _, x := range all {
		if len(x.versions) > 1 {
			mixed++
		}
		if x.last > 0 {
			begun++
		}
		if x.resumed {
			resumed++
		}
		if x.complete {
			complete++
		}
	}
	if mixed > maxMixedStreams {
		t.Errorf("%d of %d streams hold events of two versions, want at most %d", mixed, len(all), maxMixedStreams)
	}
	if goesOn && float64(complete) < minTakenUpShare*float64(begun) {
		t.Errorf("%d of %d streams went on to their end", complete, begun)
	}
	t.Logf("%d streams, %d begun, %d went on in a later attempt, %d complete, %d of two versions", len(all), begun, resumed, complete, mixed)
}

// startVersions starts nodes and servers of an old and a new version.
func startVersions(t *testing.T, nodes, older, newer, breakAfter int) *system {
	return addVersions(start(t, nodes), older, newer, breakAfter)
}

// addVersions adds servers of an old and a new version and waits until all nodes know them.
func addVersions(s *system, older, newer, breakAfter int) *system {
	for i := range older + newer {
		version := "v1"
		if i >= older {
			version = "v1.1"
		}
		s.addVersionedServer(fmt.Sprint("i-", i), version, breakAfter)
	}
	for _, n := range s.nodes {
		s.await("all servers are known", testTimeout, func() bool {
			x := &take{versions: make(map[string]bool)}
			return x.attempt(n, fmt.Sprint("first-", time.Now().UnixNano()), "", 1) == http.StatusOK
		})
	}
	time.Sleep(500 * time.Millisecond)
	return s
}

// Guards against streams that go on at a server of another software version.
func TestStreamsHoldEventsOfOneSoftwareVersion(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name                     string
		older, newer, breakAfter int
		leaveAfter               []int // events after which the caller leaves and goes on at another host
	}{
		{"servers break off", 2, 4, 15, nil},
		{"callers leave", 2, 4, 0, []int{8}},
		{"callers leave after the first event", 2, 4, 0, []int{1}},
		{"callers leave several times", 2, 4, 0, []int{3, 5, 1}},
		{"one server of the older version", 1, 5, 15, []int{20}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := startVersions(t, 4, x.older, x.newer, x.breakAfter)
			all := takeAll(60, func(i int, y *take) {
				y.attempt(s.nodes[i%len(s.nodes)], y.id, "", append(x.leaveAfter, versionedEvents)[0])
				for k := range x.leaveAfter {
					most := append(x.leaveAfter, versionedEvents)[k+1]
					y.attempt(s.nodes[(i+k+1)%len(s.nodes)], fmt.Sprint(y.id, "-", k), y.id, most)
				}
			})
			checkTakes(t, all, true)
		})
	}
}

// Guards against hosts that forget the version of streams with the host that began them.
func TestSoftwareVersionOfStreamOutlivesItsHost(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name   string
		killed int // hosts, of four
		frozen bool
		goesOn bool
	}{
		{"one host is killed", 1, false, true},
		{"one host is frozen", 1, true, true},
		{"three hosts are killed", 3, false, false},
		{"all hosts are killed", 4, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := startVersions(t, 4, 3, 3, 0)
			all := takeAll(40, func(i int, y *take) {
				y.attempt(s.nodes[i%x.killed], y.id, "", 5)
			})
			for _, n := range s.nodes[:x.killed] {
				if x.frozen {
					n.Suspend()
					defer n.Resume()
					continue
				}
				n.Kill()
			}
			if x.killed == len(s.nodes) {
				for _, n := range s.nodes {
					if err := n.Start(); err != nil {
						t.Fatal(err)
					}
				}
			}
			survivors := s.nodes[x.killed%len(s.nodes):]
			for _, n := range survivors {
				s.await(n.Name()+" is ready", testTimeout, n.Ready)
			}
			var wg sync.WaitGroup
			for i, y := range all {
				wg.Add(1)
				go func() {
					defer wg.Done()
					y.attempt(survivors[i%len(survivors)], fmt.Sprint(y.id, "-again"), y.id, versionedEvents)
				}()
			}
			wg.Wait()
			checkTakes(t, all, x.goesOn)
		})
	}
}

// Guards against hosts that, after the loss of all, know the versions of the present servers only.
func TestSoftwareVersionThatHasLeftOutlivesAllHosts(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name   string
		newer  int // servers of the newer version that replace those of the older one
		goesOn bool
	}{
		{"servers of a newer version only", 3, false},
		{"servers of the older version only", 0, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := startVersions(t, 3, 3, 0, 0)
			all := takeAll(20, func(i int, y *take) { y.attempt(s.nodes[i%len(s.nodes)], y.id, "", 5) })
			s.await("the store has the version", testTimeout, func() bool { return slices.Contains(s.store.Keys("nodes"), "software-version/llm/v1") })
			for i := range x.newer {
				s.addVersionedServer(fmt.Sprint("j-", i), "v1.1", 0)
				s.store.Remove("servers", fmt.Sprint("i-", i))
			}
			for _, n := range s.nodes {
				n.Kill()
			}
			for _, n := range s.nodes {
				if err := n.Start(); err != nil {
					t.Fatal(err)
				}
			}
			for _, n := range s.nodes {
				s.await(n.Name()+" is ready", testTimeout, n.Ready)
			}
			for i, y := range all {
				y.attempt(s.nodes[i%len(s.nodes)], y.id+"-again", y.id, versionedEvents)
			}
			checkTakes(t, all, x.goesOn)
		})
	}
}

// Guards against streams that nobody can go on with, as the hosts that knew their version are lost.
func TestStreamsOfSeveralSoftwareVersionsOutliveAllHosts(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name     string
		nodes    int
		newer    int // servers of the newer version from the beginning
		joining  int // that join after the streams began
		losses   int // of all hosts
		restored bool
	}{
		{name: "both versions serve", nodes: 4, newer: 3, losses: 1},
		{name: "the newer version joins later", nodes: 4, joining: 3, losses: 1},
		{name: "hosts are lost twice", nodes: 4, newer: 3, losses: 2},
		{name: "the store comes back from an older copy", nodes: 4, newer: 3, losses: 1, restored: true},
		{name: "hosts of two data centres exchange reports by gateways", nodes: 28, newer: 3, losses: 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := startVersions(t, x.nodes, 3, x.newer, 0)
			older := s.store.Copy()
			all := takeAll(40, func(i int, y *take) { y.attempt(s.nodes[i%len(s.nodes)], y.id, "", 5) })
			for i := range x.joining {
				s.addVersionedServer(fmt.Sprint("j-", i), "v1.1", 0)
			}
			time.Sleep(storedWithin)
			if x.restored {
				s.restore(older, 0)
				time.Sleep(storedWithin)
			}
			for range x.losses {
				for _, n := range s.nodes {
					n.Kill()
				}
				for _, n := range s.nodes {
					if err := n.Start(); err != nil {
						t.Fatal(err)
					}
				}
				for _, n := range s.nodes {
					s.await(n.Name()+" is ready", testTimeout, n.Ready)
				}
			}
			var wg sync.WaitGroup
			for i, y := range all {
				wg.Add(1)
				go func() {
					defer wg.Done()
					y.attempt(s.nodes[i%len(s.nodes)], y.id+"-again", y.id, versionedEvents)
				}()
			}
			wg.Wait()
			checkTakes(t, all, true)
		})
	}
}

// Guards against hosts that take the version which they know for the only one, while others have
// begun streams at a newer one.
func TestHostOutOfStepGoesOnAtNoOtherSoftwareVersion(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name     string
		frozen   bool // the host stands still while the servers join
		storeOut bool // the store doesn't serve the host
	}{
		{name: "cut off from the others"},
		{name: "cut off from the others and the store", storeOut: true},
		{name: "stood still", frozen: true},
		{name: "stood still and cut off from the store", frozen: true, storeOut: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := addVersions(startLinked(t, 4), 3, 0, 0)
			late := s.nodes[3]
			s.await("the store has the version", testTimeout, func() bool { return slices.Contains(s.store.Keys("nodes"), "software-version/llm/v1") })
			if x.frozen {
				late.Suspend()
			}
			if x.storeOut {
				late.storeEndpoint.SetMode(store.Unavailable)
			}
			for _, n := range s.nodes {
				if err := n.Link().DropData(); err != nil {
					t.Fatal(err)
				}
			}
			for i := range 3 {
				s.addVersionedServer(fmt.Sprint("j-", i), "v1.1", 0)
			}
			if x.frozen {
				time.Sleep(standstill)
			}
			ahead := s.nodes[0]
			s.await("a host knows the newer version", testTimeout, func() bool {
				known := ahead.eventLines("server")
				return slices.ContainsFunc(known, func(line string) bool { return strings.Contains(line, "software=v1.1") })
			})
			all := takeAll(40, func(i int, y *take) {
				y.attempt(ahead, y.id, "", 5)
				if !x.frozen {
					y.attempt(late, y.id+"-again", y.id, 5)
				}
			})
			if x.frozen {
				var wg sync.WaitGroup
				for _, y := range all {
					wg.Go(func() { y.attempt(late, y.id+"-again", y.id, 5) })
				}
				time.Sleep(200 * time.Millisecond)
				late.Resume()
				wg.Wait()
			}
			checkTakes(t, all, false)
			late.storeEndpoint.SetMode(store.Healthy)
			for _, n := range s.nodes {
				n.Link().RemoveFaults()
			}
			var wg sync.WaitGroup
			for _, y := range all {
				wg.Go(func() {
					s.await("a stream goes on once the links carry data", testTimeout, func() bool {
						return y.attempt(late, fmt.Sprint(y.id, "-", time.Now().UnixNano()), y.id, versionedEvents) == http.StatusOK
					})
				})
			}
			wg.Wait()
			checkTakes(t, all, true)
		})
	}
}

// Guards against hosts that reach no other one and refuse streams that the store has.
func TestHostThatIsCutOffFindsStreamsInTheStore(t *testing.T) {
	t.Parallel()
	s := addVersions(startLinked(t, 4), 3, 3, 0)
	for _, n := range s.nodes {
		if err := n.Link().DropData(); err != nil {
			t.Fatal(err)
		}
	}
	late := s.nodes[3]
	s.await("the host reads the store", testTimeout, func() bool { return len(late.eventLines("streams read")) > 0 })
	all := takeAll(40, func(_ int, y *take) { y.attempt(s.nodes[0], y.id, "", 5) })
	time.Sleep(storedWithin)
	var wg sync.WaitGroup
	for _, y := range all {
		wg.Go(func() { y.attempt(late, y.id+"-again", y.id, versionedEvents) })
	}
	wg.Wait()
	checkTakes(t, all, true)
}
