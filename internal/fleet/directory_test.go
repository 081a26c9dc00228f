package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

// start is any moment.
var start = time.Unix(1_000_000, 0)

func newDirectory(n int) *fleet.Directory {
	d := fleet.NewDirectory()
	for i := range n {
		d.Put(fleet.Server{ID: serverID(i), Service: "engines", Address: "10.0.0.1:80"})
	}
	d.StoreAnswered(start)
	return d
}

func serverID(i int) string { return fmt.Sprintf("server-%d", i) }

func TestRemovedServerIsDroppedImmediately(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(4)
	d.Remove([]string{serverID(0)}, start.Add(time.Minute))
	c.Assert(d.Usable(serverID(0), start.Add(time.Minute)), qt.IsFalse)
	c.Assert(d.Ready("engines", start.Add(time.Minute)), qt.HasLen, 3)
}

func TestDrainingServerIsNotReady(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(2)
	d.Put(fleet.Server{ID: serverID(0), Service: "engines", State: fleet.StateDraining})
	c.Assert(d.Usable(serverID(0), start), qt.IsFalse)
	c.Assert(d.Ready("engines", start), qt.HasLen, 1)
}

// An entry that vanished while the store was away is kept until the time in which
// live servers are back, and no longer, whether or not the store is read again.
func TestExpiredRegistrationIsKeptForGraceOnly(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(4)
	recovered := start.Add(10 * time.Second)
	d.StoreLost(recovered)
	d.StoreAnswered(recovered)
	d.Remove([]string{serverID(0), serverID(1)}, recovered.Add(time.Millisecond))
	c.Assert(d.Usable(serverID(0), recovered.Add(time.Second)), qt.IsTrue)
	d.Put(fleet.Server{ID: serverID(1), Service: "engines"})
	late := recovered.Add(fleet.RegistrationGrace + 10*time.Millisecond)
	c.Assert(d.Usable(serverID(0), late), qt.IsFalse)
	c.Assert(d.Usable(serverID(1), late), qt.IsTrue)
}

// A process that hears late of the store's return kept a server that had left since then
// for the whole grace, counted from when it heard.
func TestGraceCountsFromLastStoreFailure(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(4)
	lastFailure := start.Add(10 * time.Second)
	d.StoreLost(lastFailure)
	recovered := lastFailure.Add(1200 * time.Millisecond)
	d.Remove([]string{serverID(0)}, recovered)
	d.StoreAnswered(recovered)
	c.Assert(d.Usable(serverID(0), lastFailure.Add(fleet.RegistrationGrace-time.Millisecond)), qt.IsTrue)
	c.Assert(d.Usable(serverID(0), lastFailure.Add(fleet.RegistrationGrace+time.Millisecond)), qt.IsFalse)
}

// A server that leaves soon after an outage, but not during it, is gone at once: its
// entry was removed by itself, not by the outage.
func TestServerRemovedAfterOutageIsDroppedImmediately(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(4)
	recovered := start.Add(10 * time.Second)
	d.StoreLost(recovered)
	d.StoreAnswered(recovered)
	left := recovered.Add(370 * time.Millisecond)
	d.Remove([]string{serverID(0)}, left)
	c.Assert(d.Usable(serverID(0), left), qt.IsFalse)
}

func TestMassRemovalIsTreatedAsExpiry(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(4)
	now := start.Add(time.Minute)
	d.Remove([]string{serverID(0), serverID(1), serverID(2)}, now)
	c.Assert(d.Ready("engines", now.Add(time.Second)), qt.HasLen, 4)
	c.Assert(d.Ready("engines", now.Add(3*time.Second)), qt.HasLen, 1)
}

// Engines that all start again have new ids at their old addresses, while the entries
// of their last start are still there.
func TestNewerIncarnationTakesOverAddress(t *testing.T) {
	c := qt.New(t)
	d := fleet.NewDirectory()
	d.Put(fleet.Server{ID: "old", Service: "engines", Address: "10.0.0.1:80", Born: start})
	d.Put(fleet.Server{ID: "new", Service: "engines", Address: "10.0.0.1:80", Born: start.Add(time.Second)})
	c.Assert(d.Usable("old", start), qt.IsFalse)
	d.Put(fleet.Server{ID: "old", Service: "engines", Address: "10.0.0.1:80", Born: start})
	c.Assert(d.Usable("old", start), qt.IsFalse)
	c.Assert(d.Usable("new", start), qt.IsTrue)
}
