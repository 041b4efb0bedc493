package main

import (
	"crypto/tls"
	"net"

	"github.com/carawaybeam/carawaybeam/certifier"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/messenger"
	"github.com/carawaybeam/carawaybeam/starter"
)

// linkSecurity returns what proves the entry to its peers, or nil if the
// settings ask for no TLS.
func (e *entry) linkSecurity() (*certifier.Certifier, error) {
	if !e.settings.LinkTLS.Enabled() {
		return nil, nil
	}
	return e.certifier(e.settings.LinkTLS)
}

func (e *entry) certifier(files loader.TLS) (*certifier.Certifier, error) {
	return certifier.New(certifier.Files(files), e.log)
}

// dialer returns what makes links to peers of the roles.
func (e *entry) dialer(roles ...string) messenger.Dialer {
	dialer := messenger.Dialer{Traffic: &e.traffic}
	if e.security != nil {
		dialer.TLS = e.security.Client(roles...)
	}
	return dialer
}

// listenLinks listens for links of other entries.
func (e *entry) listenLinks() (net.Listener, error) {
	listener, err := starter.Listen("links", e.settings.Links)
	if err != nil || e.security == nil {
		return listener, err
	}
	return certifier.Listen(listener, e.security.Server(certifier.RoleEntry), e.log), nil
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
	return tls.NewListener(listener, c.CallerServer()), nil
}
