package main

import (
	_ "embed"
	"strings"
)

//go:embed version.txt
var versionText string

func version() string { return strings.TrimSpace(versionText) }
