package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cicadabeam/cmd/entry"
)

// CmdEntry runs an entry host on the users' platform.
var CmdEntry = &Cmd{
	name:        "entry",
	description: "run an entry host on the users' platform",
	long:        "Runs an entry host that reads its configuration and servers from the platform's store. SIGTERM finishes the requests in flight before the entry host exits; a second SIGTERM stops it at once.",
	action:      func() action { return &entryHost{} },
}

type entryHost struct {
	Settings string `long:"settings" env:"CICADABEAM_CONFIG" value-name:"FILE" required:"true" description:"the entry host's settings"`
}

// Run implements action.
func (x *entryHost) Run(e *Env) error {
	s, err := entry.Load(x.Settings)
	if err != nil {
		return exitWith(ExitInvalidFile, err)
	}
	n := entry.New(s, e.out)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	go x.handleSignals(signals, n, cancel)
	return n.Run(ctx)
}

// handleSignals drains the node at the first SIGTERM or SIGINT and stops it at the second.
// At SIGHUP it checks the settings file; changed settings take effect at the next start.
func (x *entryHost) handleSignals(signals <-chan os.Signal, n *entry.Node, stop func()) {
	draining := false
	for s := range signals {
		switch {
		case s == syscall.SIGHUP:
			n.CheckSettings(x.Settings)
		case draining:
			stop()
		default:
			draining = true
			n.Drain()
		}
	}
}
