package command

import "fmt"

// CmdVersion prints the version.
var CmdVersion = &Cmd{
	name:        "version",
	description: "print the version",
	long:        "Prints the program's version.",
	action:      func() action { return &version{} },
}

type version struct{}

// Run implements action.
func (*version) Run(e *Env) error {
	_, err := fmt.Fprintln(e.out, e.version)
	return err
}
