// Command cicadabeam runs entry hosts, which serve long model generations and resume
// them when engines fail. It is also the operators' command-line tool.
package main

import (
	"os"

	"cicadabeam/cmd/command"
)

func main() {
	os.Exit(command.Run(os.Args, os.Environ(), version()))
}
