package entry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabeam/core/catalog"
	"cicadabeam/core/freshness"
	"cicadabeam/core/streamversion"
	"cicadabeam/io/neighbour"
	"cicadabeam/platform"
)

// modelStore is a server table with its history. The states are "ready" and "draining".
type modelStore struct {
	era     uint64
	changes []platform.Row // in order of version
}

func (s *modelStore) version() uint64 { return uint64(len(s.changes)) }

func (s *modelStore) write(id, state string) {
	r := platform.Row{Key: id, Version: s.version() + 1, Deleted: state == "gone"}
	if !r.Deleted {
		r.Value = fmt.Appendf(nil, `{"Service":"orders","Address":"10.0.0.1:%s","Zone":"a","Version":"v1","Slots":6,"State":%q,"born":5}`, id[1:], state)
	}
	s.changes = append(s.changes, r)
}

// at returns the rows as of a version.
func (s *modelStore) at(version uint64) map[string]platform.Row {
	rows := make(map[string]platform.Row)
	for _, r := range s.changes[:version] {
		if rows[r.Key] = r; r.Deleted {
			delete(rows, r.Key)
		}
	}
	return rows
}

// answer returns the content of the table, or its changes since a version.
func (s *modelStore) answer(whole bool, since uint64) tableUpdate {
	u := tableUpdate{full: whole, page: platform.Page{Era: s.era, Version: s.version(), Rows: slices.Clone(s.changes[since:])}}
	if whole {
		u.page.Rows = slices.Collect(maps.Values(s.at(s.version())))
	}
	return u
}

// peerAnswer returns what a peer says that knows the newest version.
func (s *modelStore) peerAnswer(t interface{ Fatal(args ...any) }, whole bool, since uint64) neighbour.ServerList {
	x := neighbour.ServerList{Fact: neighbour.VersionInfo{Known: true, Era: s.era, Version: s.version()}, Whole: whole}
	rows := s.at(s.version())
	for _, r := range rows {
		v, err := platform.DecodeServer(r)
		if err != nil {
			t.Fatal(err)
		}
		x.Changes = append(x.Changes, neighbour.ServerChange{Server: v})
	}
	for _, r := range s.changes[since:] {
		if _, found := rows[r.Key]; !found && !whole {
			c := neighbour.ServerChange{Gone: true}
			c.Server.ID = r.Key
			x.Changes = append(x.Changes, c)
		}
	}
	return x
}

// knownServers returns the state of each server as a host knows it.
func (n *Node) knownServers() map[string]string {
	all := make(map[string]string)
	for _, r := range n.fleet.Registered() {
		switch {
		case !r.DeregisteredAt.IsZero():
		case r.Server.Leaving:
			all[r.Server.ID] = "draining"
		default:
			all[r.Server.ID] = "ready"
		}
	}
	return all
}

func (s *modelStore) states(version uint64) map[string]string {
	all := make(map[string]string)
	for id, r := range s.at(version) {
		v, _ := platform.DecodeServer(r)
		all[id] = map[bool]string{true: "draining", false: "ready"}[v.Leaving]
	}
	return all
}

// Guards against a draining server that a held-up answer of the store makes ready again, and a new
// one that it removes.
func TestHeldUpAnswerIsNotAppliedOverNewerList(t *testing.T) {
	older := func(whole bool) tableUpdate {
		s := modelStore{era: 1}
		s.write("s1", "ready")
		s.write("s3", "ready")
		return s.answer(whole, 0)
	}
	cases := map[string]func(n *Node){
		"whole table":           func(n *Node) { n.applyServerUpdate(older(true)) },
		"changes":               func(n *Node) { n.applyServerUpdate(older(false)) },
		"whole list of a peer":  func(n *Node) { n.applyPeerServers((&modelStore{era: 1}).peerAnswer(t, true, 0), 0, "node-2") },
		"whole table, same age": func(n *Node) { u := older(true); u.page.Version = 5; n.applyServerUpdate(u) },
		"older era, many changes": func(n *Node) {
			u := older(true)
			u.page.Version, u.page.Era = 99, 0
			n.applyServerUpdate(u)
		},
		"changes that begin before the list": func(n *Node) {
			u := older(false)
			u.page.Version = 6 // that of another table's change
			n.applyServerUpdate(u)
		},
	}
	for name, apply := range cases {
		n := newTestNode()
		s := modelStore{era: 1}
		for _, x := range [][2]string{{"s1", "ready"}, {"s3", "ready"}, {"s1", "draining"}, {"s2", "ready"}, {"s3", "gone"}} {
			s.write(x[0], x[1])
		}
		n.applyPeerServers(s.peerAnswer(t, true, 0), 0, "node-2")
		apply(n)
		if got, want := n.knownServers(), s.states(s.version()); !maps.Equal(got, want) {
			t.Errorf("%s: got servers %v, want %v", name, got, want)
		}
	}
}

