package command

import (
	"context"

	"cicadabeam/cmd/entry"
)

// CmdEntry runs an entry host on the users' platform.
var CmdEntry = &Cmd{
	name:        "entry",
	description: "run an entry host on the users' platform",
	long:        "Runs an entry host that reads its configuration and servers from the platform's store. SIGTERM finishes the requests in flight before the entry host exits; so does SIGINT, and a second SIGINT stops it at once.",
	action:      func() action { return &entryHost{} },
}

type entryHost struct {
	Settings string `long:"settings" env:"CICADABEAM_CONFIG" value-name:"FILE" required:"true" description:"the entry host's settings"`
}

// Run implements action.
func (x *entryHost) Run(e *Env) error {
	received := notifySignals()
	s, err := entry.Load(x.Settings)
	if err != nil {
		return exitWith(ExitInvalidFile, err)
	}
	n := entry.New(s, e.out)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer received.handle(signalActions{reload: func() { n.CheckSettings(x.Settings) }, drain: n.Drain, stop: cancel})()
	return n.Run(ctx)
}
