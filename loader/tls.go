package loader

import (
	"os"
)

// TLS names the files with which a process proves who it is. All are PEM. They
// may be replaced while the process runs.
type TLS struct {
	Certificate string `toml:"certificate" doc:"File with the certificate and its chain."`
	Key         string `toml:"key"         doc:"File with the private key of the certificate."`
	Authority   string `toml:"authority"   doc:"File with the certificates that sign those of peers."`
}

// Enabled tells whether TLS is asked for.
func (t TLS) Enabled() bool { return t != TLS{} }

// faults checks that all files are named and can be read. Only links between
// processes need an authority.
func (t TLS) faults(key string, mutual bool) []fault {
	if !t.Enabled() {
		return nil
	}
	faults := readable(key+".certificate", t.Certificate)
	faults = append(faults, readable(key+".key", t.Key)...)
	if mutual {
		return append(faults, readable(key+".authority", t.Authority)...)
	}
	if t.Authority != "" {
		faults = append(faults, fault{key: key + ".authority", detail: "callers show no certificate"})
	}
	return faults
}

func readable(key, file string) []fault {
	if file == "" {
		return []fault{{key: key, detail: "is missing"}}
	}
	if _, err := os.Stat(file); err != nil {
		return []fault{{key: key, detail: err.Error()}}
	}
	return nil
}
