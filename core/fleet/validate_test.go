package fleet_test

import (
	"math"
	"strings"
	"testing"

	"cicadabeam/core/fleet"
)

func TestOddEntryNamesNoServer(t *testing.T) {
	sound := fleet.Server{ID: "i-7f3a91c2", Service: "orders", Address: "10.0.0.1:80", DataCentre: "a", Version: "v1", Slots: 6, StartedMS: 5}
	for name, change := range map[string]func(s *fleet.Server){
		"as it is": func(*fleet.Server) {}, "longest names": func(s *fleet.Server) {
			s.ID, s.Service, s.DataCentre, s.Version = strings.Repeat("i", 200), strings.Repeat("s", 100), strings.Repeat("d", 100), strings.Repeat("v", 64)
		},
		"IPv6": func(s *fleet.Server) { s.Address = "[fd00::1]:65535" }, "no version": func(s *fleet.Server) { s.Version = "" },
		"most slots": func(s *fleet.Server) { s.Slots = 65535 }, "other script": func(s *fleet.Server) { s.DataCentre = "Thiès" },
	} {
		x := sound
		change(&x)
		if err := x.Validate(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, change := range map[string]func(s *fleet.Server){
		"no ID": func(s *fleet.Server) { s.ID = "" }, "long ID": func(s *fleet.Server) { s.ID = strings.Repeat("i", 201) }, "ID with a header": func(s *fleet.Server) { s.ID = "i\r\nX-Tenant: other" },
		"no service": func(s *fleet.Server) { s.Service = "" }, "long service": func(s *fleet.Server) { s.Service = strings.Repeat("s", 101) }, "unreadable service": func(s *fleet.Server) { s.Service = "\xff" },
		"long data centre": func(s *fleet.Server) { s.DataCentre = strings.Repeat("d", 500_000) }, "long version": func(s *fleet.Server) { s.Version = strings.Repeat("v", 65) }, "version with a zero byte": func(s *fleet.Server) { s.Version = "v\x00" },
		"no slots": func(s *fleet.Server) { s.Slots = 0 }, "negative slots": func(s *fleet.Server) { s.Slots = -1 }, "too many slots": func(s *fleet.Server) { s.Slots = math.MaxInt },
		"negative start": func(s *fleet.Server) { s.StartedMS = -1 },
	} {
		x := sound
		change(&x)
		if x.Validate() == nil {
			t.Errorf("%s: the entry names a server", name)
		}
	}
	for _, address := range []string{"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:http", "host.example:80", "0.0.0.0:80", "[::]:80", "224.0.0.1:80", "10.0.0.1:80 ", "10.0.0.1:80\r\nX: y"} {
		x := sound
		x.Address = address
		if x.Validate() == nil {
			t.Errorf("address %q: the entry names a server", address)
		}
	}
}
