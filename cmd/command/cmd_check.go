package command

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/fatih/color"

	"cicadabeam/cmd/entry"
	"cicadabeam/cmd/settings"
	"cicadabeam/core/config"
)

// CmdCheck validates settings files and questionnaires without starting a node.
var CmdCheck = &Cmd{
	name:        "check",
	description: "check settings or a questionnaire",
	long:        "Checks the files without starting a node and prints every problem with its file, line, section and key. Exits with 3 if there are any.",
	action:      func() action { return &check{} },
}

type check struct {
	Settings      string `long:"settings" value-name:"FILE" description:"the settings of a node"`
	Entry         string `long:"entry" value-name:"FILE" description:"the settings of an entry host on the users' platform"`
	Questionnaire string `long:"questionnaire" value-name:"FILE" description:"a questionnaire"`
	Args          struct {
		Questionnaire string `positional-arg-name:"QUESTIONNAIRE" description:"a questionnaire, as for apply and diff"`
	} `positional-args:"true"`
}

// Run implements action.
func (c *check) Run(e *Env) error {
	if c.Questionnaire == "" {
		c.Questionnaire = c.Args.Questionnaire
	}
	if c.Settings == "" && c.Questionnaire == "" && c.Entry == "" {
		return exitWith(ExitUsage, errors.New("give --settings, --entry or a questionnaire"))
	}
	if c.Entry != "" {
		if _, err := entry.Load(c.Entry); err != nil {
			return exitWith(ExitInvalidFile, err)
		}
		c.printOK(e, c.Entry, "")
	}
	if c.Settings != "" {
		if _, err := settings.Load(c.Settings); err != nil {
			return exitWith(ExitInvalidFile, err)
		}
		c.printOK(e, c.Settings, "")
	}
	if c.Questionnaire == "" {
		return nil
	}
	x, err := readQuestionnaire(c.Questionnaire)
	if err != nil {
		return err
	}
	c.printOK(e, c.Questionnaire, fmt.Sprintf(" (%d organisations, %d services, %d backend servers)", len(x.Organisations()), len(x.Services()), len(x.AllServers())))
	return nil
}

func (c *check) printOK(e *Env, file, details string) {
	_, _ = fmt.Fprintln(e.out, color.GreenString("ok"), file+details)
}

func readQuestionnaire(path string) (*config.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the questionnaire")
	}
	c, err := config.Parse(path, text)
	if err != nil {
		return nil, exitWith(ExitInvalidFile, err)
	}
	return c, nil
}
