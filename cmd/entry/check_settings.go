package entry

import "cicadabeam/io/relay"

// CheckSettings reads the settings file and records whether it is valid. Changed settings
// take effect at the next start only.
func (n *Node) CheckSettings(path string) {
	s, err := Load(path)
	if err != nil {
		n.recorder.Record("settings rejected", relay.Fields{"error": err.Error()})
		return
	}
	n.recorder.Record("settings read", relay.Fields{"log_level": s.logLevel})
}
