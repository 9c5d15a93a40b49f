package command

// CmdMan prints the manual page.
var CmdMan = &Cmd{
	name:        "man",
	description: "print the manual page",
	long:        "Prints the manual page, generated from the same table as the help.",
	action:      func() action { return &man{} },
}

type man struct{}

// Run implements action.
func (*man) Run(e *Env) error {
	e.writeManual(e.out)
	return nil
}
