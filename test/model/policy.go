package model

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Policy selects the mechanisms that the nodes use.
type Policy struct {
	ExchangeWork    bool // nodes exchange reports of their work in flight
	KVCacheBackups  bool // runs have a KV cache backup in another data centre
	SelectByLatency bool // engines are selected by expected latency, otherwise at random
	DetectOutages   bool // nodes record losses, so that they detect the outage of a data centre
}

// ParsePolicy parses "all", "none" or mechanisms joined by "+", such as "choose+copies".
func ParsePolicy(text string) (Policy, error) {
	var p Policy
	for part := range strings.SplitSeq(text, "+") {
		switch part {
		case "all":
			p = Policy{ExchangeWork: true, KVCacheBackups: true, SelectByLatency: true, DetectOutages: true}
		case "none":
		case "tell":
			p.ExchangeWork = true
		case "copies":
			p.KVCacheBackups = true
		case "choose":
			p.SelectByLatency = true
		case "outages":
			p.DetectOutages = true
		default:
			return p, errors.Newf("unknown policy %q; want all, none, or any of tell, copies, choose, outages joined by +", part)
		}
	}
	return p, nil
}
