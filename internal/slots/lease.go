package slots

import (
	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

// BeginDirect counts a request that runs at an engine without a slot, until the returned function is
// called.
func (c *Client) BeginDirect(engine string) (end func()) {
	c.adjustLeases(engine, nil, 1)
	return func() { c.adjustLeases(engine, nil, -1) }
}

// adjustLeases adds to the number of requests that run at an engine under slots granted over conn, or
// without a slot if conn is nil.
func (c *Client) adjustLeases(engine string, conn *clientConn, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byConn := c.leases[engine]
	if byConn == nil {
		byConn = map[*clientConn]int{}
		c.leases[engine] = byConn
	}
	if byConn[conn] += change; byConn[conn] <= 0 {
		delete(byConn, conn)
	}
	if len(byConn) == 0 {
		delete(c.leases, engine)
	}
}

// leasesElsewhere returns the number of requests that run at an engine under no slot granted over
// conn.
func (c *Client) leasesElsewhere(engine string, conn *clientConn) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for other, n := range c.leases[engine] {
		if other != conn {
			total += n
		}
	}
	return total
}

// Lease is a held slot.
type Lease struct {
	// Load is the state of the queue when the slot was granted.
	Load   admission.SlotLoad
	client *Client
	conn   *clientConn
	ticket *ticket
}

// GrantedBy returns the kind of process that granted the slot: "sidecar" or "deputy".
func (l *Lease) GrantedBy() string { return l.conn.endpoint.dependency() }

// ByDeputy reports whether a deputy granted the slot.
func (l *Lease) ByDeputy() bool { return l.conn.endpoint.Deputy }

// Finish releases the slot and reports the outcome of the request to the sidecar. It doesn't
// block.
func (l *Lease) Finish(outcome admission.Outcome) {
	l.client.adjustLeases(l.ticket.engine, l.conn, -1)
	l.conn.remove(l.ticket.number)
	l.conn.conn.send(&message{Kind: kindFinish, Ticket: l.ticket.number, Result: newResult(outcome)})
}

// ReportRateLimit tells the process that granted the slot the rate limit of its engine. It doesn't
// block.
func (l *Lease) ReportRateLimit(server fleet.Incarnation, limit *backpressure.LimitReport) {
	l.conn.conn.send(&message{Kind: kindRateLimit, Server: &server, RateLimit: limit})
}

// Abandon releases the slot without an outcome.
func (l *Lease) Abandon() {
	l.client.adjustLeases(l.ticket.engine, l.conn, -1)
	l.conn.withdraw(l.ticket)
}