// Answers of the store and of peers arrive at any time after they were asked for, in any order. What a
// host knows never goes back, and is exactly the table as of the version that it tells its peers.
func TestServersAreThoseOfTheirVersionInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, s := newTestNode(), &modelStore{era: 1}
		type query struct {
			peer, whole bool
			since       uint64
		}
		var asked []query
		var answered []func()
		var newest freshness.StoreVersion
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"write", "ask", "answer", "arrive", "arrive"}).Draw(t, "step") {
			case "write":
				s.write(fmt.Sprint("s", rapid.IntRange(1, 4).Draw(t, "server")), rapid.SampledFrom([]string{"ready", "draining", "gone"}).Draw(t, "state"))
			case "ask":
				known, at := n.serverFreshness.at()
				asked = append(asked, query{peer: rapid.Bool().Draw(t, "peer"), whole: !known || rapid.Bool().Draw(t, "whole"), since: at.Version})
			case "answer":
				if len(asked) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(asked)-1).Draw(t, "query")
				q := asked[i]
				asked = slices.Delete(asked, i, i+1)
				var apply func()
				if q.peer {
					x := s.peerAnswer(t, q.whole, q.since)
					apply = func() { n.applyPeerServers(x, 0, "node-2") }
				} else {
					u := s.answer(q.whole, q.since)
					apply = func() { n.applyServerUpdate(u) }
				}
				answered = append(answered, apply)
			case "arrive":
				if len(answered) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(answered)-1).Draw(t, "answer")
				answered[i]()
				answered = slices.Delete(answered, i, i+1)
			}
			known, at := n.serverFreshness.at()
			if newest.After(at) {
				t.Fatalf("the version went back from %v to %v", newest, at)
			}
			newest = at
			if got, want := n.knownServers(), s.states(at.Version); known && !maps.Equal(got, want) {
				t.Fatalf("as of version %d: got servers %v, want %v", at.Version, got, want)
			}
		}
	})
}

// What a host tells a peer must not be newer than the version that it names, or an answer of the
// store that was held up is applied over it there.
func TestServersAreToldWithTheirVersion(t *testing.T) {
	n, s := newTestNode(), &modelStore{era: 1}
	s.write("s1", "ready")
	n.applyServerUpdate(s.answer(true, 0))
	stop := time.Now().Add(300 * time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; time.Now().Before(stop) && i < 20_000; i++ {
			s.write("s1", []string{"draining", "ready"}[i%2])
			n.applyServerUpdate(s.answer(false, s.version()-1))
		}
	}()
	for told := 0; ; told++ {
		x := n.Servers(freshness.StoreVersion{})
		if len(x.Changes) != 1 || x.Changes[0].Server.Leaving != (x.Fact.Version%2 == 0) {
			t.Fatalf("version %d was told with %+v", x.Fact.Version, x.Changes)
		}
		select {
		case <-done:
			if told < 100 {
				t.Errorf("only %d lists were told", told)
			}
			return
		default:
		}
	}
}

// Entries and configurations come in any order. Software versions of services that nobody configured
// are not kept.
func TestVersionsAreThoseOfConfiguredServices(t *testing.T) {
	entry := func(id, service string) platform.Row {
		return platform.Row{Key: id, Version: 1, Value: fmt.Appendf(nil, `{"Service":%q,"Address":"10.0.0.1:1","Zone":"a","Version":"v1","Slots":6,"State":"ready","born":5}`, service)}
	}
	update := tableUpdate{full: true, page: platform.Page{Version: 1, Rows: []platform.Row{entry("s1", "orders"), entry("s2", "printing")}}}
	orders := catalog.New(catalog.Spec{Revision: 1, Services: []catalog.Service{{Name: "orders"}}})
	for name, steps := range map[string][]func(n *Node){
		"configuration first": {func(n *Node) { n.installCatalog(orders) }, func(n *Node) { n.applyServerUpdate(update) }},
		"entries first":       {func(n *Node) { n.applyServerUpdate(update) }, func(n *Node) { n.installCatalog(orders) }},
	} {
		n := newTestNode()
		n.streamVersions.MergeStored(nil, time.Now())
		for _, step := range steps {
			step(n)
		}
		versions, _ := n.streamVersions.Unstored(time.Now())
		if want := []streamversion.ServiceVersion{{Service: "orders", Version: "v1"}}; !slices.Equal(versions, want) {
			t.Errorf("%s: got versions %v, want %v", name, versions, want)
		}
	}
}
