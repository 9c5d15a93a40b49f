package command

import (
	"bytes"
	"strings"
	"testing"

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
