package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/prefix"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// assumedTokensPerSecond is the speed of a backend server that has reported none.
	assumedTokensPerSecond = 5000
	// acknowledgeDelay is the age from which a send is assumed to be included in a load report.
	acknowledgeDelay = 20 * time.Millisecond
	// sendTTL is the age at which a send is dropped that no load report has acknowledged.
	sendTTL = 5 * time.Second
)

// Target is a backend server and the address of its sidecar.
type Target struct {
	// BackendServer is the id in the instance list.
	BackendServer string
	// Address is the sidecar's ip:port.
	Address string
	// Version is the version that a plain service runs; empty for an engine.
	Version string
}

// pendingSend is a request that was sent to a backend server but is not yet included in a load
// report of its sidecar.
type pendingSend struct {
	id     string
	work   uint64
	rank   uint32
	sentAt time.Time
}

// server holds the state of one backend server.
type server struct {
	target Target
	// hash is the hash of the id, used to select the home server of a prefix.
	hash    uint64
	pool    string
	kind    string
	leaving bool
	load    *lanepb.Load
	// loadReceivedAt is when load was received, requestedAt when a refresh last requested it.
	loadReceivedAt time.Time
	requestedAt    time.Time
	sends          []pendingSend
	// prefixes is built from load on first use.
	prefixes map[uint64]struct{}
	// sent holds the prefixes that this entry sent recently.
	sent     sentPrefixes
	ejection ejectionState
}

func newServer(instance platform.Instance, backend platform.BackendServer) *server {
	return &server{
		target: Target{BackendServer: backend.ID, Address: instance.Address, Version: backend.Version},
		hash:   xxhash.Sum64String(backend.ID),
		pool:   backend.Pool,
		kind:   backend.Kind,
	}
}

// observe stores a load report unless it is older than the current one.
func (s *server) observe(load *lanepb.Load, now time.Time) {
	if s.load != nil && s.load.GetBootId() == load.GetBootId() && load.GetSequence() <= s.load.GetSequence() {
		return
	}
	s.load = load
	s.loadReceivedAt = now
	s.prefixes = nil
	s.dropSendsBefore(now.Add(-acknowledgeDelay))
}

// dropSendsBefore removes the sends made before a time.
func (s *server) dropSendsBefore(before time.Time) {
	s.sends = slices.DeleteFunc(s.sends, func(pending pendingSend) bool { return pending.sentAt.Before(before) })
}

// acknowledge removes the send of an attempt.
func (s *server) acknowledge(id string) {
	s.sends = slices.DeleteFunc(s.sends, func(pending pendingSend) bool { return pending.id == id })
}

// servesVersion reports whether the server can serve the version. Without a load report it is
// assumed to serve any version.
func (s *server) servesVersion(version string) bool {
	if version == "" {
		return true
	}
	if s.target.Version != "" {
		return s.target.Version == version
	}
	if s.load == nil {
		return true
	}
	return slices.Contains(s.load.GetVersions(), version)
}

// workAhead returns the work that a request of a rank would wait for, in tokens.
func (s *server) workAhead(rank uint32) uint64 {
	var work uint64
	if s.load != nil {
		work = loadWork(s.load, rank)
	}
	for _, pending := range s.sends {
		if pending.rank <= rank {
			work += pending.work
		}
	}
	return work
}

// loadWork returns the reported work that precedes a request of a rank, in tokens.
func loadWork(load *lanepb.Load, rank uint32) uint64 {
	byRank := load.GetWorkByRank()
	if int(rank) < len(byRank) {
		return byRank[rank]
	}
	return load.GetWorkTokens()
}

// speed returns the reported speed in prefill-equivalent tokens per second.
func (s *server) speed() float64 {
	if speed := s.load.GetTokensPerSecond(); speed > 0 {
		return speed
	}
	return assumedTokensPerSecond
}

// waitSeconds returns the time that the work ahead of a rank takes on this server.
func (s *server) waitSeconds(rank uint32) float64 {
	return float64(s.workAhead(rank)) / s.speed()
}

// estimatedSeconds returns the estimated time until this server has answered the request.
func (s *server) estimatedSeconds(request Request) float64 {
	work := request.work(s.cachedTokens(request.Prefixes))
	return s.waitSeconds(request.Rank) + float64(work)/s.speed()
}

// cachedTokens returns the number of prompt tokens that the prefix cache holds.
func (s *server) cachedTokens(prefixes []uint64) uint32 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if s.hasPrefix(prefixes[i]) {
			return prefix.LengthInTokens(i)
		}
	}
	return 0
}

// hasPrefix reports whether the server holds a prefix, by its load report or by recent sends.
func (s *server) hasPrefix(hash uint64) bool {
	if s.sent.contains(hash) {
		return true
	}
	if len(s.load.GetPrefixes()) == 0 {
		return false
	}
	if s.prefixes == nil {
		s.prefixes = make(map[uint64]struct{}, len(s.load.GetPrefixes()))
		for _, cachedHash := range s.load.GetPrefixes() {
			s.prefixes[cachedHash] = struct{}{}
		}
	}
	_, ok := s.prefixes[hash]
	return ok
}
