package cluster

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestKeptOutputHasBeginAndEnd(t *testing.T) {
	dir := t.TempDir()
	from, to := filepath.Join(dir, "long"), filepath.Join(dir, "kept")
	if err := os.WriteFile(from, []byte("begin-"+strings.Repeat("x", 1000)+"-end"), outputMode); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		limit int64
		size  int
	}{{40, 100}, {5000, 1010}} {
		if err := copyOutput(from, to, x.limit); err != nil {
			t.Fatal(err)
		}
		b, err := os.ReadFile(to)
		if err != nil {
			t.Fatal(err)
		}
		if s := string(b); !strings.HasPrefix(s, "begin-") || !strings.HasSuffix(s, "-end") || len(s) > x.size {
			t.Errorf("limit %d: kept %q", x.limit, s)
		}
	}
}

func TestOutputIsKeptInTheNamedFolder(t *testing.T) {
	dir := t.TempDir()
	t.Setenv(LogsVariable, dir)
	p := NewProcess("node-0", "", filepath.Join(dir, "output"))
	if err := os.WriteFile(p.OutputPath(), []byte("message=started server=i-1\nmessage=x server=i-17\n"), outputMode); err != nil {
		t.Fatal(err)
	}
	folder, err := KeepOutput("TestA/some case,_b", p)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := os.ReadFile(filepath.Join(folder, "node-0.log")); err != nil || filepath.Dir(folder) != dir || len(b) == 0 {
		t.Errorf("kept %q in %s, error %v", b, folder, err)
	}
	if got := p.OutputLines([]string{"i-1", "c1-2"}, 5); len(got) != 1 || !strings.Contains(got[0], "started") {
		t.Errorf("got lines %q of i-1", got)
	}
}
