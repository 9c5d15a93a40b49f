// Command cicadabeam serves long model generations on engines that fail, and is
// the operators' tool.
package main

import (
	"os"

	"cicadabeam/cmd/command"
)

func main() {
	os.Exit(command.Run(os.Args, os.Environ(), version()))
}
