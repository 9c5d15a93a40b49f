// Package command implements the subcommands of the cicadabeam program, one in each
// file, and the table from which its help is generated.
//
// # Usage
//
//	os.Exit(command.Run(os.Args, os.Environ(), version))
package command

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fatih/color"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalidFile = 3 // a settings file or questionnaire is invalid
	ExitConflict    = 4 // another change was accepted first
)

// Env is the process environment of a command.
type Env struct {
	version     string
	vars        []string
	out         io.Writer
	err         io.Writer
	writeManual func(io.Writer)
}

// Getenv returns the value of an environment variable, or "" if it is not set.
func (e *Env) Getenv(name string) string {
	for _, v := range e.vars {
		if value, found := strings.CutPrefix(v, name+"="); found {
			return value
		}
	}
	return ""
}

// action holds the parsed arguments of a command and runs it.
type action interface {
	Run(e *Env) error
}

// Cmd describes a subcommand.
type Cmd struct {
	name        string
	description string
	long        string
	action      func() action
}

var commands = []*Cmd{
	CmdServe,
	CmdEntry,
	CmdCheck,
	CmdApply,
	CmdShow,
	CmdDiff,
	CmdAudit,
	CmdStatus,
	CmdExplain,
	CmdKey,
	CmdMan,
	CmdVersion,
}

// exitError is an error with the exit code to return for it.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, err error) error { return &exitError{code: code, err: err} }

// Run runs the command that argv names and returns the exit code.
func Run(argv, environ []string, version string) int {
	return run(argv, &Env{version: version, vars: environ, out: os.Stdout, err: os.Stderr})
}

func run(argv []string, e *Env) int {
	p := flags.NewNamedParser("cicadabeam", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "serves long model generations and resumes them when engines fail"
	actions := make(map[string]action, len(commands))
	for _, c := range commands {
		a := c.action()
		if _, err := p.AddCommand(c.name, c.description, c.long, a); err != nil {
			return report(e, err)
		}
		actions[c.name] = a
	}
	e.writeManual = p.WriteManPage
	rest, err := p.ParseArgs(argv[1:])
	if err == nil && len(rest) > 0 {
		err = exitWith(ExitUsage, errors.Newf("unexpected argument %q; see cicadabeam %s --help", rest[0], p.Active.Name))
	}
	if err == nil {
		err = actions[p.Active.Name].Run(e)
	}
	return report(e, err)
}

// report prints an error and returns its exit code.
func report(e *Env, err error) int {
	if err == nil {
		return ExitOK
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(e.out, f.Message)
		return ExitOK
	}
	_, _ = fmt.Fprintln(e.err, color.RedString("cicadabeam:"), err)
	if f != nil {
		return ExitUsage
	}
	var x *exitError
	if errors.As(err, &x) {
		return x.code
	}
	return ExitFailure
}
