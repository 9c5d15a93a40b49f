package command

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"cicadabeam/core/balance"
	"cicadabeam/io/operator"
)

// A server without a load report is shown as unknown, not as up, and without an age.
func TestServerWithoutReportIsUnknown(t *testing.T) {
	var b bytes.Buffer
	printServers(&Env{out: &b}, operator.Status{Servers: []balance.Status{
		{Server: "engine-1", ReportAge: -1},
		{Server: "engine-2", ReportAge: 0.5, Running: 3},
		{Server: "engine-3", ReportAge: 60},
	}})
	lines := strings.Split(b.String(), "\n")
	for i, want := range []string{"backend servers", "unknown", "up", "silent"} {
		if !strings.Contains(lines[i], want) {
			t.Errorf("line %q does not contain %q", lines[i], want)
		}
	}
	if strings.Contains(lines[1], "ago") || !strings.Contains(lines[2], "reported 3 running 0 waiting, 0.5 s ago") {
		t.Errorf("the ages are wrong:\n%s", b.String())
	}
}

// Guards against "reached never ago".
func TestStatusOfWhatWasNeverReached(t *testing.T) {
	var b bytes.Buffer
	e := &Env{out: &b}
	x := operator.Status{Node: "node-1", Revision: 2, Nodes: []operator.NodeStatus{
		{Name: "node-1", Alive: true}, {Name: "node-2", Alive: true, Heard: time.Now().Add(-4 * time.Second)}, {Name: "node-3"},
	}}
	printNode(e, x)
	printNodes(e, x)
	x.PlatformReached = time.Now().Add(-70 * time.Second)
	printNode(e, x)
	if strings.Contains(b.String(), "never ago") {
		t.Errorf("the status says \"never ago\":\n%s", b.String())
	}
	for _, want := range []string{"platform never reached", "platform reached 1m10s ago", "node-2", "heard 4s ago", "node-3", "never heard"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the status lacks %q:\n%s", want, b.String())
		}
	}
	if strings.Count(b.String(), "heard") != 2 {
		t.Errorf("the status says when the node heard of itself:\n%s", b.String())
	}
}
