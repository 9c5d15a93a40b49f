package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"cicadabeam/cmd/node"
	"cicadabeam/cmd/settings"
)

// CmdServe runs an entry host.
var CmdServe = &Cmd{
	name:        "serve",
	description: "run an entry host",
	long:        "Runs an entry host until SIGTERM, which finishes what is under way first; a second SIGTERM stops at once. SIGHUP reads the log level anew.",
	action:      func() action { return &serve{} },
}

type serve struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"the node's settings"`
}

// Run implements action.
func (s *serve) Run(e *Env) error {
	x, err := settings.Load(s.Settings)
	if err != nil {
		return exitWith(ExitProblems, err)
	}
	l := &log.Logger{Handler: logfmt.New(e.err), Level: log.MustParseLevel(x.LogLevel())}
	n := node.New(x, e.version, l.WithField("node", x.Self().Name))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	go s.obey(signals, n, l, cancel)
	return n.Run(ctx)
}

// obey drains at the first request to stop and stops at the second.
func (s *serve) obey(signals <-chan os.Signal, n *node.Node, l *log.Logger, stop func()) {
	asked := false
	for x := range signals {
		switch {
		case x == syscall.SIGHUP:
			s.reload(l)
		case asked:
			stop()
		default:
			asked = true
			n.Drain()
		}
	}
}

func (s *serve) reload(l *log.Logger) {
	x, err := settings.Load(s.Settings)
	if err != nil {
		l.WithFields(log.Fields{"step": "reload", "error": err.Error()}).Error("settings not reloaded")
		return
	}
	l.Level = log.MustParseLevel(x.LogLevel())
	l.WithField("level", x.LogLevel()).Info("settings reloaded")
}
