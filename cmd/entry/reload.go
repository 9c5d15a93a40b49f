package entry

import "cicadabeam/io/relay"

// Reload reads the settings again and tells what of them is wrong. Addresses and
// places stay as they are until the next start.
func (n *Node) Reload(path string) {
	s, err := Load(path)
	if err != nil {
		n.recorder.Record("settings rejected", relay.Fields{"error": err.Error()})
		return
	}
	n.recorder.Record("settings read", relay.Fields{"log_level": s.logLevel})
}
