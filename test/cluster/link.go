package cluster

import (
	"context"
	"fmt"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Link is a path from one process to another through a fault-injecting proxy.
type Link struct {
	proxy  *toxiproxy.Proxy
	listen string
	toxics []string
}

var proxies = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())

// NewLink starts a path from an address to another one.
func NewLink(name, listen, upstream string) (*Link, error) {
	l := &Link{proxy: toxiproxy.NewProxy(proxies, name, listen, upstream), listen: listen}
	return l, l.proxy.Start()
}

// Address returns where the link listens.
func (l *Link) Address() string { return l.listen }

func (l *Link) add(kind, stream, attributes string) error {
	name := fmt.Sprintf("%s-%s-%d", kind, stream, len(l.toxics))
	l.toxics = append(l.toxics, name)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":{%s}}`, name, kind, stream, attributes)))
	return err
}

// Swallow drops all data both ways without closing: a partition.
func (l *Link) Swallow() error {
	if err := l.SwallowRequests(); err != nil {
		return err
	}
	return l.SwallowAnswers()
}

// SwallowRequests drops the data on the way there.
func (l *Link) SwallowRequests() error { return l.add("timeout", "upstream", `"timeout":0`) }

// SwallowAnswers drops the data on the way back.
func (l *Link) SwallowAnswers() error { return l.add("timeout", "downstream", `"timeout":0`) }

// CutAfter closes each connection once so many bytes have come back.
func (l *Link) CutAfter(bytes int) error {
	return l.add("limit_data", "downstream", fmt.Sprintf(`"bytes":%d`, bytes))
}

// Delay holds up the data by so many milliseconds each way.
func (l *Link) Delay(ms int) error {
	if err := l.add("latency", "upstream", fmt.Sprintf(`"latency":%d`, ms)); err != nil {
		return err
	}
	return l.add("latency", "downstream", fmt.Sprintf(`"latency":%d`, ms))
}

// Heal ends all faults. Connections that were cut stay so.
func (l *Link) Heal() {
	l.proxy.Toxics.ResetToxics(context.Background())
	l.toxics = nil
}

// Break closes all connections and refuses new ones until Mend.
func (l *Link) Break() { l.proxy.Stop() }

// Mend undoes Break.
func (l *Link) Mend() error { return l.proxy.Start() }

func (l *Link) stop() { l.proxy.Stop() }
