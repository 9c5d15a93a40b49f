package command

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"cicadabeam/cmd/settings"
	"cicadabeam/io/operator"
)

// secretEnvVar names the environment variable with the operator secret.
const secretEnvVar = "CICADABEAM_OPERATOR_SECRET"

// target holds the flags that select the node to connect to and authenticate the operator.
type target struct {
	Settings   string `long:"settings" value-name:"FILE" description:"a node's settings, which contain its address and the operator secret"`
	NodeURL    string `long:"node" value-name:"URL" description:"the node's listener for operators, such as http://10.0.0.1:8081"`
	CAFile     string `long:"authority" value-name:"FILE" description:"file with the CA certificates that verify a node at an https URL"`
	SecretFile string `long:"secret-file" value-name:"FILE" description:"file with the operator secret; by default the secret is read from CICADABEAM_OPERATOR_SECRET"`
}

func (t target) client(e *Env) (*operator.Client, error) {
	if t.Settings != "" {
		s, err := settings.Load(t.Settings)
		if err != nil {
			return nil, exitWith(ExitInvalidFile, err)
		}
		return operator.NewClient(s.OperatorBaseURL(), s.OperatorSecret(), s.OperatorClientTLS()), nil
	}
	if t.NodeURL == "" {
		return nil, exitWith(ExitUsage, errors.New("give --settings or --node"))
	}
	secret := e.Getenv(secretEnvVar)
	if t.SecretFile != "" {
		b, err := os.ReadFile(t.SecretFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the operator secret")
		}
		secret = string(bytes.TrimSpace(b))
	}
	tlsConfig, err := t.tlsConfig()
	if err != nil {
		return nil, err
	}
	return operator.NewClient(t.NodeURL, secret, tlsConfig), nil
}

// tlsConfig returns the TLS configuration for an https URL. It returns nil without
// --authority; the system's certificate authorities are trusted then.
func (t target) tlsConfig() (*tls.Config, error) {
	if t.CAFile == "" {
		return nil, nil
	}
	pool, err := settings.LoadCertPool(t.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the CA certificates")
	}
	return settings.ClientTLS(pool), nil
}

// printJSON prints a value as indented JSON.
func printJSON(e *Env, v any) error {
	x := json.NewEncoder(e.out)
	x.SetIndent("", "  ")
	return x.Encode(v)
}
