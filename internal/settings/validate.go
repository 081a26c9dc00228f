package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

// Limits of settings values.
const (
	minDrainTimeout     = time.Second
	maxDrainTimeout     = 10 * time.Minute
	minPeerKeyBytes     = 16
	maxConcurrency      = 4096
	sha256HexLength     = 64
	maxIdentifierLength = 64
)

// validator validates values and keeps the first error of a file.
type validator struct {
	file string
	err  error
}

func (v *validator) fail(key, value, allowed string) {
	if v.err == nil {
		v.err = &ValueError{File: v.file, Key: key, Value: value, Allowed: allowed}
	}
}

func (v *validator) identifier(key, value string) {
	if value == "" || len(value) > maxIdentifierLength {
		v.fail(key, value, fmt.Sprintf("1 to %d characters", maxIdentifierLength))
		return
	}
	for _, r := range value {
		if !isIdentifierRune(r) {
			v.fail(key, value, "letters, digits, '-', '_' and '.'")
			return
		}
	}
}

func isIdentifierRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_' || r == '.'
}

func (v *validator) address(key, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		v.fail(key, value, "ip:port with an IP number, such as 127.0.0.1:7001")
	}
}

func (v *validator) endpoint(key, value string) {
	const allowed = "http:// or https:// URL with an IP number"
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		v.fail(key, value, allowed)
		return
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		v.fail(key, value, allowed)
	}
}

func (v *validator) oneOf(key, value string, allowed ...string) {
	for _, choice := range allowed {
		if value == choice {
			return
		}
	}
	v.fail(key, value, fmt.Sprintf("%q", allowed))
}

func (v *validator) process(p *Process) {
	v.identifier("process.id", p.ID)
	v.identifier("process.data_centre", p.DataCentre)
	v.address("process.internal", p.Internal)
	v.oneOf("process.log_level", p.LogLevel, "debug", "info", "warn", "error")
	drain := time.Duration(p.DrainTimeout)
	if drain < minDrainTimeout || drain > maxDrainTimeout {
		v.fail("process.drain_timeout", drain.String(), fmt.Sprintf("%s to %s", minDrainTimeout, maxDrainTimeout))
	}
	switch {
	case p.PeerKey == "":
		v.fail("process.peer_key", "", fmt.Sprintf("%d bytes or more", minPeerKeyBytes))
	case len(p.PeerKey) < minPeerKeyBytes:
		v.fail("process.peer_key", p.PeerKey.String(), fmt.Sprintf("%d bytes or more", minPeerKeyBytes))
	}
}

func (e *Entry) validate(path string) error {
	v := &validator{file: path}
	v.process(&e.Process)
	v.address("process.public", e.Process.Public)
	v.endpoint("platform.log", e.Platform.Log)
	v.endpoint("platform.instances", e.Platform.Instances)
	v.endpoint("platform.weights", e.Platform.Weights)
	if len(e.Operators) == 0 {
		v.fail("operators", "", "at least one [[operators]] table")
	}
	for i, operator := range e.Operators {
		key := "operators[" + strconv.Itoa(i) + "]"
		v.identifier(key+".name", operator.Name)
		decoded, err := hex.DecodeString(operator.KeySHA256)
		if err != nil || len(decoded)*2 != sha256HexLength {
			v.fail(key+".key_sha256", operator.KeySHA256, "64 hexadecimal digits")
		}
	}
	return v.err
}

func (s *Sidecar) validate(path string) error {
	v := &validator{file: path}
	v.process(&s.Process)
	if s.Process.Public != "" {
		v.fail("process.public", s.Process.Public, "nothing: a sidecar has no public address")
	}
	v.endpoint("platform.log", s.Platform.Log)
	v.endpoint("platform.instances", s.Platform.Instances)
	if len(s.BackendServers) == 0 {
		v.fail("backend_servers", "", "at least one [[backend_servers]] table")
	}
	seen := map[string]bool{}
	for i, server := range s.BackendServers {
		key := "backend_servers[" + strconv.Itoa(i) + "]"
		v.backendServer(key, server)
		if seen[server.ID] {
			v.fail(key+".id", server.ID, "an id that no other backend server of the file has")
		}
		seen[server.ID] = true
	}
	return v.err
}

func (v *validator) backendServer(key string, server BackendServer) {
	v.identifier(key+".id", server.ID)
	v.oneOf(key+".kind", server.Kind, "engine", "service")
	v.identifier(key+".pool", server.Pool)
	v.endpoint(key+".address", server.Address)
	if server.Kind == "service" {
		v.identifier(key+".version", server.Version)
	}
	if server.Kind == "engine" && server.Version != "" {
		v.fail(key+".version", server.Version, "nothing: an engine reports its versions")
	}
	if server.MaxConcurrency < 1 || server.MaxConcurrency > maxConcurrency {
		v.fail(key+".max_concurrency", strconv.Itoa(server.MaxConcurrency), fmt.Sprintf("1 to %d", maxConcurrency))
	}
}
