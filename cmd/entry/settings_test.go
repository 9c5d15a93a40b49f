package entry

import (
	"strings"
	"testing"
)

// Guards against a budget for buffers that leaves no memory for anything else.
func TestBufferSettings(t *testing.T) {
	const base = "[node]\nname = n\ndata-centre = a\n[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\nneighbours = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n[limits]\nmemory-mb = 200\n"
	for text, want := range map[string]int64{"": 40 << 20, "buffer-mb = 8\n": 8 << 20, "buffer-mb = 81\n": 0, "buffer-mb = 0\n": 0, "buffer-mb = x\n": 0} {
		s, err := Parse("entry.ini", []byte(base+text))
		switch {
		case want == 0 && (err == nil || !strings.Contains(err.Error(), "buffer-mb")):
			t.Errorf("%q: got error %v, want one about buffer-mb", text, err)
		case want > 0 && (err != nil || s.bufferBytes != want):
			t.Errorf("%q: got %d bytes, error %v, want %d", text, s.bufferBytes, err, want)
		}
	}
}

// Guards against roll-outs that are enabled by mistake, or with a share that can't be.
func TestExposureSettings(t *testing.T) {
	const base = "[node]\nname = n\ndata-centre = a\n[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\nneighbours = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n[bounds]\n"
	for text, want := range map[string]float64{"": 0, "exposure-tolerance = 50\nrollback = 5000ms\n": 0, "exposure-share = 0.1\n": 0.1, "exposure-share = 1.5\n": -1, "exposure-share = x\n": -1, "rollback = soon\n": -1} {
		s, err := Parse("entry.ini", []byte(base+text))
		if (err != nil) != (want < 0) || err == nil && s.exposure.ExposureShare != want {
			t.Errorf("%q: got %+v, error %v, want share %v", text, s.exposure, err, want)
		}
	}
}

// Guards against services getting even load that are not to: the setting is off unless it says yes.
func TestEvenLoadSetting(t *testing.T) {
	const base = "[node]\nname = n\ndata-centre = a\n[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\nneighbours = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n"
	for text, want := range map[string]bool{"": false, "[balance]\neven-load = no\n": false, "[balance]\neven-load = yes\n": true} {
		if s, err := Parse("entry.ini", []byte(base+text)); err != nil || s.evenLoad != want {
			t.Errorf("%q: got %+v, error %v", text, s, err)
		}
	}
	if _, err := Parse("entry.ini", []byte(base+"[balance]\neven-load = sometimes\n")); err == nil || !strings.Contains(err.Error(), "even-load") {
		t.Errorf("got error %v, want one about even-load", err)
	}
}
