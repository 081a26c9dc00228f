package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const goodEntry = `
[process]
id = "entry-1"
data_centre = "bud-1"
internal = "127.0.0.1:7001"
public = "127.0.0.1:7002"
peer_key = "0123456789abcdef"

[platform]
log = "http://127.0.0.1:7100"
instances = "http://127.0.0.1:7101"
weights = "http://127.0.0.1:7102"

[[operators]]
name = "ilona"
key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
`

func writeFile(c *qt.C, text string) string {
	path := filepath.Join(c.TempDir(), "settings.toml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func TestLoadEntryAcceptsACompleteFile(t *testing.T) {
	c := qt.New(t)
	entry, err := LoadEntry(writeFile(c, goodEntry))
	c.Assert(err, qt.IsNil)
	c.Assert(entry.Process.LogLevel, qt.Equals, defaultLogLevel)
	c.Assert(entry.Process.PeerKey.String(), qt.Equals, "[secret]")
}

func TestLoadEntryRefusesUnknownKey(t *testing.T) {
	c := qt.New(t)
	_, err := LoadEntry(writeFile(c, goodEntry+"colour = \"red\"\n"))
	var unknown *UnknownKeyError
	c.Assert(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(unknown.Key, qt.Contains, "colour")
}

func TestLoadEntryRefusesBadValues(t *testing.T) {
	cases := map[string]struct{ from, to, key string }{
		"host name":    {"127.0.0.1:7001", "localhost:7001", "process.internal"},
		"missing key":  {`id = "entry-1"`, ``, "process.id"},
		"short secret": {"0123456789abcdef", "0123", "process.peer_key"},
		"log level":    {`data_centre`, "log_level = \"loud\"\ndata_centre", "process.log_level"},
		"drain range":  {`data_centre`, "drain_timeout = \"1h\"\ndata_centre", "process.drain_timeout"},
		"scheme":       {"http://127.0.0.1:7100", "ftp://127.0.0.1:7100", "platform.log"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := LoadEntry(writeFile(c, replaceOnce(goodEntry, tc.from, tc.to)))
			var value *ValueError
			c.Assert(errors.As(err, &value), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(value.Key, qt.Equals, tc.key)
			c.Assert(value.Allowed, qt.Not(qt.Equals), "")
		})
	}
}

func TestLoadEntryRefusesDurationWithoutUnit(t *testing.T) {
	c := qt.New(t)
	_, err := LoadEntry(writeFile(c, replaceOnce(goodEntry, "data_centre", "drain_timeout = \"30\"\ndata_centre")))
	var syntax *SyntaxError
	c.Assert(errors.As(err, &syntax), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(syntax.Error(), qt.Contains, "unit")
}

func replaceOnce(text, from, to string) string {
	return strings.Replace(text, from, to, 1)
}
