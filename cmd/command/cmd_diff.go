package command

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/config"
)

// CmdDiff prints the changes that applying a questionnaire would make.
var CmdDiff = &Cmd{
	name:        "diff",
	description: "print what a questionnaire would change",
	long:        "Compares a questionnaire with the one in force, or with another file.",
	action:      func() action { return &diff{} },
}

type diff struct {
	target
	From string `long:"from" value-name:"FILE" description:"compare with this file instead of the node's questionnaire"`
	JSON bool   `long:"json" description:"print the changes as JSON"`
	Args struct {
		Questionnaire string `positional-arg-name:"QUESTIONNAIRE" required:"true"`
	} `positional-args:"true"`
}

// Run implements action.
func (d *diff) Run(e *Env) error {
	next, err := readQuestionnaire(d.Args.Questionnaire)
	if err != nil {
		return err
	}
	old, err := d.old(e)
	if err != nil {
		return err
	}
	changes := config.Diff(old, next.Text())
	if d.JSON {
		return printJSON(e, changes)
	}
	printChanges(e, changes)
	return nil
}

func (d *diff) old(e *Env) ([]byte, error) {
	if d.From != "" {
		text, err := os.ReadFile(d.From)
		return text, errors.Wrap(err, "read the questionnaire")
	}
	c, err := d.client(e)
	if err != nil {
		return nil, err
	}
	text, _, err := c.Configuration(context.Background())
	return text, err
}
