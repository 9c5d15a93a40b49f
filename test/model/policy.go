package model

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Policy is what the nodes do.
type Policy struct {
	Tell    bool // they tell each other of their runs
	Copies  bool // runs have copies in another data centre
	Choose  bool // by expected time; else at random
	Outages bool // losses are noted, so that a data centre's outage is seen
}

// ParsePolicy reads "all", "none" or parts such as "choose+copies".
func ParsePolicy(text string) (Policy, error) {
	var p Policy
	for part := range strings.SplitSeq(text, "+") {
		switch part {
		case "all":
			p = Policy{Tell: true, Copies: true, Choose: true, Outages: true}
		case "none":
		case "tell":
			p.Tell = true
		case "copies":
			p.Copies = true
		case "choose":
			p.Choose = true
		case "outages":
			p.Outages = true
		default:
			return p, errors.Newf("%q is no policy; give all, none, or tell, copies, choose, outages joined by +", part)
		}
	}
	return p, nil
}
