package command

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/explain"
)

// CmdExplain reconstructs the course of a request from logs.
var CmdExplain = &Cmd{
	name:        "explain",
	description: "reconstruct the course of a request from logs",
	long:        "Prints the log lines of a request from the logs of all nodes in the order of their times, a summary, what is missing from the logs, and related events logged by the node that first logged the request. Logs may be compressed with gzip. Without files, or with -, it reads standard input.",
	action:      func() action { return &explainRequest{} },
}

type explainRequest struct {
	Arguments struct {
		Request string   `positional-arg-name:"REQUEST" required:"true" description:"the request's ID"`
		Files   []string `positional-arg-name:"FILE" description:"logs of entry hosts"`
	} `positional-args:"true"`
}

// Run implements action.
func (x *explainRequest) Run(e *Env) error {
	r := explain.New(x.Arguments.Request)
	files := x.Arguments.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		if err := readLog(r, name); err != nil {
			return err
		}
	}
	if !r.Found() {
		gaps := strings.Join(append([]string{""}, r.Gaps()...), "\n")
		return exitWith(ExitFailure, errors.Newf("no log line belongs to request %s%s", x.Arguments.Request, gaps))
	}
	return r.Write(e.out)
}

func readLog(r *explain.Report, name string) error {
	if name == "-" {
		return r.AddLog(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open a log file")
	}
	defer func() { _ = f.Close() }()
	return r.AddLog(f)
}
