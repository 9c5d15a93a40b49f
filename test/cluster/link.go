package cluster

import (
	"context"
	"fmt"
	"strings"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Link is a network path from one process to another through a fault-injecting proxy.
type Link struct {
	proxy  *toxiproxy.Proxy
	listen string
	toxics []string
	delays []*delay // one for each direction
}

var proxyServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())

// NewLink starts a proxy that forwards connections from address listen to address upstream.
func NewLink(name, listen, upstream string) (*Link, error) {
	l := &Link{proxy: toxiproxy.NewProxy(proxyServer, name, listen, upstream), listen: listen}
	for _, stream := range []string{"upstream", "downstream"} {
		w, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"name":"delay-%s","type":%q,"stream":%q,"toxicity":1}`, stream, delayType, stream)))
		if err != nil {
			return nil, err
		}
		l.delays = append(l.delays, w.Toxic.(*delay))
	}
	return l, l.proxy.Start()
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.listen }

func (l *Link) addToxic(kind, stream, attributes string) error {
	name := fmt.Sprintf("%s-%s-%d", kind, stream, len(l.toxics))
	l.toxics = append(l.toxics, name)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":{%s}}`, name, kind, stream, attributes)))
	return err
}

// DropData drops all data in both directions without closing connections, like a network
// partition.
func (l *Link) DropData() error {
	if err := l.DropUpstream(); err != nil {
		return err
	}
	return l.DropDownstream()
}

// DropUpstream drops the data that is sent upstream.
func (l *Link) DropUpstream() error { return l.addToxic("timeout", "upstream", `"timeout":0`) }

// DropDownstream drops the data that is sent downstream.
func (l *Link) DropDownstream() error { return l.addToxic("timeout", "downstream", `"timeout":0`) }

// CloseAfterBytes closes each connection after it has carried so many bytes downstream.
func (l *Link) CloseAfterBytes(bytes int) error {
	return l.addToxic("limit_data", "downstream", fmt.Sprintf(`"bytes":%d`, bytes))
}

// AddLatency sets a latency of ms milliseconds in each direction.
func (l *Link) AddLatency(ms int) {
	for _, d := range l.delays {
		d.set(time.Duration(ms) * time.Millisecond)
	}
}

// RemoveFaults removes all faults except that of Disable. Data that was delayed is sent at
// once. Connections that were closed stay closed.
func (l *Link) RemoveFaults() {
	for _, d := range l.delays {
		d.set(0)
	}
	for _, name := range l.toxics {
		_ = l.proxy.Toxics.RemoveToxic(context.Background(), name)
	}
	l.toxics = nil
}

// Disable closes all connections and refuses new ones until Enable is called.
func (l *Link) Disable() { l.proxy.Stop() }

// Enable undoes Disable.
func (l *Link) Enable() error { return l.proxy.Start() }

func (l *Link) stop() { l.proxy.Stop() }
