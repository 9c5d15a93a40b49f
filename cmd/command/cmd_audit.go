package command

import (
	"context"
	"fmt"

	"github.com/fatih/color"
)

// CmdAudit prints the audit trail.
var CmdAudit = &Cmd{
	name:        "audit",
	description: "print the audit trail of configuration changes",
	long:        "Prints the configuration changes with their authors and times, newest first.",
	action:      func() action { return &audit{} },
}

type audit struct {
	target
	Limit int  `long:"limit" default:"20" value-name:"N" description:"the maximum number of entries"`
	JSON  bool `long:"json" description:"print the entries as JSON"`
}

// Run implements action.
func (a *audit) Run(e *Env) error {
	c, err := a.client(e)
	if err != nil {
		return err
	}
	trail, err := c.AuditTrail(context.Background(), a.Limit)
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(e, trail)
	}
	for _, x := range trail {
		_, _ = fmt.Fprintf(e.out, "%s %s by %s on %s %s\n", color.CyanString("revision %d", x.Revision), x.At.Format("2006-01-02 15:04:05"), x.By, x.Node, x.Note)
		for _, change := range x.Changes {
			_, _ = fmt.Fprintln(e.out, "   ", changeColour(change.Kind)("%s", change.String()))
		}
	}
	return nil
}
