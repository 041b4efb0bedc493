// Package certifier makes the TLS configurations of a process from certificate
// files, and takes up files that were replaced without a restart.
//
// Links use mutual TLS. A certificate of the fleet names the role of its
// process as a DNS name, cbentry or cbagent, and is signed by the authority of
// the fleet. Addresses are not checked, since VMs come and go.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// RoleEntry is the DNS name in the certificate of an entry.
	RoleEntry = "cbentry"
	// RoleAgent is the DNS name in the certificate of an agent.
	RoleAgent = "cbagent"

	// reloadInterval bounds how often the files are looked at.
	reloadInterval = time.Second
)

type (
	// Files names the files of a process, in PEM.
	Files struct {
		// Certificate is the certificate with its chain, Key its private key.
		Certificate string
		Key         string
		// Authority holds the certificates that sign those of peers. It is
		// empty where peers show no certificate.
		Authority string
	}

	// Certifier holds what the files hold. Its methods may be used by several
	// goroutines at once.
	Certifier struct {
		files Files
		log   zerolog.Logger

		mu       sync.Mutex
		held     material
		looked   time.Time
		modified time.Time
	}

	material struct {
		certificate tls.Certificate
		authority   *x509.CertPool
	}

	// FileError reports a file that cannot be used.
	FileError struct {
		File  string
		Cause error
	}

	// RoleError reports a peer whose certificate names no allowed role.
	RoleError struct {
		Names []string
		Want  []string
	}
)

var (
	errNoCertificates = errors.New("file holds no certificate")
	errNoPeer         = errors.New("peer shows no certificate")
)

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

func (e *RoleError) Error() string {
	return fmt.Sprintf("certificate is for %q, want one of %q", e.Names, e.Want)
}

// New reads the files. Errors are of type *FileError.
func New(files Files, log zerolog.Logger) (*Certifier, error) {
	c := &Certifier{files: files, log: log}
	held, err := read(files)
	if err != nil {
		return nil, err
	}
	c.held = held
	c.looked = time.Now()
	c.modified = c.lastModified()
	return c, nil
}

func read(files Files) (material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return material{}, &FileError{File: files.Certificate, Cause: err}
	}
	held := material{certificate: certificate}
	if files.Authority == "" {
		return held, nil
	}
	data, err := os.ReadFile(files.Authority)
	if err != nil {
		return material{}, &FileError{File: files.Authority, Cause: err}
	}
	held.authority = x509.NewCertPool()
	if !held.authority.AppendCertsFromPEM(data) {
		return material{}, &FileError{File: files.Authority, Cause: errNoCertificates}
	}
	return held, nil
}

// current returns what the files hold, read anew if they changed. Files that
// cannot be used leave the earlier ones in force.
func (c *Certifier) current() material {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.looked) < reloadInterval {
		return c.held
	}
	c.looked = time.Now()
	modified := c.lastModified()
	if modified.Equal(c.modified) {
		return c.held
	}
	c.modified = modified
	held, err := read(c.files)
	if err != nil {
		c.log.Error().Err(err).Msg("certifier: new files are ignored")
		return c.held
	}
	c.held = held
	c.log.Info().Msg("certifier: files were read again")
	return c.held
}

func (c *Certifier) lastModified() time.Time {
	var last time.Time
	for _, file := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// CallerServer returns the configuration of a server whose clients show no
// certificate.
func (c *Certifier) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			held := c.current()
			return &held.certificate, nil
		},
	}
}

// Server returns the configuration of a process that accepts links from peers of
// the given roles.
func (c *Certifier) Server(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			held := c.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{held.certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        held.authority,
				VerifyConnection: func(state tls.ConnectionState) error { return checkRole(state, roles) },
			}, nil
		},
	}
}

// Client returns the configuration of a process that makes links to peers of the
// given roles.
func (c *Certifier) Client(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			held := c.current()
			return &held.certificate, nil
		},
		// The chain is verified below against the authority in force now, and
		// the role in place of the address.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return c.verifyServer(state, roles) },
	}
}

func (c *Certifier) verifyServer(state tls.ConnectionState, roles []string) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeer
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	if _, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.current().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}); err != nil {
		return err
	}
	return checkRole(state, roles)
}

func checkRole(state tls.ConnectionState, roles []string) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeer
	}
	names := state.PeerCertificates[0].DNSNames
	for _, name := range names {
		if slices.Contains(roles, name) {
			return nil
		}
	}
	return &RoleError{Names: names, Want: roles}
}
