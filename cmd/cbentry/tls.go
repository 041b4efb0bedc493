package main

import (
	"crypto/tls"
	"net"

	"github.com/carawaybeam/carawaybeam/certifier"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/messenger"
	"github.com/carawaybeam/carawaybeam/starter"
)

// dialer returns what makes links to agents, over TLS if the settings ask for
// it.
func (e *entry) dialer() (messenger.Dialer, error) {
	if !e.settings.LinkTLS.Enabled() {
		return messenger.Dialer{Traffic: &e.traffic}, nil
	}
	c, err := e.certifier(e.settings.LinkTLS)
	if err != nil {
		return messenger.Dialer{}, err
	}
	return messenger.Dialer{TLS: c.Client(certifier.RoleAgent), Traffic: &e.traffic}, nil
}

func (e *entry) certifier(files loader.TLS) (*certifier.Certifier, error) {
	return certifier.New(certifier.Files(files), e.log)
}

// listenCallers listens for callers, over TLS if the settings ask for it.
func (e *entry) listenCallers() (net.Listener, error) {
	listener, err := starter.Listen("callers", e.settings.Callers)
	if err != nil || !e.settings.CallerTLS.Enabled() {
		return listener, err
	}
	c, err := e.certifier(e.settings.CallerTLS)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(listener, c.Callers()), nil
}
