package peer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// maxUseBytes and maxEvidenceBytes bound the account use and the evidence of one message,
	// so that the traffic of a link doesn't grow with accounts, routes or processes.
	maxUseBytes      = 280
	maxEvidenceBytes = 260
	// changeThreshold is the relative change from which on an account's use is sent with priority.
	changeThreshold = 0.1
	// nearLimitRatio is the ratio of use to limit from which on a changed account is sent first.
	nearLimitRatio = 0.5
)

// storeUse stores the account use received over the link. Accounts without use are removed, as
// are accounts that were not received for accountUseTTL.
func (l *treeLink) storeUse(use []*lanepb.AccountUse) {
	for _, u := range use {
		if isIdle(u) {
			delete(l.remoteUse, u.GetAccount())
			continue
		}
		l.remoteUse[u.GetAccount()] = receivedUse{use: u, receivedAt: time.Now()}
	}
	for account, received := range l.remoteUse {
		if time.Since(received.receivedAt) > accountUseTTL {
			delete(l.remoteUse, account)
		}
	}
}

func isIdle(u *lanepb.AccountUse) bool {
	return u.GetRunning() == 0 && u.GetRequestsPerSecond() == 0 && u.GetTokensPerSecond() == 0
}

// nextUsePage returns the accounts for the next message, up to maxUseBytes: changed accounts
// near their limits first, then other changed accounts, then the rest in rotation, starting
// after the last account of the previous page. It returns nil if the previous page was sent
// less than 70 % of a period ago.
func (l *treeLink) nextUsePage(use []*lanepb.AccountUse, utilization map[string]float64, period time.Duration) []*lanepb.AccountUse {
	if time.Since(l.lastUseSent) < period*7/10 {
		return nil
	}
	l.lastUseSent = time.Now()
	use = l.withEndedAccounts(use)
	start, _ := slices.BinarySearchFunc(use, l.nextAccount, func(u *lanepb.AccountUse, name string) int {
		return cmp.Compare(u.GetAccount(), name)
	})
	ordered := slices.Concat(use[start:], use[:start])
	slices.SortStableFunc(ordered, func(a, b *lanepb.AccountUse) int {
		return cmp.Compare(l.priority(b, utilization), l.priority(a, utilization))
	})
	page := prefixWithin(ordered, maxUseBytes)
	l.recordSent(page)
	if len(page) > 0 && len(page) < len(ordered) {
		l.nextAccount = page[len(page)-1].GetAccount() + "\x00"
	}
	return page
}

// Priorities for sending an account's use, in ascending order.
const (
	unchangedUse = iota
	changedUse
	nearLimitUse
)

func (l *treeLink) priority(u *lanepb.AccountUse, utilization map[string]float64) int {
	switch {
	case !l.changed(u):
		return unchangedUse
	case utilization[u.GetAccount()] >= nearLimitRatio:
		return nearLimitUse
	}
	return changedUse
}

// limitUtilization returns for each account the largest ratio of the use by all processes to a
// limit. It is 0 for an account without limits.
func limitUtilization(state *configpb.State, totals []*lanepb.AccountUse) map[string]float64 {
	utilization := map[string]float64{}
	for _, u := range totals {
		limits := state.GetAccounts()[u.GetAccount()].GetLimits()
		utilization[u.GetAccount()] = max(
			ratio(float64(u.GetRunning()), float64(limits.GetMaxConcurrent())),
			ratio(u.GetRequestsPerSecond(), limits.GetRequestsPerSecond()),
			ratio(u.GetTokensPerSecond(), limits.GetTokensPerSecond()),
		)
	}
	return utilization
}

func ratio(use, limit float64) float64 {
	if limit == 0 {
		return 0
	}
	return use / limit
}

// withEndedAccounts adds an empty use for each account that was sent before and is no longer
// in use.
func (l *treeLink) withEndedAccounts(use []*lanepb.AccountUse) []*lanepb.AccountUse {
	inUse := map[string]bool{}
	for _, u := range use {
		inUse[u.GetAccount()] = true
	}
	for account := range l.sentUse {
		if !inUse[account] {
			use = append(use, &lanepb.AccountUse{Account: account})
		}
	}
	slices.SortFunc(use, func(a, b *lanepb.AccountUse) int {
		return cmp.Compare(a.GetAccount(), b.GetAccount())
	})
	return use
}

func (l *treeLink) recordSent(page []*lanepb.AccountUse) {
	for _, u := range page {
		if isIdle(u) {
			delete(l.sentUse, u.GetAccount())
			continue
		}
		l.sentUse[u.GetAccount()] = u
	}
}

// changed reports whether an account's use differs significantly from the last use sent.
func (l *treeLink) changed(u *lanepb.AccountUse) bool {
	sent, ok := l.sentUse[u.GetAccount()]
	return !ok || isIdle(u) != isIdle(sent) ||
		differsSignificantly(float64(u.GetRunning()), float64(sent.GetRunning())) ||
		differsSignificantly(u.GetRequestsPerSecond(), sent.GetRequestsPerSecond()) ||
		differsSignificantly(u.GetTokensPerSecond(), sent.GetTokensPerSecond())
}

func differsSignificantly(a, b float64) bool {
	return math.Abs(a-b) > changeThreshold*max(a, b)
}

// prefixWithin returns the leading items whose encoded size fits the budget in bytes.
func prefixWithin(items []*lanepb.AccountUse, budget int) []*lanepb.AccountUse {
	for i, item := range items {
		budget -= proto.Size(item)
		if budget < 0 {
			return items[:i]
		}
	}
	return items
}

// takePendingEvidence removes and returns the evidence for the next message, merged by key:
// keys with the most failures first, then those with the most requests. At least one key is
// returned; the rest stays pending and keeps accumulating.
func (l *treeLink) takePendingEvidence() []*lanepb.Evidence {
	merged := health.Merge(l.pendingEvidence...)
	slices.SortStableFunc(merged, func(a, b *lanepb.Evidence) int {
		return cmp.Or(cmp.Compare(failures(b), failures(a)), cmp.Compare(b.GetRequests(), a.GetRequests()))
	})
	var due []*lanepb.Evidence
	budget := maxEvidenceBytes
	for i, e := range merged {
		health.Trim(e)
		budget -= proto.Size(e)
		if i > 0 && budget < 0 {
			break
		}
		due = append(due, e)
	}
	l.pendingEvidence = slices.Clone(merged[len(due):])
	return due
}

func failures(e *lanepb.Evidence) uint64 { return e.GetErrors() + e.GetBadAnswers() }
