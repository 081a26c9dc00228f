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
	minDrainTimeout   = time.Second
	maxDrainTimeout   = 10 * time.Minute
	minPeerKeyBytes   = 16
	maxConcurrency    = 4096
	sha256HexLength   = 64
	maxIdentifierSize = 64
)

// checker validates values and keeps the first error of a file.
type checker struct {
	file string
	err  error
}

func (c *checker) fail(key, value, allowed string) {
	if c.err == nil {
		c.err = &ValueError{File: c.file, Key: key, Value: value, Allowed: allowed}
	}
}

func (c *checker) identifier(key, value string) {
	if value == "" || len(value) > maxIdentifierSize {
		c.fail(key, value, fmt.Sprintf("1 to %d characters", maxIdentifierSize))
		return
	}
	for _, r := range value {
		if !isIdentifierRune(r) {
			c.fail(key, value, "letters, digits, '-', '_' and '.'")
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

func (c *checker) address(key, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		c.fail(key, value, "ip:port with an IP number, such as 127.0.0.1:7001")
	}
}

func (c *checker) endpoint(key, value string) {
	const allowed = "http:// or https:// URL with an IP number"
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.fail(key, value, allowed)
		return
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		c.fail(key, value, allowed)
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	for _, choice := range allowed {
		if value == choice {
			return
		}
	}
	c.fail(key, value, fmt.Sprintf("%q", allowed))
}

func (c *checker) process(p *Process) {
	c.identifier("process.id", p.ID)
	c.identifier("process.data_centre", p.DataCentre)
	c.address("process.internal", p.Internal)
	c.oneOf("process.log_level", p.LogLevel, "debug", "info", "warn", "error")
	drain := time.Duration(p.DrainTimeout)
	if drain < minDrainTimeout || drain > maxDrainTimeout {
		c.fail("process.drain_timeout", drain.String(), fmt.Sprintf("%s to %s", minDrainTimeout, maxDrainTimeout))
	}
	switch {
	case p.PeerKey == "":
		c.fail("process.peer_key", "", fmt.Sprintf("%d bytes or more", minPeerKeyBytes))
	case len(p.PeerKey) < minPeerKeyBytes:
		c.fail("process.peer_key", p.PeerKey.String(), fmt.Sprintf("%d bytes or more", minPeerKeyBytes))
	}
}

func (e *Entry) validate(path string) error {
	c := &checker{file: path}
	c.process(&e.Process)
	c.address("process.public", e.Process.Public)
	c.endpoint("platform.log", e.Platform.Log)
	c.endpoint("platform.instances", e.Platform.Instances)
	c.endpoint("platform.weights", e.Platform.Weights)
	if len(e.Operators) == 0 {
		c.fail("operators", "", "at least one [[operators]] table")
	}
	for i, operator := range e.Operators {
		key := "operators[" + strconv.Itoa(i) + "]"
		c.identifier(key+".name", operator.Name)
		decoded, err := hex.DecodeString(operator.KeySHA256)
		if err != nil || len(decoded)*2 != sha256HexLength {
			c.fail(key+".key_sha256", operator.KeySHA256, "64 hexadecimal digits")
		}
	}
	return c.err
}

func (s *Sidecar) validate(path string) error {
	c := &checker{file: path}
	c.process(&s.Process)
	if s.Process.Public != "" {
		c.fail("process.public", s.Process.Public, "nothing: a sidecar has no public address")
	}
	c.endpoint("platform.log", s.Platform.Log)
	c.endpoint("platform.instances", s.Platform.Instances)
	if len(s.BackendServers) == 0 {
		c.fail("backend_servers", "", "at least one [[backend_servers]] table")
	}
	seen := map[string]bool{}
	for i, server := range s.BackendServers {
		key := "backend_servers[" + strconv.Itoa(i) + "]"
		c.backendServer(key, server)
		if seen[server.ID] {
			c.fail(key+".id", server.ID, "an id that no other backend server of the file has")
		}
		seen[server.ID] = true
	}
	return c.err
}

func (c *checker) backendServer(key string, server BackendServer) {
	c.identifier(key+".id", server.ID)
	c.oneOf(key+".kind", server.Kind, "engine", "service")
	c.identifier(key+".pool", server.Pool)
	c.endpoint(key+".address", server.Address)
	if server.Kind == "service" {
		c.identifier(key+".version", server.Version)
	}
	if server.Kind == "engine" && server.Version != "" {
		c.fail(key+".version", server.Version, "nothing: an engine reports its versions")
	}
	if server.MaxConcurrency < 1 || server.MaxConcurrency > maxConcurrency {
		c.fail(key+".max_concurrency", strconv.Itoa(server.MaxConcurrency), fmt.Sprintf("1 to %d", maxConcurrency))
	}
}
