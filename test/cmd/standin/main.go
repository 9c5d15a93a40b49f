// Command standin runs a simulated external system (platform store, model engine or
// application server) as a separate process, for the demonstration and the tests.
package main

import (
	"fmt"
	"net/http"
	"os"

	"github.com/jessevdk/go-flags"

	"cicadabeam/test/standin/application"
	"cicadabeam/test/standin/engine"
	"cicadabeam/test/standin/store"
)

type options struct {
	Kind    string `long:"kind" choice:"platform" choice:"engine" choice:"application" required:"true"`
	Listen  string `long:"listen" required:"true"`
	Name    string `long:"name"`
	Slots   int    `long:"slots" default:"16"`
	TokenMS int    `long:"token-ms" default:"20"`
	Log     string `long:"log"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := serve(o); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// serve handles requests until listening fails. An empty log file name means standard
// error.
func serve(o options) error {
	log := os.Stderr
	if o.Log != "" {
		f, err := os.OpenFile(o.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		log = f
	}
	return http.ListenAndServe(o.Listen, handler(o, log))
}

func handler(o options, log *os.File) http.Handler {
	switch o.Kind {
	case "engine":
		return engine.New(o.Name, o.Slots, o.TokenMS, log)
	case "application":
		return application.New(o.Name, log)
	default:
		return store.New().Handler()
	}
}
