package deploy

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/pkg/errors"
)

// configurationTemplate is the template of the configuration file that lagoonctl applies.
var configurationTemplate = template.Must(template.New("configuration").Parse(`{{- range $rank, $tier := .Tiers}}
[[tiers]]
name = "{{$tier}}"
rank = {{$rank}}
default_timeout_ms = 30000
{{end}}
{{- range .Versions}}
[[versions]]
pool = "{{.Pool}}"
name = "{{.Name}}"
{{- if .Artifact}}
artifact = "{{.Artifact}}"
size_bytes = {{.SizeBytes}}
{{- end}}
{{- if .State}}
state = "{{.State}}"
{{- end}}
{{end}}
{{- range .Accounts}}
[[accounts]]
name = "{{.Name}}"
tiers = [{{$.QuotedTiers}}]
weight = 1
keys = [{ id = "k1", sha256 = "{{.SHA256}}" }]
{{end}}
[[routes]]
name = "{{.ModelRoute}}"
kind = "engine"
pool = "{{.EnginePool}}"
shares = [{ version = "v1", share_bp = 10000 }]
max_timeout_ms = 600000
expected_output_tokens = 64
{{if .Services}}
[[routes]]
name = "{{.ServiceName}}"
kind = "service"
pool = "{{.ServiceName}}"
shares = [{ version = "v1", share_bp = 10000 }]
max_timeout_ms = 30000
operations = [{ method = "POST", path_prefix = "/queries", idempotent = true }]
{{end}}`))

type configurationValues struct {
	Spec
	Versions []versionValues
	Accounts []accountValues
	// QuotedTiers is the list of all tiers as the elements of a TOML array.
	QuotedTiers string
}

type versionValues struct {
	Pool, Name, Artifact, State string
	SizeBytes                   uint64
}

type accountValues struct{ Name, SHA256 string }

// ConfigurationFile writes the configuration of the deployment for lagoonctl apply and returns its
// path. Version v1 is proven and serves all requests. Version v2 of the engines is registered if
// the weight store has an artifact for it.
func (d *Deployment) ConfigurationFile() (string, error) {
	values := configurationValues{Spec: d.Spec, QuotedTiers: `"` + strings.Join(d.Spec.Tiers, `", "`) + `"`}
	for _, version := range []string{"v1", "v2"} {
		artifact := d.Spec.ModelRoute + "-" + version
		size, stored := d.Spec.Artifacts[artifact]
		if !stored && version != defaultVersion {
			continue
		}
		row := versionValues{Pool: d.Spec.EnginePool, Name: version, SizeBytes: size}
		if stored {
			row.Artifact = artifact
		}
		if version == defaultVersion {
			row.State = "proven"
		}
		values.Versions = append(values.Versions, row)
	}
	if d.Spec.Services > 0 {
		values.Versions = append(values.Versions, versionValues{Pool: d.Spec.ServiceName, Name: defaultVersion, State: "proven"})
	}
	for _, name := range d.Spec.Accounts {
		values.Accounts = append(values.Accounts, accountValues{Name: name, SHA256: sha256Hex(d.AccountKeys[name])})
	}
	var text strings.Builder
	if err := configurationTemplate.Execute(&text, values); err != nil {
		return "", errors.WithStack(err)
	}
	path := filepath.Join(d.Spec.Dir, "configuration.toml")
	return path, errors.WithStack(os.WriteFile(path, []byte(text.String()), 0o600))
}

// Configure applies the configuration with lagoonctl and waits until all entries and sidecars are
// ready. It returns the output of lagoonctl.
func (d *Deployment) Configure(ctx context.Context) (string, error) {
	path, err := d.ConfigurationFile()
	if err != nil {
		return "", err
	}
	output, err := d.Ctl(ctx, "apply", path)
	if err != nil {
		return output, err
	}
	return output, d.WaitReady(ctx)
}
