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
	// assumedTokensPerSecond is the speed of a backend server that reported none.
	assumedTokensPerSecond = 5000
	// acknowledgeDelay is how long after a send a load report is taken to count it.
	acknowledgeDelay = 20 * time.Millisecond
	// forgetSendsAfter drops sends that no report ever acknowledged.
	forgetSendsAfter = 5 * time.Second
)

// Target names a backend server and the sidecar before it.
type Target struct {
	// BackendServer is the id in the instance list.
	BackendServer string
	// Address is the sidecar's ip:port.
	Address string
	// Version is what a plain service runs; empty for an engine.
	Version string
}

// send is a request that was sent to a backend server and that its sidecar has
// not yet counted in a load report.
type send struct {
	id   string
	work uint64
	rank uint32
	at   time.Time
}

// server is what the table knows of one backend server.
type server struct {
	target Target
	// hash of the id, for the homes of prefixes.
	hash    uint64
	pool    string
	kind    string
	leaving bool
	load    *lanepb.Load
	// loadAt is when load was received; askedAt when a refresh last asked.
	loadAt  time.Time
	askedAt time.Time
	sends   []send
	// prefixes is built from load when it is first needed.
	prefixes map[uint64]struct{}
	// sent holds the prefixes that this entry sent.
	sent   sentPrefixes
	health health
}

func newServer(instance platform.Instance, backend platform.BackendServer) *server {
	return &server{
		target: Target{BackendServer: backend.ID, Address: instance.Address, Version: backend.Version},
		hash:   xxhash.Sum64String(backend.ID),
		pool:   backend.Pool,
		kind:   backend.Kind,
	}
}

// observe takes a load report, unless it is older than the one held.
func (s *server) observe(load *lanepb.Load, now time.Time) {
	if s.load != nil && s.load.GetBootId() == load.GetBootId() && load.GetSequence() <= s.load.GetSequence() {
		return
	}
	s.load = load
	s.loadAt = now
	s.prefixes = nil
	s.dropSends(now.Add(-acknowledgeDelay))
}

// dropSends forgets the sends made before a time.
func (s *server) dropSends(before time.Time) {
	s.sends = slices.DeleteFunc(s.sends, func(one send) bool { return one.at.Before(before) })
}

func (s *server) settle(id string) {
	s.sends = slices.DeleteFunc(s.sends, func(one send) bool { return one.id == id })
}

// runs reports whether the version can be served. A backend server without a
// report may run any version.
func (s *server) runs(version string) bool {
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

// workAhead returns the tokens that a request of a rank would wait behind.
func (s *server) workAhead(rank uint32) uint64 {
	var work uint64
	if s.load != nil {
		work = loadWork(s.load, rank)
	}
	for _, one := range s.sends {
		if one.rank <= rank {
			work += one.work
		}
	}
	return work
}

func loadWork(load *lanepb.Load, rank uint32) uint64 {
	byRank := load.GetWorkByRank()
	if int(rank) < len(byRank) {
		return byRank[rank]
	}
	return load.GetWorkTokens()
}

// speed returns the measured speed in prefill-equivalent tokens a second.
func (s *server) speed() float64 {
	if speed := s.load.GetTokensPerSecond(); speed > 0 {
		return speed
	}
	return assumedTokensPerSecond
}

// waitSeconds returns the time that the work ahead of a rank takes here.
func (s *server) waitSeconds(rank uint32) float64 {
	return float64(s.workAhead(rank)) / s.speed()
}

// seconds returns the estimated time until the request is answered here.
func (s *server) seconds(request Request) float64 {
	own := request.work(s.cachedTokens(request.Prefixes))
	return s.waitSeconds(request.Rank) + float64(own)/s.speed()
}

// cachedTokens returns the part of a prompt that is held in the prefix cache.
func (s *server) cachedTokens(prefixes []uint64) uint32 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if s.hasPrefix(prefixes[i]) {
			return prefix.LengthInTokens(i)
		}
	}
	return 0
}

func (s *server) hasPrefix(hash uint64) bool {
	if s.sent.has(hash) {
		return true
	}
	if len(s.load.GetPrefixes()) == 0 {
		return false
	}
	if s.prefixes == nil {
		s.prefixes = make(map[uint64]struct{}, len(s.load.GetPrefixes()))
		for _, held := range s.load.GetPrefixes() {
			s.prefixes[held] = struct{}{}
		}
	}
	_, ok := s.prefixes[hash]
	return ok
}
