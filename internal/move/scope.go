package move

import (
	"strings"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// evidenceScope selects the evidence of one version on several routes combined.
type evidenceScope struct {
	evidence      Evidence
	pool, version string
	routes        []string
}

// name returns a key that identifies the scope.
func (s evidenceScope) name() string {
	return s.pool + "/" + s.version + "/" + strings.Join(s.routes, ",")
}

// window returns the evidence of the last window.
func (s evidenceScope) window(window time.Duration) *lanepb.Evidence {
	var all []*lanepb.Evidence
	for _, route := range s.routes {
		all = append(all, s.evidence.Window(health.Key{Pool: s.pool, Version: s.version, Route: route}, window))
	}
	return health.Sum(all...)
}

// requests returns the number of requests within the last window.
func (s evidenceScope) requests(window time.Duration) uint64 {
	sum := uint64(0)
	for _, route := range s.routes {
		sum += s.evidence.Requests(health.Key{Pool: s.pool, Version: s.version, Route: route}, window)
	}
	return sum
}

// slices returns the evidence of the last window in pairedSliceCount slices, oldest first.
func (s evidenceScope) slices(window time.Duration) []*lanepb.Evidence {
	var parts [][]*lanepb.Evidence
	for _, route := range s.routes {
		key := health.Key{Pool: s.pool, Version: s.version, Route: route}
		for i, part := range s.evidence.Slices(key, window, pairedSliceCount) {
			if i >= len(parts) {
				parts = append(parts, nil)
			}
			parts[i] = append(parts[i], part)
		}
	}
	sums := make([]*lanepb.Evidence, len(parts))
	for i, part := range parts {
		sums[i] = health.Sum(part...)
	}
	return sums
}
