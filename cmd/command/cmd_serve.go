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
	long:        "Runs an entry host. SIGTERM finishes the requests in flight before the entry host exits; a second SIGTERM stops it at once. SIGHUP reloads the log level.",
	action:      func() action { return &serve{} },
}

type serve struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"the node's settings"`
}

// Run implements action.
func (s *serve) Run(e *Env) error {
	x, err := settings.Load(s.Settings)
	if err != nil {
		return exitWith(ExitInvalidFile, err)
	}
	l := &log.Logger{Handler: logfmt.New(e.err), Level: log.MustParseLevel(x.LogLevel())}
	n := node.New(x, e.version, l.WithField("node", x.Self().Name))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	go s.handleSignals(signals, n, l, cancel)
	return n.Run(ctx)
}

// handleSignals drains the node at the first SIGTERM or SIGINT and stops it at the second.
// At SIGHUP it reloads the log level.
func (s *serve) handleSignals(signals <-chan os.Signal, n *node.Node, l *log.Logger, stop func()) {
	draining := false
	for x := range signals {
		switch {
		case x == syscall.SIGHUP:
			s.reload(l)
		case draining:
			stop()
		default:
			draining = true
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
