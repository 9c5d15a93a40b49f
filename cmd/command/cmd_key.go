package command

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/config"
)

// CmdKey generates an API key.
var CmdKey = &Cmd{
	name:        "key",
	description: "generate an API key for an organisation",
	long:        "Prints a new API key and the line for the questionnaire, which contains only the key's SHA-256.",
	action:      func() action { return &key{} },
}

const keyBytes = 24

type key struct {
	Hash string `long:"hash" value-name:"KEY" description:"print the line for this key instead of a new one"`
}

// Run implements action.
func (k *key) Run(e *Env) error {
	value := k.Hash
	if value == "" {
		b := make([]byte, keyBytes)
		if _, err := rand.Read(b); err != nil {
			return errors.Wrap(err, "generate a key")
		}
		value = "cb-" + hex.EncodeToString(b)
		_, _ = fmt.Fprintln(e.out, "# key:", value)
	}
	_, err := fmt.Fprintln(e.out, "key-sha256 =", config.HashKey(value))
	return err
}
