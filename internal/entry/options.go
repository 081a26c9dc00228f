package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/claim"
	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// ClaimLog decides which attempt of a non-idempotent request may run. Its errors are those of
// claim.Claims.
type ClaimLog interface {
	Claim(ctx context.Context, request *configpb.Claim) (claim.Result, error)
	Lookup(keyHash []byte) (*configpb.Claim, bool)
}

// EvidenceSink receives observations of backend server versions.
type EvidenceSink interface{ Observe(health.Observation) }

// Containment reports the versions that this process has contained, so that they get no new
// requests.
type Containment interface {
	Contained(pool, version, route string) bool
}

// Floors exchanges the floors of shedding pools between entries. If Options.Floors is nil, the
// entry uses only the floors that it sets itself.
type Floors interface {
	// Floor returns the lowest rank that a pool still serves while shedding, and false if it
	// serves all ranks. A higher number is a lower rank.
	Floor(pool string) (rank uint32, ok bool)
	// AnnounceFloor announces that a pool refuses the ranks below this one while the floor is
	// valid.
	AnnounceFloor(pool string, rank uint32, valid time.Duration)
}

// AccountUse exchanges the use of client account limits between entries.
type AccountUse interface {
	// SetLocalUse sets the function that returns this entry's own use.
	SetLocalUse(use func() []*lanepb.AccountUse)
	// RemoteUse returns the total use of an account's limits at all other entries.
	RemoteUse(account string) *lanepb.AccountUse
}

// Options configures New. Interfaces that are not marked as required may be nil, which disables
// the feature.
type Options struct {
	// ID identifies this entry and is unique among instances. Required.
	ID         string
	DataCentre string
	// MaxBufferedBytes bounds the memory of all request bodies together, in bytes; 0 means the
	// default of package membudget.
	MaxBufferedBytes int64
	// Config provides the current configuration. Required.
	Config config.View
	// Instances provides the platform's instance list. Required.
	Instances platform.Instances
	// Client sends requests to the sidecars and adds the peer key. Required.
	Client *http.Client
	// PeerURL converts an ip:port of the instance list to a base URL. The default is
	// "http://"+address.
	PeerURL func(address string) string
	// Claims is required for non-idempotent requests with an idempotency key; without it they are
	// rejected.
	Claims      ClaimLog
	Evidence    EvidenceSink
	Containment Containment
	Floors      Floors
	AccountUse  AccountUse
	// Poison finds prompts that crash engines. The default is a tracker of its own, which knows no other entry's evidence.
	Poison *poison.Tracker
	Logger zerolog.Logger
	// Meter creates the metric instruments; nil disables them.
	Meter metric.Meter
	// Seed seeds the random choices; 0 means a random seed.
	Seed uint64
}

// OptionError is returned by New if a required option is missing.
type OptionError struct{ Name string }

func (e *OptionError) Error() string { return "entry option " + e.Name + " is missing" }
