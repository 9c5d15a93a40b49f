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
	long:        "Runs an entry host that takes configuration and servers from the platform's store, until SIGTERM, which finishes what is under way first; a second SIGTERM stops at once.",
	action:      func() action { return &entryHost{} },
}

type entryHost struct {
	Settings string `long:"settings" env:"CICADABEAM_CONFIG" value-name:"FILE" required:"true" description:"the entry host's settings"`
}

// Run implements action.
func (x *entryHost) Run(e *Env) error {
	s, err := entry.Load(x.Settings)
	if err != nil {
		return exitWith(ExitProblems, err)
	}
	n := entry.New(s, e.out)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	go x.obey(signals, n, cancel)
	return n.Run(ctx)
}

// obey drains at the first request to stop and stops at the second.
func (x *entryHost) obey(signals <-chan os.Signal, n *entry.Node, stop func()) {
	asked := false
	for s := range signals {
		switch {
		case s == syscall.SIGHUP:
			n.Reload(x.Settings)
		case asked:
			stop()
		default:
			asked = true
			n.Drain()
		}
	}
}
