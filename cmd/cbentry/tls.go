package main

import (
	"crypto/tls"
	"net"

	"github.com/carawaybeam/carawaybeam/certifier"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/messenger"
	"github.com/carawaybeam/carawaybeam/starter"
)

// linkSecurity returns the certificates for links, or nil if the settings do not
// enable TLS for links.
func (e *entry) linkSecurity() (*certifier.Certifier, error) {
	if !e.settings.LinkTLS.Enabled() {
		return nil, nil
	}
	return e.certifier(e.settings.LinkTLS)
}

func (e *entry) certifier(files loader.TLS) (*certifier.Certifier, error) {
	return certifier.New(certifier.Files(files), e.log)
}

// dialer returns a dialer of links to peers that have one of the roles.
func (e *entry) dialer(roles ...string) messenger.Dialer {
	dialer := messenger.Dialer{Traffic: &e.traffic}
	if e.security != nil {
		dialer.TLS = e.security.Client(roles...)
	}
	return dialer
}

// listenLinks listens for links from other entries, over TLS if the settings enable it.
func (e *entry) listenLinks() (net.Listener, error) {
	listener, err := starter.Listen("links", e.settings.Links)
	if err != nil || e.security == nil {
		return listener, err
	}
	return certifier.Listen(listener, e.security.Server(certifier.RoleEntry), e.log), nil
}

// callerTLS returns the TLS configuration for callers, or nil if the settings do not
// enable TLS for callers.
func (e *entry) callerTLS() (*tls.Config, error) {
	if !e.settings.CallerTLS.Enabled() {
		return nil, nil
	}
	c, err := e.certifier(e.settings.CallerTLS)
	if err != nil {
		return nil, err
	}
	return c.CallerServer(), nil
}
