// Package settings loads the TOML settings file of a process: addresses, data centre, secrets and
// platform endpoints. All other settings are part of the configuration, which is read from the log.
// Unknown keys, missing keys and values out of range are errors, so that a process with an invalid
// file exits before it opens a socket.
package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"
)

// Process holds the identity and the addresses of a process.
type Process struct {
	// ID is unique among instances. Required.
	ID string `toml:"id"`
	// DataCentre is the name of the instance's data centre. Required.
	DataCentre string `toml:"data_centre"`
	// Internal is the ip:port for other lagoonlane processes, health checks and metrics. Required.
	Internal string `toml:"internal"`
	// Public is the ip:port for callers and operators. Required for an entry, refused for a sidecar.
	Public string `toml:"public"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level"`
	// DrainTimeout is the time limit of a graceful shutdown. Default 30s, 1s to 10m.
	DrainTimeout Duration `toml:"drain_timeout"`
	// PeerKey is the secret shared by all lagoonlane processes. Required, 16 bytes or more.
	PeerKey Secret `toml:"peer_key"`
}

// Platform holds the endpoints of the platform's services.
type Platform struct {
	// Log is the URL of the append-only log. Required.
	Log string `toml:"log"`
	// Instances is the URL of the instance list. Required.
	Instances string `toml:"instances"`
	// Weights is the URL of the weight store. Required for an entry.
	Weights string `toml:"weights"`
}

// Operator is a person or tool that may use the admin API.
type Operator struct {
	// Name identifies the operator in the audit trail. Required.
	Name string `toml:"name"`
	// KeySHA256 is the SHA-256 of the operator's key, in hexadecimal. Required.
	KeySHA256 string `toml:"key_sha256"`
}

// BackendServer is a backend server behind a sidecar.
type BackendServer struct {
	// ID is unique in the deployment and the same as in the instance list. Required.
	ID string `toml:"id"`
	// Kind is "engine" or "service". Required.
	Kind string `toml:"kind"`
	// Pool is the same as in the instance list. Required.
	Pool string `toml:"pool"`
	// Address is the URL of the backend server. Required.
	Address string `toml:"address"`
	// Version is the version of a plain service. Required for a service, refused for an engine.
	Version string `toml:"version"`
	// MaxConcurrency limits the concurrent requests of the sidecar to the backend server.
	// Default 64, 1 to 4096.
	MaxConcurrency int `toml:"max_concurrency"`
}

// Entry is the settings file of an entry.
type Entry struct {
	Process   Process    `toml:"process"`
	Platform  Platform   `toml:"platform"`
	Operators []Operator `toml:"operators"`
}

// Sidecar is the settings file of a sidecar.
type Sidecar struct {
	Process        Process         `toml:"process"`
	Platform       Platform        `toml:"platform"`
	BackendServers []BackendServer `toml:"backend_servers"`
}

// Defaults of optional keys.
const (
	defaultLogLevel       = "info"
	defaultDrainTimeout   = 30 * time.Second
	defaultMaxConcurrency = 64
)

// LoadEntry reads and validates the settings file of an entry. It returns *FileError, *SyntaxError,
// *UnknownKeyError or *ValueError.
func LoadEntry(path string) (*Entry, error) {
	file := &Entry{}
	if err := load(path, file); err != nil {
		return nil, err
	}
	file.Process.setDefaults()
	if err := file.validate(path); err != nil {
		return nil, err
	}
	return file, nil
}

// LoadSidecar reads and validates the settings file of a sidecar. It returns the same
// errors as LoadEntry.
func LoadSidecar(path string) (*Sidecar, error) {
	file := &Sidecar{}
	if err := load(path, file); err != nil {
		return nil, err
	}
	file.Process.setDefaults()
	for i := range file.BackendServers {
		file.BackendServers[i].setDefaults()
	}
	if err := file.validate(path); err != nil {
		return nil, err
	}
	return file, nil
}

func (p *Process) setDefaults() {
	if p.LogLevel == "" {
		p.LogLevel = defaultLogLevel
	}
	if p.DrainTimeout == 0 {
		p.DrainTimeout = Duration(defaultDrainTimeout)
	}
}

func (b *BackendServer) setDefaults() {
	if b.MaxConcurrency == 0 {
		b.MaxConcurrency = defaultMaxConcurrency
	}
}

func load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(&FileError{File: path, Cause: err})
	}
	return decode(path, data, into)
}
