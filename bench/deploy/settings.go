package deploy

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/pkg/errors"
)

const secretBytes = 16

// newSecret returns a random key in hexadecimal.
func newSecret() string {
	secret := make([]byte, secretBytes)
	// Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(secret)
	return hex.EncodeToString(secret)
}

func sha256Hex(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// settingsValues holds the values for the template of a settings file.
type settingsValues struct {
	ID, DataCentre, Internal, Public, PeerKey, LogLevel string
	Log, Instances, Weights                             string
	Operator, OperatorSHA256                            string
	BackendServers                                      []backendValues
}

type backendValues struct {
	ID, Kind, Pool, Address, Version string
	// MaxConcurrency is omitted from the file if it is 0.
	MaxConcurrency int
}

var settingsTemplate = template.Must(template.New("settings").Parse(`[process]
id = "{{.ID}}"
data_centre = "{{.DataCentre}}"
internal = "{{.Internal}}"
{{- if .Public}}
public = "{{.Public}}"
{{- end}}
log_level = "{{.LogLevel}}"
drain_timeout = "10s"
peer_key = "{{.PeerKey}}"

[platform]
log = "{{.Log}}"
instances = "{{.Instances}}"
{{- if .Weights}}
weights = "{{.Weights}}"
{{- end}}
{{- if .Operator}}

[[operators]]
name = "{{.Operator}}"
key_sha256 = "{{.OperatorSHA256}}"
{{- end}}
{{- range .BackendServers}}

[[backend_servers]]
id = "{{.ID}}"
kind = "{{.Kind}}"
pool = "{{.Pool}}"
address = "{{.Address}}"
{{- if .Version}}
version = "{{.Version}}"
{{- end}}
{{- if .MaxConcurrency}}
max_concurrency = {{.MaxConcurrency}}
{{- end}}
{{- end}}
`))

// writeSettings writes a settings file and returns its path.
func writeSettings(dir string, values settingsValues) (string, error) {
	var text strings.Builder
	if err := settingsTemplate.Execute(&text, values); err != nil {
		return "", errors.WithStack(err)
	}
	path := filepath.Join(dir, values.ID+".toml")
	return path, errors.WithStack(os.WriteFile(path, []byte(text.String()), 0o600))
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, data, 0o600))
}
