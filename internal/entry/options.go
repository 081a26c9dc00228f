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
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// ClaimLog settles which attempt of a non-idempotent request may run. Its
// errors are those of claim.Claims.
type ClaimLog interface {
	Claim(ctx context.Context, request *configpb.Claim) (claim.Result, error)
	Lookup(keyHash []byte) (*configpb.Claim, bool)
}

// EvidenceSink takes observations.
type EvidenceSink interface{ Observe(health.Observation) }

// Containment knows the versions that this process has stopped sending to.
type Containment interface {
	Contained(pool, version, route string) bool
}

// Floors exchanges the tiers that pools are shedding. Without one, the entry
// knows its own floors only.
type Floors interface {
	// Floor returns the lowest rank that a pool still takes, and false if it takes all.
	Floor(pool string) (rank uint32, ok bool)
	// AnnounceFloor says that ranks below this one are held out of a pool for a time.
	AnnounceFloor(pool string, rank uint32, valid time.Duration)
}

// AccountUse exchanges the use of the client accounts' limits between entries.
type AccountUse interface {
	// SetUse sets where this entry's own use is read.
	SetUse(use func() []*lanepb.AccountUse)
	// Use returns the sum of all other entries' use of an account's limits.
	Use(account string) *lanepb.AccountUse
}

// Options configure New. Nil interfaces mean that the entry does without.
type Options struct {
	// ID is unique among instances. Required.
	ID         string
	DataCentre string
	// HeldBytes bounds the bodies of all requests together; 0 means the default of membudget.
	HeldBytes int64
	// Config is the configuration in force. Required.
	Config config.View
	// Instances is the platform's instance list. Required.
	Instances platform.Instances
	// Client reaches the sidecars and carries the peer key. Required.
	Client *http.Client
	// PeerURL turns an ip:port of the instance list into a base URL. Default "http://"+address.
	PeerURL func(address string) string
	// Claims is needed for requests with an idempotency key: without it those
	// that are non-idempotent are refused.
	Claims      ClaimLog
	Evidence    EvidenceSink
	Containment Containment
	Floors      Floors
	AccountUse  AccountUse
	Logger      zerolog.Logger
	// Meter makes the instruments; nil: none.
	Meter metric.Meter
	// Seed of the random choices; 0: drawn at random.
	Seed uint64
}

// OptionError says that a required option is missing.
type OptionError struct{ Name string }

func (e *OptionError) Error() string { return "entry option " + e.Name + " is missing" }
