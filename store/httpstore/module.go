package httpstore

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/boragegate/boragegate"
	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/table"
)

func init() {
	boragegate.Register(boragegate.Module{ID: "store.http", New: func() any {
		return &Module{
			Timeout:          table.Duration(DefaultTimeout),
			ConnectTimeout:   table.Duration(DefaultConnectTimeout),
			WatchIdleTimeout: table.Duration(DefaultWatchIdleTimeout),
		}
	}})
}

// Module is the configuration of "store.http" and, after Provision, the store.
type Module struct {
	*Store `json:"-"`
	// URL is the base URL of the object API.
	URL string `json:"url"`
	// Timeout is the timeout of a call, including the read of its response, and of the
	// start of a watch.
	Timeout table.Duration `json:"timeout"`
	// ConnectTimeout is the timeout of the TCP connect and that of the TLS handshake.
	ConnectTimeout table.Duration `json:"connect_timeout"`
	// WatchIdleTimeout is the time after which a watch ends if it receives no data, not
	// even empty lines.
	WatchIdleTimeout table.Duration `json:"watch_idle"`
	// CAFile is the path of a PEM file with the CA certificates by which the
	// server's certificate is verified. Default the CA certificates of the system.
	CAFile string `json:"authority"`
}

// Provision checks the configuration and creates the client. It does not connect.
func (m *Module) Provision(context.Context) error {
	var list finding.List
	for _, d := range []struct {
		path  string
		value table.Duration
	}{{"timeout", m.Timeout}, {"connect_timeout", m.ConnectTimeout}, {"watch_idle", m.WatchIdleTimeout}} {
		if d.value <= 0 {
			list = append(list, finding.Finding{Path: d.path, Message: "out of range", Expected: "more than 0s"})
		}
	}
	u, err := url.Parse(m.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		list = append(list, finding.Finding{Path: "url", Message: fmt.Sprintf("found %q", m.URL), Expected: "an http or https URL with a host"})
	}
	if len(list) > 0 {
		return list
	}
	m.Store, err = New(Options{
		URL:              u,
		Timeout:          time.Duration(m.Timeout),
		ConnectTimeout:   time.Duration(m.ConnectTimeout),
		WatchIdleTimeout: time.Duration(m.WatchIdleTimeout),
		CAFile:           m.CAFile,
	})
	return err
}

// Cleanup closes the idle connections of the client.
func (m *Module) Cleanup() error {
	if m.Store != nil {
		m.Close()
	}
	return nil
}
