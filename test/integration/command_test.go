package integration

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/records"
	"cicadabeam/io/operator"
	"cicadabeam/test/cluster"
)

// runCommand runs the program with arguments, checks its exit code and returns its
// output.
func runCommand(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	c := exec.Command(filepath.Join(binaryDir, "cicadabeam"), args...)
	c.Stdout, c.Stderr = &out, &out
	err := c.Run()
	code := 0
	var x *exec.ExitError
	if errors.As(err, &x) {
		code = x.ExitCode()
	}
	if code != want {
		t.Fatalf("cicadabeam %s: exit code %d, not %d\n%s", strings.Join(args, " "), code, want, out.String())
	}
	return out.String()
}

func checkContains(t *testing.T, out string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(out, p) {
			t.Errorf("%q is missing from the output:\n%s", p, out)
		}
	}
}

// All subcommands print what operators need and exit with the documented codes, and a
// change to an outdated base revision is not applied.
func TestCommands(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{NodesPerDataCentre: 2, EnginesPerDataCentre: 1, AppsPerDataCentre: 1})
	settings := c.Node(0).SettingsPath()
	file := filepath.Join(t.TempDir(), "q.ini")
	must(t, os.WriteFile(file, []byte(withModel(c, "quotes")), 0o600))
	checkContains(t, runCommand(t, 0, "--help"), "serve", "apply", "status", "audit")
	checkContains(t, runCommand(t, 0, "version"), ".")
	checkContains(t, runCommand(t, 0, "man"), ".SH COMMANDS")
	checkContains(t, runCommand(t, 2, "apply"), "QUESTIONNAIRE")
	checkContains(t, runCommand(t, 2, "status"), "give --settings or --node")
	checkContains(t, runCommand(t, 2, "status", "extra", "--settings", settings), "unexpected argument")
	checkContains(t, runCommand(t, 0, "check", "--settings", settings, "--questionnaire", file), "ok", "3 organisations")
	checkContains(t, runCommand(t, 0, "diff", "--settings", settings, file), "+ [service extra] model = quotes")
	checkContains(t, runCommand(t, 0, "apply", "--settings", settings, "--by", "amina", "--note", "more", "--dry-run", file), "+ [service extra]")
	checkContains(t, runCommand(t, 0, "apply", "--settings", settings, "--by", "amina", "--note", "more", file), "accepted as revision 2")
	checkContains(t, runCommand(t, 0, "apply", "--settings", settings, file), "no change")
	must(t, os.WriteFile(file, []byte(withModel(c, "other")), 0o600))
	checkContains(t, runCommand(t, 4, "apply", "--settings", settings, "--base", "1", "--by", "rosa", file), "revision 2 by amina", "not applied")
	checkContains(t, runCommand(t, 0, "show", "--settings", settings), "# revision 2", "model = quotes")
	checkContains(t, runCommand(t, 0, "audit", "--settings", settings), "revision 2", "by amina", "more", "+ [service extra] model = quotes")
	checkContains(t, runCommand(t, 0, "status", "--settings", settings), "node-1", "node-2", "alive", "engine-1", "revision 2", "unprotected answers 0")
	checkContains(t, runCommand(t, 0, "key", "--hash", "key-forge"), "key-sha256 = ")
	checkJSON(t, settings)
}

// checkJSON checks the output of commands with --json.
func checkJSON(t *testing.T, settings string) {
	t.Helper()
	var s operator.Status
	must(t, json.Unmarshal([]byte(runCommand(t, 0, "status", "--json", "--settings", settings)), &s))
	if s.Node != "node-1" || s.Revision != 2 || len(s.Nodes) != 2 || len(s.Servers) != 2 {
		t.Errorf("%+v", s)
	}
	var trail []records.AuditEntry
	must(t, json.Unmarshal([]byte(runCommand(t, 0, "audit", "--json", "--settings", settings)), &trail))
	if len(trail) != 2 || trail[0].By != "amina" {
		t.Errorf("%+v", trail)
	}
}

// The check command reports every problem of a file with its line, not only the first.
func TestCheckReportsAllProblems(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "bad.ini")
	must(t, os.WriteFile(file, []byte("[server a]\nslots = many\n[organisation b]\nkeys = x\n"), 0o600))
	checkContains(t, runCommand(t, 3, "check", "--questionnaire", file), "bad.ini:2: [server a] slots", "[server a] address", "bad.ini:4: [organisation b] keys: is an unknown key")
	checkContains(t, runCommand(t, 3, "check", file), "bad.ini:2: [server a] slots")
	checkContains(t, runCommand(t, 3, "check", "--settings", file), "[node] name: is missing", "is an unknown section")
	checkContains(t, runCommand(t, 3, "serve", "--settings", file), "[node] name: is missing")
}

// Metrics are named as docs/OPERATIONS.md says, and SIGHUP reloads the log level.
func TestMetricsAndReload(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{EnginesPerDataCentre: 1})
	n := c.Node(0)
	checkComplete(t, c, n.Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=20"}), 20)
	names := []string{`cicadabeam_requests{outcome="ok"} 1`, "cicadabeam_first_token_seconds_bucket", "cicadabeam_configuration_revision 1", "cicadabeam_answers_unprotected", "cicadabeam_peer_sent_bytes"}
	await(t, "all metrics are exported", func() bool {
		text := n.Metrics()
		for _, name := range names {
			if !contains(text, name) {
				return false
			}
		}
		return true
	})
	settings, err := os.ReadFile(n.SettingsPath())
	must(t, err)
	must(t, os.WriteFile(n.SettingsPath(), bytes.Replace(settings, []byte("level = debug"), []byte("level = loud"), 1), 0o600))
	n.Signal(syscall.SIGHUP)
	awaitLog(t, n, "settings not reloaded")
	must(t, os.WriteFile(n.SettingsPath(), bytes.Replace(settings, []byte("level = debug"), []byte("level = info"), 1), 0o600))
	n.Signal(syscall.SIGHUP)
	awaitLog(t, n, "settings reloaded")
	checkComplete(t, c, n.Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=20"}), 20)
}

func awaitLog(t *testing.T, n *cluster.Node, line string) {
	t.Helper()
	await(t, line, func() bool {
		b, err := os.ReadFile(n.OutputPath())
		return err == nil && contains(string(b), line)
	})
}

// The examples in docs/examples are accepted by the check command.
func TestExamples(t *testing.T) {
	t.Parallel()
	const examples = "../../docs/examples/"
	for _, q := range []string{"local.ini", "ndox-jamm.ini", "forjas-castaneda.ini"} {
		checkContains(t, runCommand(t, 0, "check", "--settings", examples+"node.ini", "--questionnaire", examples+q), "ok")
	}
}
