// Package roster implements the gossip between entries: which entries are alive, how much of
// each account's limit is used, the progress of roll-outs, and the version and verification
// time of the configuration. It holds soft state only, which a restarted process receives
// again within a second.
package roster

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/feed"
	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// Paths of the endpoints for other entries.
const (
	PathExchange      = "/lane/v1/roster"
	PathConfiguration = "/lane/v1/configuration"
	PathFeed          = "/lane/v1/feed"
)

// message is the request and the response of an exchange between two entries.
type message struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// BootID identifies the sender's incarnation.
	BootID string `json:"boot"`
	// Version is the version of the sender's current configuration; 0 if it has none.
	Version int64 `json:"version"`
	// VerifiedAgeMS is the time since the configuration was last verified as the newest, in
	// milliseconds; -1 if it never was.
	VerifiedAgeMS int64 `json:"confirmed_age_ms"`
	// Feeds holds how far the sender knows each topic of the store.
	Feeds map[string]feed.State `json:"feeds,omitempty"`
	// Poison is what the sender knows of prompt parts that crash engines.
	Poison *poison.Report `json:"poison,omitempty"`
	// KnowsPoison says that the sender has the evidence of earlier processes.
	KnowsPoison bool `json:"knows_poison,omitempty"`
	// Backpressure is what the sender knows of the requests of backend servers.
	Backpressure []backpressure.ServerReport `json:"backpressure,omitempty"`
	// Reports holds the report of the sender and, in a small roster, the reports of other entries
	// that are at most maxRelayAge old.
	Reports []entryReport `json:"uses"`
}

// entryReport is the report of one entry: its account use and its roll-out reports.
type entryReport struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	BootID  string `json:"boot"`
	// UptimeMS is the entry's uptime when it sent this report, and AgeMS the report's age.
	UptimeMS int64                `json:"up_ms"`
	AgeMS    int64                `json:"age_ms"`
	Accounts map[string]limit.Use `json:"accounts"`
	Rollouts []rollout.Report     `json:"rollouts,omitempty"`
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
