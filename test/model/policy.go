package model

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Policy selects the mechanisms that the nodes use.
type Policy struct {
	Tell    bool // nodes exchange reports of their work in flight
	Copies  bool // runs have a KV cache backup in another data centre
	Choose  bool // engines are selected by expected latency, otherwise at random
	Outages bool // nodes record losses, so that they detect the outage of a data centre
}

// ParsePolicy parses "all", "none" or mechanisms joined by "+", such as "choose+copies".
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
			return p, errors.Newf("unknown policy %q; want all, none, or any of tell, copies, choose, outages joined by +", part)
		}
	}
	return p, nil
}
