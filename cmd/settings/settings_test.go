package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cicadabeam/cmd/settings"
)

func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		s, err := settings.Parse("node.ini", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%+v\ncallers %s, operators %s, platform %s, %d seeds\n", s.Self(), s.CallerAddress(), s.OperatorAddress(), s.PlatformURL(), len(s.Seeds()))
	})
}

func FuzzParse(f *testing.F) {
	f.Add("[node]\nname = a\n")
	f.Add("[secrets]\npeers-file = /nowhere\n")
	f.Add("[peer]\n[peer x]\naddress = [::1]:1\n")
	f.Fuzz(func(t *testing.T, text string) {
		if strings.Contains(text, "-file") {
			t.Skip("the fuzz test does not read files")
		}
		s, err := settings.Parse("node.ini", []byte(text))
		if err == nil && (s.Self().Name == "" || s.PeerSecret() == "") {
			t.Fatal("settings without a name or a peer secret were accepted")
		}
	})
}
