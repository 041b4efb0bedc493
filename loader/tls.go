package loader

import (
	"os"
)

// TLS contains the names of the PEM files with which a process authenticates itself
// and its peers. The files may be replaced while the process runs.
type TLS struct {
	Certificate string `toml:"certificate" doc:"File with the certificate and its chain."`
	Key         string `toml:"key"         doc:"File with the private key of the certificate."`
	Authority   string `toml:"authority"   doc:"File with the certificates that sign those of peers."`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t != TLS{} }

// validate checks that all files are named and exist. An authority is required for
// mutual TLS, which links between processes use, and refused otherwise.
func (t TLS) validate(key string, mutual bool) []problem {
	if !t.Enabled() {
		return nil
	}
	problems := existingFile(key+".certificate", t.Certificate)
	problems = append(problems, existingFile(key+".key", t.Key)...)
	if mutual {
		return append(problems, existingFile(key+".authority", t.Authority)...)
	}
	if t.Authority != "" {
		problems = append(
			problems,
			problem{key: key + ".authority", detail: "want no authority, since callers present no certificate"},
		)
	}
	return problems
}

func existingFile(key, file string) []problem {
	if file == "" {
		return []problem{{key: key, detail: "is missing"}}
	}
	if _, err := os.Stat(file); err != nil {
		return []problem{{key: key, detail: err.Error()}}
	}
	return nil
}
