package command

import (
	"context"
	"fmt"
)

// CmdShow prints the configuration in force.
var CmdShow = &Cmd{
	name:        "show",
	description: "print the questionnaire in force",
	long:        "Prints the questionnaire in force on the node, after a comment with its revision.",
	action:      func() action { return &show{} },
}

type show struct {
	target
	JSON bool `long:"json" description:"print revision and text as JSON"`
}

type showOutput struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// Run implements action.
func (s *show) Run(e *Env) error {
	c, err := s.client(e)
	if err != nil {
		return err
	}
	text, revision, err := c.Configuration(context.Background())
	if err != nil {
		return err
	}
	if s.JSON {
		return printJSON(e, showOutput{Revision: revision, Text: string(text)})
	}
	_, err = fmt.Fprintf(e.out, "# revision %d\n%s", revision, text)
	return err
}
