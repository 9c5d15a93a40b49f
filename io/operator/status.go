package operator

import (
	"time"

	"cicadabeam/core/balance"
	"cicadabeam/core/holder"
)

// Status is the state of a node and of the nodes and servers that it knows.
type Status struct {
	Node             string           `json:"node"`
	DataCentre       string           `json:"data_centre"`
	Region           string           `json:"region"`
	Version          string           `json:"version"`
	Started          time.Time        `json:"started"`
	State            string           `json:"state"` // starting, ready or draining
	Revision         uint64           `json:"revision"`
	PlatformReached  time.Time        `json:"platform_reached"`
	PlatformReads    int64            `json:"platform_reads"`
	PlatformWrites   int64            `json:"platform_writes"`
	Requests         int              `json:"requests"`
	Waiting          int              `json:"waiting"`
	Calls            int              `json:"calls"`
	Answers          holder.Counts    `json:"answers"`
	Unprotected      int              `json:"unprotected"`
	Quarantined      int              `json:"quarantined"`
	RetriesSpent     int64            `json:"retries_spent"`
	RetriesDenied    int64            `json:"retries_denied"`
	PeerSentBytes    int64            `json:"peer_sent_bytes"`
	PeerReceivedByte int64            `json:"peer_received_bytes"`
	HeapBytes        uint64           `json:"heap_bytes"`
	Goroutines       int              `json:"goroutines"`
	Nodes            []NodeStatus     `json:"nodes"`
	Servers          []balance.Status `json:"servers"`
}

// NodeStatus is what a node knows about a node of the cluster.
type NodeStatus struct {
	Name       string    `json:"name"`
	DataCentre string    `json:"data_centre"`
	Region     string    `json:"region"`
	Alive      bool      `json:"alive"`
	Leaving    bool      `json:"leaving"`
	Revision   uint64    `json:"revision"`
	Heard      time.Time `json:"heard"`
}
