package admission

import "container/heap"

// maxIdleAccounts is the number of accounts of a tier from which on idle ones are evicted.
const maxIdleAccounts = 512

// tier holds the queued tickets of one rank. Accounts share it by start-time fair queueing:
// the virtual time of an account advances by work/weight with each grant, and the account with
// the smallest virtual time goes first.
type tier struct {
	accounts map[string]*account
	queued   int
	// virtualTime is the virtual time of the last grant.
	virtualTime float64
	// work is the total work of the queued tickets.
	work float64
}

// account is the queue of one client account in one tier.
type account struct {
	name   string
	weight float64
	// virtualTime is the start time of the account's next ticket, in the tier's virtual time.
	virtualTime float64
	tickets     deadlineHeap
	work        float64
}

func newTier() *tier {
	return &tier{accounts: map[string]*account{}}
}

func (r *tier) push(t *Ticket) {
	a := r.accountFor(t.request)
	if len(a.tickets) == 0 && a.virtualTime < r.virtualTime {
		a.virtualTime = r.virtualTime
	}
	t.account = a
	heap.Push(&a.tickets, t)
	a.work += t.work
	r.work += t.work
	r.queued++
}

func (r *tier) accountFor(request Request) *account {
	weight := float64(request.Weight)
	if weight == 0 {
		weight = 1
	}
	a := r.accounts[request.Account]
	if a == nil {
		r.evictIdleAccounts()
		a = &account{name: request.Account, virtualTime: r.virtualTime}
		r.accounts[request.Account] = a
	}
	a.weight = weight
	return a
}

// evictIdleAccounts removes the accounts without queued tickets whose virtual time is not ahead
// of the tier's.
func (r *tier) evictIdleAccounts() {
	if len(r.accounts) < maxIdleAccounts {
		return
	}
	for name, a := range r.accounts {
		if len(a.tickets) == 0 && a.virtualTime <= r.virtualTime {
			delete(r.accounts, name)
		}
	}
}

func (r *tier) remove(t *Ticket) {
	a := t.account
	heap.Remove(&a.tickets, t.index)
	a.work -= t.work
	r.work -= t.work
	r.queued--
	if r.queued == 0 {
		r.work = 0
	}
	if len(a.tickets) == 0 {
		a.work = 0
	}
}

// next returns the ticket to be granted next, or nil.
func (r *tier) next() *Ticket {
	var best *account
	for _, a := range r.accounts {
		if len(a.tickets) > 0 && (best == nil || accountBefore(a, best)) {
			best = a
		}
	}
	if best == nil {
		return nil
	}
	return best.tickets[0]
}

func accountBefore(a, b *account) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return ticketBefore(a.tickets[0], b.tickets[0])
}

// charge advances the virtual time of an account by the work of a granted ticket.
func (r *tier) charge(t *Ticket) {
	a := t.account
	if a.virtualTime > r.virtualTime {
		r.virtualTime = a.virtualTime
	}
	a.virtualTime += t.work / a.weight
}

// adjustCharge corrects the charge for a ticket by its actual work, which is known at the end.
func (t *Ticket) adjustCharge(outputTokens uint32) {
	work := max(1, t.prefill+outputTokenWork*float64(outputTokens))
	t.account.virtualTime += (work - t.work) / t.account.weight
}

// refund reverses the charge for a ticket that did not run.
func (t *Ticket) refund() {
	t.account.virtualTime -= t.work / t.account.weight
}

// shedCandidate returns the ticket to be shed first: the newest ticket of the account with the
// most queued work for its weight.
func (r *tier) shedCandidate() *Ticket {
	var largest *account
	for _, a := range r.accounts {
		if len(a.tickets) > 0 && (largest == nil || hasMoreQueuedWork(a, largest)) {
			largest = a
		}
	}
	if largest == nil {
		return nil
	}
	newest := largest.tickets[0]
	for _, t := range largest.tickets {
		if t.arrival > newest.arrival {
			newest = t
		}
	}
	return newest
}

func hasMoreQueuedWork(a, b *account) bool {
	left, right := a.work/a.weight, b.work/b.weight
	if left != right {
		return left > right
	}
	return a.name > b.name
}

// ticketBefore orders the tickets of one account by deadline, then by arrival.
func ticketBefore(a, b *Ticket) bool {
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.arrival < b.arrival
}

// deadlineHeap implements heap.Interface, earliest deadline first.
type deadlineHeap []*Ticket

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return ticketBefore(h[i], h[j]) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push adds a *Ticket. It is called by container/heap.
func (h *deadlineHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop removes the last ticket. It is called by container/heap.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*h = old[:last]
	return t
}
