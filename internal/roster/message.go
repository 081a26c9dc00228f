// Package roster owns what entries tell each other directly: who is alive, how much
// of each account's limit is used, how roll-outs go, and how recent the configuration is. It holds soft
// state only: a process that has just started learns it anew within a second.
package roster

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// Paths under which an entry serves the others.
const (
	PathExchange      = "/lane/v1/roster"
	PathConfiguration = "/lane/v1/configuration"
)

// message is what one entry tells another, and what it gets back.
type message struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// BootID names the sender's incarnation.
	BootID string `json:"boot"`
	// Version is that of the configuration in force; 0: none.
	Version int64 `json:"version"`
	// VerifiedAgeMS is how long ago the configuration was known to be the newest one.
	VerifiedAgeMS int64 `json:"confirmed_age_ms"`
	// Uses holds the use of accounts by the sender and by entries that it heard lately.
	Uses []entryUse `json:"uses"`
}

// entryUse is one entry's use of accounts.
type entryUse struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	BootID  string `json:"boot"`
	// UptimeMS is how long the entry had been running when it told this, AgeMS ago.
	UptimeMS int64                `json:"up_ms"`
	AgeMS    int64                `json:"age_ms"`
	Accounts map[string]limit.Use `json:"accounts"`
	Rollouts []rollout.Report     `json:"rollouts,omitempty"`
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
