package command

import (
	"context"
	"fmt"
	"os/user"

	"github.com/cockroachdb/errors"
	"github.com/fatih/color"

	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/io/operator"
)

// CmdApply applies a questionnaire as the new configuration.
var CmdApply = &Cmd{
	name:        "apply",
	description: "apply a questionnaire as the new configuration",
	long:        "Checks the questionnaire, prints the changes and applies it on all entry hosts, unless the configuration has changed since revision --base (by default: since this command read it). Exits with 4 if it has.",
	action:      func() action { return &apply{} },
}

type apply struct {
	target
	Base   *uint64 `long:"base" value-name:"REVISION" description:"the revision that the questionnaire is based on"`
	By     string  `long:"by" value-name:"NAME" description:"the author, for the audit trail; by default the current user"`
	Note   string  `long:"note" value-name:"TEXT" description:"the reason, for the audit trail"`
	DryRun bool    `long:"dry-run" description:"print the changes without applying them"`
	JSON   bool    `long:"json" description:"print the audit entry as JSON"`
	Args   struct {
		Questionnaire string `positional-arg-name:"QUESTIONNAIRE" required:"true"`
	} `positional-args:"true"`
}

// Run implements action.
func (a *apply) Run(e *Env) error {
	next, err := readQuestionnaire(a.Args.Questionnaire)
	if err != nil {
		return err
	}
	c, err := a.client(e)
	if err != nil {
		return err
	}
	ctx := context.Background()
	old, revision, err := c.Configuration(ctx)
	if err != nil {
		return err
	}
	if a.Base != nil {
		revision = *a.Base
	}
	changes := config.Diff(old, next.Text())
	if !a.JSON {
		printChanges(e, changes)
	}
	if a.DryRun || len(changes) == 0 {
		return nil
	}
	return a.commit(ctx, e, c, next, revision)
}

func (a *apply) commit(ctx context.Context, e *Env, c *operator.Client, next *config.Config, base uint64) error {
	audit, err := c.Apply(ctx, next.Text(), base, a.author(), a.Note)
	if err != nil {
		return applyError(e, err)
	}
	if a.JSON {
		return printJSON(e, audit)
	}
	_, err = fmt.Fprintln(e.out, color.GreenString("accepted"), "as revision", audit.Revision)
	return err
}

func (a *apply) author() string {
	if a.By != "" {
		return a.By
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// applyError returns the error to report for a change that failed. After a conflict it
// first prints the change that was accepted instead. If the failed change may have taken
// effect, the error says so.
func applyError(e *Env, err error) error {
	var x *operator.Error
	if !errors.As(err, &x) {
		return err
	}
	if x.Code() == fault.Conflict {
		if w := x.ConflictingEntry(); w != nil {
			_, _ = fmt.Fprintf(e.err, "revision %d by %s at %s changed:\n", w.Revision, w.By, w.At.Format("2006-01-02 15:04:05"))
			printChanges(&Env{out: e.err}, w.Changes)
		}
		return exitWith(ExitConflict, errors.Wrap(err, "not applied"))
	}
	if x.Ran() == fault.RanUnknown {
		return errors.Wrap(err, "unknown whether the change was applied; see cicadabeam audit")
	}
	return errors.Wrap(err, "not applied")
}

func printChanges(e *Env, changes []config.Change) {
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(e.out, "no change")
	}
	for _, c := range changes {
		_, _ = fmt.Fprintln(e.out, changeColour(c.Kind)("%s", c.String()))
	}
}

func changeColour(kind string) func(format string, a ...any) string {
	switch kind {
	case config.ChangeAdded:
		return color.GreenString
	case config.ChangeRemoved:
		return color.RedString
	default:
		return color.YellowString
	}
}
