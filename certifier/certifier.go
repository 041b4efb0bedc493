// Package certifier makes the TLS configurations of a process from certificate
// files, and reloads files that have changed without a restart.
//
// Links use mutual TLS. A certificate of the installation contains the role of its
// process as a DNS name, cbentry or cbagent, and is signed by the certificate
// authority of the installation. Addresses are not checked, since VMs change often.
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

	// reloadInterval is the minimum time between two checks of the files.
	reloadInterval = time.Second
)

type (
	// Files contains the paths of the PEM files of a process.
	Files struct {
		// Certificate is the file of the certificate and its chain.
		Certificate string
		// Key is the file of the private key.
		Key string
		// Authority is the file of the certificates of the authorities that sign
		// the certificates of peers. It is empty if peers present no certificate.
		Authority string
	}

	// Certifier provides TLS configurations that use the current content of the
	// files. Its methods are safe for concurrent use.
	Certifier struct {
		files Files
		log   zerolog.Logger

		mu         sync.Mutex
		loaded     credentials
		checkedAt  time.Time
		modifiedAt time.Time
	}

	// credentials is the content of the files.
	credentials struct {
		certificate tls.Certificate
		authority   *x509.CertPool
	}

	// FileError reports a file that cannot be read or has invalid content.
	FileError struct {
		File  string
		Cause error
	}

	// RoleError reports a peer whose certificate contains no allowed role.
	RoleError struct {
		// Names contains the DNS names of the certificate.
		Names []string
		// Want contains the allowed roles.
		Want []string
	}
)

var (
	errNoCertificates = errors.New("file contains no certificate")
	errNoPeer         = errors.New("peer presented no certificate")
)

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

func (e *RoleError) Error() string {
	return fmt.Sprintf("certificate has the DNS names %q, want one of %q", e.Names, e.Want)
}

// New reads the files. Errors are of type *FileError.
func New(files Files, log zerolog.Logger) (*Certifier, error) {
	c := &Certifier{files: files, log: log}
	loaded, err := read(files)
	if err != nil {
		return nil, err
	}
	c.loaded = loaded
	c.checkedAt = time.Now()
	c.modifiedAt = c.lastModified()
	return c, nil
}

func read(files Files) (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return credentials{}, &FileError{File: files.Certificate, Cause: err}
	}
	loaded := credentials{certificate: certificate}
	if files.Authority == "" {
		return loaded, nil
	}
	data, err := os.ReadFile(files.Authority)
	if err != nil {
		return credentials{}, &FileError{File: files.Authority, Cause: err}
	}
	loaded.authority = x509.NewCertPool()
	if !loaded.authority.AppendCertsFromPEM(data) {
		return credentials{}, &FileError{File: files.Authority, Cause: errNoCertificates}
	}
	return loaded, nil
}

// current returns the content of the files, after reloading them if they have
// changed. If the new files cannot be used, it returns the content loaded before.
func (c *Certifier) current() credentials {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) < reloadInterval {
		return c.loaded
	}
	c.checkedAt = time.Now()
	modified := c.lastModified()
	if modified.Equal(c.modifiedAt) {
		return c.loaded
	}
	c.modifiedAt = modified
	loaded, err := read(c.files)
	if err != nil {
		c.log.Error().Err(err).Msg("certifier: cannot load the changed files, keeping the previous ones")
		return c.loaded
	}
	c.loaded = loaded
	c.log.Info().Msg("certifier: reloaded the changed files")
	return c.loaded
}

// lastModified returns the latest modification time of the files.
func (c *Certifier) lastModified() time.Time {
	var last time.Time
	for _, file := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// CallerServer returns the configuration of a server whose clients present no
// certificate.
func (c *Certifier) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			loaded := c.current()
			return &loaded.certificate, nil
		},
	}
}

// Server returns the configuration for accepting links from peers that have one of
// the roles.
func (c *Certifier) Server(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := c.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{loaded.certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        loaded.authority,
				VerifyConnection: func(state tls.ConnectionState) error { return checkRole(state, roles) },
			}, nil
		},
	}
}

// Client returns the configuration for establishing links to peers that have one
// of the roles.
func (c *Certifier) Client(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			loaded := c.current()
			return &loaded.certificate, nil
		},
		// VerifyConnection verifies the chain against the current authority, and
		// the role instead of the address.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return c.verifyServer(state, roles) },
	}
}

// verifyServer verifies the certificate chain and the role of a server.
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

// checkRole returns an error unless the certificate of the peer contains one of the
// roles.
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
