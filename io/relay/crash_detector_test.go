package relay

import (
	"strings"
	"testing"
)

// Callers name the parts of prompts.
func TestLoggedPromptPartsAreBounded(t *testing.T) {
	var parts []string
	for range 1000 {
		parts = append(parts, strings.Repeat("x", 1000))
	}
	if n := len(strings.Join(partNames(parts), ",")); n > 1100 {
		t.Errorf("%d bytes are logged", n)
	}
}
