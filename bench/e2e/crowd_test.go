package e2e

import (
	"net/http"
	"net/url"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/crowd"
)

// crowdMemoryBytes is the memory of a machine whose limits aren't known, within which an entry of our own interface must
// stay.
const crowdMemoryBytes = 256 << 20

// Guards against clients that keep to no limit and end an entry of our own interface.
func TestCrowdAtTheOwnFrontDoor(t *testing.T) {
	s := newSite(t)
	door, err := url.Parse(s.EntryURLs()[0])
	s.c.Assert(err, qt.IsNil)
	request := "POST /services/ledger/loans HTTP/1.1\r\nHost: " + door.Host + "\r\nAuthorization: Bearer " + s.client.Key + "\r\n"
	for _, w := range append(crowd.Heads(), crowd.Bodies(request)...) {
		s.c.Run(w.Name, func(c *qt.C) { s.checkCrowd(c, w, "entry-1", door.Host) })
	}
	refused := "POST /nowhere HTTP/1.1\r\nHost: " + door.Host + "\r\n"
	for _, w := range crowd.Waiting(request, refused) {
		s.c.Run(w.Name, func(c *qt.C) { s.checkCrowd(c, w, "entry-1", door.Host) })
	}
}

// checkCrowd checks the bounds of a process under a crowd at one of its addresses, and that the entry serves afterwards.
func (s *site) checkCrowd(c *qt.C, w crowd.Crowd, name, address string) {
	process := s.Process(name)
	pid := process.PID()
	watched := crowd.Watch(pid)
	w.Hold(c.Context(), address)
	most := watched()
	c.Assert(process.Running(), qt.IsTrue)
	c.Check(process.PID(), qt.Equals, pid)
	peak, err := process.PeakMemory()
	c.Assert(err, qt.IsNil)
	c.Logf("peak memory %d MB, most descriptors %d", peak>>20, most)
	c.Check(peak <= crowdMemoryBytes, qt.IsTrue, qt.Commentf("%d MB resident", peak>>20))
	result := s.client.Operate(c.Context(), s.operation(s.EntryURLs()[0], http.MethodGet, "after "+w.Name, ""))
	c.Check(result.Outcome, qt.Equals, caller.OutcomeWhole)
}

// Guards against clients without the peer key at the addresses between processes of our own interface.
func TestCrowdAtTheOwnInternalAddresses(t *testing.T) {
	s := newSite(t)
	for _, name := range []string{"entry-1", "sidecar-ledger-1"} {
		address := s.Process(name).Address
		crowds := append(crowd.HTTP2("/lane.v1.Peer/Exchange"), crowd.Heads()...)
		crowds = append(crowds, crowd.Unread("GET /metrics HTTP/1.1\r\nHost: s\r\n"))
		crowds = append(crowds, crowd.Waiting("POST /lane HTTP/1.1\r\nHost: s\r\n", "POST /metrics HTTP/1.1\r\nHost: s\r\n")...)
		for _, w := range crowds {
			s.c.Run(name+", "+w.Name, func(c *qt.C) { s.checkCrowd(c, w, name, address) })
		}
	}
}
