package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/loader"
	_ "github.com/carawaybeam/carawaybeam/registrar"
)

const rankSettings = `process = "agent-1"
dataCentre = "kitami"
links = "127.0.0.1:7001"
admin = "127.0.0.1:7101"
[backend]
id = "drafting-1"
url = "http://127.0.0.1:5000"
[group]
id = "drafting"
rank = 1
peers = ["127.0.0.1:7000", "127.0.0.1:7001"]
url = "http://127.0.0.1:5100"
`

func TestGroupSettings(t *testing.T) {
	for _, test := range []struct {
		name, from, to string
		line           int
		key            string
	}{
		{"valid", "", "", 0, ""},
		{"no group", `id = "drafting"`, ``, 0, ""},
		{"rank beyond the peers", "rank = 1", "rank = 2", 10, "group.rank"},
		{"negative rank", "rank = 1", "rank = -1", 10, "group.rank"},
		{"address of another rank", "rank = 1", "rank = 0", 11, "group.peers"},
		{"peer is no address", `"127.0.0.1:7000"`, `"agent-0"`, 11, "group.peers"},
		{"no URL", `url = "http://127.0.0.1:5100"`, "", 0, "group.url"},
		{"unknown plug-in", "rank = 1", "protocol = \"x\"\nrank = 1", 10, "group.protocol"},
		{"no lookahead", "rank = 1", "lookahead = 0\nrank = 1", 10, "group.lookahead"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "agent.toml")
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(rankSettings, test.from, test.to, 1)), 0o600))
			settings, err := loader.LoadAgent(file)
			if test.key == "" {
				is.NoErr(err)
				is.Equal(settings.Group.Enabled(), test.name == "valid")
				is.Equal(settings.Group.Peers[1], carawaybeam.Address("127.0.0.1:7001"))
				return
			}
			var wrong *loader.Error
			is.True(errors.As(err, &wrong))
			is.Equal(wrong.Key, test.key)
			is.Equal(wrong.Line, test.line)
		})
	}
}
