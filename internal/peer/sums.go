package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// linkExpiryPeriods is how many periods the sums of a link hold without an exchange.
	linkExpiryPeriods = 4
	// accountUseTTL is how long one account's use holds that is not named again.
	// It is longer than a link takes to name some hundred accounts in turn.
	accountUseTTL = 2 * time.Minute
)

// treeLink is one link of the tree of sums.
type treeLink struct {
	lastReceived time.Time
	// remoteUse is the other side's use by client account.
	remoteUse map[string]receivedUse
	// sentUse is what the other side was told of this side's use.
	sentUse map[string]*lanepb.AccountUse
	// lastUseSent is when the other side was last told of use.
	lastUseSent time.Time
	// nextAccount is the account at which the next message goes on with those unchanged.
	nextAccount string
	// pendingEvidence is evidence that the other side has not been given yet.
	pendingEvidence []*lanepb.Evidence
}

// receivedUse is one account's use and when it was heard.
type receivedUse struct {
	use        *lanepb.AccountUse
	receivedAt time.Time
}

// SetUse sets where this process's own use of client accounts' limits is read.
func (n *Node) SetUse(use func() []*lanepb.AccountUse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.localUseSource = use
}

// Use returns the sum of all other processes' use of a client account's limits.
func (n *Node) Use(account string) *lanepb.AccountUse {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := &lanepb.AccountUse{Account: account}
	for _, l := range n.activeLinks("") {
		addUse(sum, l.remoteUse[account].use)
	}
	return sum
}

// outgoingAggregates returns what the other side of a link is to know: the use of this
// process and of all other links, and evidence that it was not given yet.
func (n *Node) outgoingAggregates(to string) ([]*lanepb.AccountUse, []*lanepb.Evidence) {
	use := n.localUse()
	evidence := n.localEvidence()
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkTo(to)
	all := l.appendUse(slices.Clone(use))
	for address, other := range n.activeLinks("") {
		other.pendingEvidence = append(other.pendingEvidence, evidence...)
		if address != to {
			use = other.appendUse(use)
			all = other.appendUse(all)
		}
	}
	utilization := limitUtilization(n.options.Config.Current(), mergeUse(all))
	return l.nextUsePage(mergeUse(use), utilization, n.options.Period), l.takePendingEvidence()
}

// mergeAggregates takes what the other side of a link says.
func (n *Node) mergeAggregates(from string, use []*lanepb.AccountUse, evidence []*lanepb.Evidence) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkTo(from)
	l.lastReceived = time.Now()
	l.storeUse(use)
	if n.options.Collector != nil {
		n.options.Collector.Add(evidence...)
	}
	for _, other := range n.activeLinks(from) {
		other.pendingEvidence = append(other.pendingEvidence, evidence...)
	}
}

func (n *Node) localUse() []*lanepb.AccountUse {
	n.mu.Lock()
	use := n.localUseSource
	n.mu.Unlock()
	if use == nil {
		return nil
	}
	return use()
}

// localEvidence returns the evidence of this process that concerns versions on the move.
func (n *Node) localEvidence() []*lanepb.Evidence {
	if n.options.Collector == nil {
		return nil
	}
	evidence := n.options.Collector.Take()
	moving := movingVersions(n.options.Config.Current())
	return slices.DeleteFunc(evidence, func(e *lanepb.Evidence) bool {
		return !moving[versionKey(e.GetPool(), e.GetVersion())]
	})
}

// linkTo returns the link to an address. The caller holds the lock.
func (n *Node) linkTo(address string) *treeLink {
	l, ok := n.links[address]
	if !ok {
		l = &treeLink{lastReceived: time.Now(), remoteUse: map[string]receivedUse{}, sentUse: map[string]*lanepb.AccountUse{}}
		n.links[address] = l
	}
	return l
}

// activeLinks returns the links that were heard of lately, without one address,
// and forgets the others. The caller holds the lock.
func (n *Node) activeLinks(except string) map[string]*treeLink {
	active := map[string]*treeLink{}
	for address, l := range n.links {
		if time.Since(l.lastReceived) > linkExpiryPeriods*n.options.Period {
			delete(n.links, address)
			continue
		}
		if address != except {
			active[address] = l
		}
	}
	return active
}

func (l *treeLink) appendUse(all []*lanepb.AccountUse) []*lanepb.AccountUse {
	for _, received := range l.remoteUse {
		all = append(all, received.use)
	}
	return all
}

// mergeUse sums up use by account, in the order of names.
func mergeUse(all []*lanepb.AccountUse) []*lanepb.AccountUse {
	sums := map[string]*lanepb.AccountUse{}
	for _, u := range all {
		sum, ok := sums[u.GetAccount()]
		if !ok {
			sum = &lanepb.AccountUse{Account: u.GetAccount()}
			sums[u.GetAccount()] = sum
		}
		addUse(sum, u)
	}
	merged := slices.Collect(maps.Values(sums))
	slices.SortFunc(merged, func(a, b *lanepb.AccountUse) int {
		return cmp.Compare(a.GetAccount(), b.GetAccount())
	})
	return merged
}

func addUse(sum, u *lanepb.AccountUse) {
	sum.Running += u.GetRunning()
	sum.RequestsPerSecond += u.GetRequestsPerSecond()
	sum.TokensPerSecond += u.GetTokensPerSecond()
}
