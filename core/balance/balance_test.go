package balance_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/balance"
	"cicadabeam/core/config"
)

// servers returns two servers in each of three data centres, ordered by name: far,
// near, next. Data centre far is in another region than the other two.
func servers(t *testing.T) []config.Server {
	t.Helper()
	text := "[region r]\n[region q]\n[data-centre near]\nregion = r\n[data-centre next]\nregion = r\n[data-centre far]\nregion = q\n[service s]\nmodel = m\n"
	for i, dc := range []string{"near", "near", "next", "next", "far", "far"} {
		text += fmt.Sprintf("[server %s-%d]\ndata-centre = %s\naddress = http://10.0.0.1:%d\nslots = 2\nservices = s\n", dc, i, dc, i+1)
	}
	c, err := config.Parse("t", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c.Servers("s")
}

func query(all []config.Server, r config.Recovery) balance.Query {
	tiers := map[string]int{"near": 0, "next": 1, "far": 2}
	return balance.Query{Candidates: all, Tier: func(dc string) int { return tiers[dc] }, Recovery: r, Now: time.Now()}
}

// reserveAll reserves servers until none is found. It returns the number of
// reservations in each data centre and the last result.
func reserveAll(x *balance.Table, q balance.Query) (map[string]int, balance.Result) {
	got := make(map[string]int)
	for {
		s, result := x.Reserve(q)
		if result != balance.Reserved {
			return got, result
		}
		got[s.DataCentre()]++
	}
}

func TestTiers(t *testing.T) {
	all := servers(t)
	got, result := reserveAll(balance.New(), query(all, config.RecoveryLatency))
	if got["near"] != 4 || got["next"] != 4 || got["far"] != 0 || result != balance.Full {
		t.Errorf("latency: %v, %v", got, result)
	}
	got, result = reserveAll(balance.New(), query(all, config.RecoveryCost))
	if got["near"] != 4 || len(got) != 1 || result != balance.Full {
		t.Errorf("cost: %v, %v", got, result)
	}
	got, _ = reserveAll(balance.New(), query(all[:2], config.RecoveryCost))
	if got["far"] != 4 {
		t.Errorf("cost, servers only in another region: %v", got)
	}
}

func TestLeavingDownAndExcluded(t *testing.T) {
	all := servers(t)
	x := balance.New()
	q := query(all, config.RecoveryLatency)
	q.Exclude = map[string]bool{"next-2": true}
	now := time.Now()
	x.ApplyNotices(balance.LeaveNotice{Server: "near-0", Source: balance.FromHostList, Leaving: true, At: 5})
	x.SetDown("near-1", now.Add(time.Minute))
	got, _ := reserveAll(x, q)
	if got["near"] != 0 || got["next"] != 2 {
		t.Errorf("with servers leaving, down and excluded: %v", got)
	}
	if x.ApplyNotices(balance.LeaveNotice{Server: "near-0", Source: balance.FromHostList, Leaving: false, At: 4}) {
		t.Error("an older notice was applied")
	}
	x.ApplyNotices(balance.LeaveNotice{Server: "near-0", Source: balance.FromHostList, Leaving: false, At: 6})
	if got, _ := reserveAll(x, q); got["near"] != 2 {
		t.Errorf("after the notice was withdrawn: %v", got)
	}
	for _, s := range all {
		x.ApplyNotices(balance.LeaveNotice{Server: s.Name(), Source: balance.FromServer, Leaving: true, At: 9})
	}
	if _, result := x.Reserve(q); result != balance.NoServer {
		t.Errorf("result %v with all servers leaving", result)
	}
}

// A load report counts against the server's slots, and a report older than the
// last one is ignored.
func TestReports(t *testing.T) {
	all := servers(t)[2:4] // the servers in data centre near
	x := balance.New()
	now := time.Now()
	for _, s := range all {
		x.Report(balance.Report{Server: s.Name(), Running: 2, At: 10}, now)
	}
	if _, result := x.Reserve(query(all, config.RecoveryLatency)); result == balance.Reserved {
		t.Error("a full server was reserved")
	}
	x.Report(balance.Report{Server: all[0].Name(), At: 9}, now)
	if _, result := x.Reserve(query(all, config.RecoveryLatency)); result == balance.Reserved {
		t.Error("an older report was applied")
	}
	x.Report(balance.Report{Server: all[0].Name(), At: 11}, now)
	if s, result := x.Reserve(query(all, config.RecoveryLatency)); result != balance.Reserved || s.Name() != all[0].Name() {
		t.Errorf("%v", result)
	}
}

// Requests with the same prefix go to the same server while it is not overloaded.
func TestPrefixAffinity(t *testing.T) {
	all := servers(t)[2:4]
	q := query(all, config.RecoveryLatency)
	q.Prefix = "m/1"
	first := ""
	for range 20 {
		x := balance.New()
		s, _ := x.Reserve(q)
		if first == "" {
			first = s.Name()
		}
		if s.Name() != first {
			t.Fatal("requests with one prefix were sent to two idle servers")
		}
	}
}
