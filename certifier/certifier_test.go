package certifier_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/certifier"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/messenger"
)

type (
	// authority signs certificates.
	authority struct {
		certificate *x509.Certificate
		key         *ecdsa.PrivateKey
		serial      int64
	}

	// syncBuffer collects log lines of several goroutines.
	syncBuffer struct {
		mu   sync.Mutex
		text bytes.Buffer
	}

	// echoServer answers a stream with its first frame.
	echoServer struct{}
)

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (echoServer) ServeStream(_ context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	_ = stream.Send(first)
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "fleet"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: certificate, key: key, serial: 1}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes the files of a process with the role into the directory.
func (a *authority) issue(t *testing.T, directory, role string, notAfter time.Time) certifier.Files {
	t.Helper()
	a.serial++
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: role},
		DNSNames:     []string{role},
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     notAfter,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := certifier.Files{
		Certificate: filepath.Join(directory, role+".crt"),
		Key:         filepath.Join(directory, role+".key"),
		Authority:   filepath.Join(directory, role+".ca"),
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func newCertifier(t *testing.T, files certifier.Files) *certifier.Certifier {
	t.Helper()
	c, err := certifier.New(files, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// listen accepts links of entries and returns the address and the log.
func listen(t *testing.T, files certifier.Files) (carawaybeam.Address, *syncBuffer) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := &syncBuffer{}
	config := newCertifier(t, files).Server(certifier.RoleEntry)
	listener := messenger.New(certifier.Listen(inner, config, zerolog.New(log)), echoServer{})
	t.Cleanup(func() { _ = listener.Close() })
	return carawaybeam.Address(inner.Addr().String()), log
}

// exchange sends one frame over a new link and waits for the answer.
func exchange(t *testing.T, dialer messenger.Dialer, address carawaybeam.Address) error {
	t.Helper()
	link, err := dialer.Dial(t.Context(), address)
	if err != nil {
		return err
	}
	defer func() { _ = link.Close() }()
	stream, err := link.Open(t.Context())
	if err != nil {
		return err
	}
	if err := stream.Send(&framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: &framer.KeepAlive{}}}); err != nil {
		return err
	}
	_, err = stream.Receive(5 * time.Second)
	return err
}

// TestLinksNeedTrustedCertificates checks that a link is established only if both
// sides present a valid certificate of the authority of the installation with the
// expected role.
func TestLinksNeedTrustedCertificates(t *testing.T) {
	trusted, foreign := newAuthority(t), newAuthority(t)
	later := time.Now().Add(time.Hour)
	directory, other, old := t.TempDir(), t.TempDir(), t.TempDir()
	address, log := listen(t, trusted.issue(t, directory, certifier.RoleAgent, later))
	tests := []struct {
		name   string
		dialer messenger.Dialer
		served bool
	}{
		{"entry of the installation", messenger.Dialer{
			TLS: newCertifier(t, trusted.issue(t, directory, certifier.RoleEntry, later)).Client(certifier.RoleAgent),
		}, true},
		{"no TLS", messenger.Dialer{}, false},
		{"foreign authority", messenger.Dialer{
			TLS: newCertifier(t, foreign.issue(t, other, certifier.RoleEntry, later)).Client(certifier.RoleAgent),
		}, false},
		{"wrong role", messenger.Dialer{
			TLS: newCertifier(t, trusted.issue(t, other, "cbother", later)).Client(certifier.RoleAgent),
		}, false},
		{"agent where an entry is wanted", messenger.Dialer{
			TLS: newCertifier(t, trusted.issue(t, other, certifier.RoleAgent, later)).Client(certifier.RoleAgent),
		}, false},
		{"expired", messenger.Dialer{
			TLS: newCertifier(t, trusted.issue(t, old, certifier.RoleEntry, time.Now().Add(-time.Hour))).
				Client(certifier.RoleAgent),
		}, false},
		{"server of another role", messenger.Dialer{
			TLS: newCertifier(t, trusted.issue(t, directory, certifier.RoleEntry, later)).Client(certifier.RoleEntry),
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := exchange(t, test.dialer, address)
			is.Equal(err == nil, test.served)
		})
	}
	is.New(t).True(bytes.Contains([]byte(log.String()), []byte("TLS handshake failed")))
}

// TestReplacedFilesAreReloaded checks that files are reloaded without a restart
// when they change, including the authority.
func TestReplacedFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	before, after := newAuthority(t), newAuthority(t)
	later := time.Now().Add(time.Hour)
	directory := t.TempDir()
	address, _ := listen(t, before.issue(t, directory, certifier.RoleAgent, later))
	renewed := after.issue(t, t.TempDir(), certifier.RoleEntry, later)
	dialer := messenger.Dialer{TLS: newCertifier(t, renewed).Client(certifier.RoleAgent)}
	is.True(exchange(t, dialer, address) != nil)

	files := after.issue(t, directory, certifier.RoleAgent, later)
	changed := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(files.Certificate, changed, changed))
	time.Sleep(1100 * time.Millisecond)
	is.NoErr(exchange(t, dialer, address))
}

// TestErrorNamesInvalidFile checks that the error for an invalid file contains the
// name of that file.
func TestErrorNamesInvalidFile(t *testing.T) {
	is := is.New(t)
	trusted := newAuthority(t)
	files := trusted.issue(t, t.TempDir(), certifier.RoleAgent, time.Now().Add(time.Hour))
	is.NoErr(os.WriteFile(files.Authority, []byte("nothing"), 0o600))
	_, err := certifier.New(files, zerolog.Nop())
	is.Equal(err.Error(), files.Authority+": file contains no certificate")
}
