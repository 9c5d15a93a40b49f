package command

import (
	"context"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"cicadabeam/cmd/node"
	"cicadabeam/cmd/settings"
)

// CmdServe runs an entry host.
var CmdServe = &Cmd{
	name:        "serve",
	description: "run an entry host",
	long:        "Runs an entry host. SIGTERM finishes the requests in flight before the entry host exits; so does SIGINT, and a second SIGINT stops it at once. SIGHUP reloads the log level.",
	action:      func() action { return &serve{} },
}

type serve struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"the node's settings"`
}

// Run implements action.
func (s *serve) Run(e *Env) error {
	received := notifySignals()
	x, err := settings.Load(s.Settings)
	if err != nil {
		return exitWith(ExitInvalidFile, err)
	}
	l := &log.Logger{Handler: logfmt.New(e.err), Level: log.MustParseLevel(x.LogLevel())}
	n := node.New(x, e.version, l.WithField("node", x.Self().Name))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer received.handle(signalActions{reload: func() { s.reload(l) }, drain: n.Drain, stop: cancel})()
	return n.Run(ctx)
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
