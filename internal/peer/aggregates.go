package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// linkExpiryPeriods is the number of periods without an exchange after which a link expires.
	linkExpiryPeriods = 4
	// accountUseTTL is how long an account's use stays valid without an update. A link needs
	// less time to send several hundred accounts in rotation.
	accountUseTTL = 2 * time.Minute
)

// treeLink is the state of one link of the aggregation tree.
type treeLink struct {
	lastReceived time.Time
	// remoteUse is the use received over the link, by client account.
	remoteUse map[string]receivedUse
	// sentUse is the use last sent over the link, by client account.
	sentUse map[string]*lanepb.AccountUse
	// lastUseSent is when account use was last sent over the link.
	lastUseSent time.Time
	// nextAccount is the account from which on the next message continues the rotation.
	nextAccount string
	// pendingEvidence is the evidence that has not been sent over the link yet.
	pendingEvidence []*lanepb.Evidence
}

// receivedUse is the use of one account with the time of its receipt.
type receivedUse struct {
	use        *lanepb.AccountUse
	receivedAt time.Time
}

// SetLocalUse sets the function that returns this process's use of client accounts' limits.
func (n *Node) SetLocalUse(use func() []*lanepb.AccountUse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.localUseSource = use
}

// RemoteUse returns the total use of a client account's limits by all other processes.
func (n *Node) RemoteUse(account string) *lanepb.AccountUse {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := &lanepb.AccountUse{Account: account}
	for _, l := range n.activeLinks("") {
		addUse(sum, l.remoteUse[account].use)
	}
	return sum
}

// outgoingAggregates returns the data to send over a link: the use by this process and by all
// other links combined, and the evidence that was not sent over it yet.
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

// mergeAggregates stores the use received over a link, adds the evidence to the collector and
// forwards it to the other links.
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

// localEvidence returns this process's new evidence about versions in unfinished moves.
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

// linkTo returns the link to an address and creates it if needed. The caller holds n.mu.
func (n *Node) linkTo(address string) *treeLink {
	l, ok := n.links[address]
	if !ok {
		l = &treeLink{lastReceived: time.Now(), remoteUse: map[string]receivedUse{}, sentUse: map[string]*lanepb.AccountUse{}}
		n.links[address] = l
	}
	return l
}

// activeLinks returns the unexpired links except that of one address, and removes expired
// ones. The caller holds n.mu.
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

// mergeUse adds up use by account. The result is sorted by account name.
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
