package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

// start is an arbitrary time.
var start = time.Unix(1_000_000, 0)

func newDirectory(n int) *fleet.Directory {
	d := fleet.NewDirectory()
	for i := range n {
		d.Put(fleet.Server{ID: serverID(i), Service: "engines", Address: "10.0.0.1:80"})
	}
	d.MarkStoreUp(start)
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

// Guards against a registration that expired during a store outage and is dropped before live
// servers can register again, or is kept longer, whether or not the store is read again.
func TestExpiredRegistrationIsKeptForGraceOnly(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(4)
	recovered := start.Add(10 * time.Second)
	d.MarkStoreDown(recovered)
	d.MarkStoreUp(recovered)
	d.Remove([]string{serverID(0), serverID(1)}, recovered.Add(time.Millisecond))
	c.Assert(d.Usable(serverID(0), recovered.Add(time.Second)), qt.IsTrue)
	d.Put(fleet.Server{ID: serverID(1), Service: "engines"})
	late := recovered.Add(fleet.RegistrationGrace + 10*time.Millisecond)
	c.Assert(d.Usable(serverID(0), late), qt.IsFalse)
	c.Assert(d.Usable(serverID(1), late), qt.IsTrue)
}

// Guards against a grace that counts from the time at which this process detects the recovery
// of the store. A server that had left before was then kept too long.
func TestGraceCountsFromLastStoreFailure(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(4)
	lastFailure := start.Add(10 * time.Second)
	d.MarkStoreDown(lastFailure)
	recovered := lastFailure.Add(1200 * time.Millisecond)
	d.Remove([]string{serverID(0)}, recovered)
	d.MarkStoreUp(recovered)
	c.Assert(d.Usable(serverID(0), lastFailure.Add(fleet.RegistrationGrace-time.Millisecond)), qt.IsTrue)
	c.Assert(d.Usable(serverID(0), lastFailure.Add(fleet.RegistrationGrace+time.Millisecond)), qt.IsFalse)
}

// Guards against keeping a server that leaves soon after an outage. Its registration did not
// expire in the outage, but was removed by the server.
func TestServerRemovedAfterOutageIsDroppedImmediately(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(4)
	recovered := start.Add(10 * time.Second)
	d.MarkStoreDown(recovered)
	d.MarkStoreUp(recovered)
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

// Guards against using both incarnations when engines restart with new IDs at the same
// addresses while the registrations of the previous incarnations still exist.
func TestNewerIncarnationTakesOverAddress(t *testing.T) {
	c := qt.New(t)
	d := fleet.NewDirectory()
	d.Put(fleet.Server{ID: "old", Service: "engines", Address: "10.0.0.1:80", StartedAt: start})
	d.Put(fleet.Server{ID: "new", Service: "engines", Address: "10.0.0.1:80", StartedAt: start.Add(time.Second)})
	c.Assert(d.Usable("old", start), qt.IsFalse)
	d.Put(fleet.Server{ID: "old", Service: "engines", Address: "10.0.0.1:80", StartedAt: start})
	c.Assert(d.Usable("old", start), qt.IsFalse)
	c.Assert(d.Usable("new", start), qt.IsTrue)
}

// Guards against requests to servers of an evacuated data centre, also when the store has lost the request for a
// moment, and against one that stays evacuated.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	d := fleet.NewDirectory()
	for _, dataCentre := range []string{"a", "b"} {
		d.Put(fleet.Server{ID: "in-" + dataCentre, Service: "s", Address: dataCentre, DataCentre: dataCentre, StartedAt: now})
	}
	ready := func(at time.Time) (ids []string) {
		for _, server := range d.Ready("s", at) {
			ids = append(ids, server.ID)
		}
		return ids
	}
	d.SetEvacuated("a", true)
	c.Check(ready(now), qt.DeepEquals, []string{"in-b"})
	c.Check(d.Usable("in-a", now), qt.IsFalse)
	c.Check(d.Registered("s", now), qt.HasLen, 2)
	d.HoldEvacuations(now)
	d.SetEvacuations(nil, now)
	c.Check(ready(now.Add(time.Second)), qt.DeepEquals, []string{"in-b"}, qt.Commentf("the operator hasn't written it again yet"))
	c.Check(ready(now.Add(time.Minute)), qt.HasLen, 2)
	d.SetEvacuations([]string{"b"}, now)
	c.Check(ready(now.Add(time.Minute)), qt.DeepEquals, []string{"in-a"})
	d.SetEvacuated("b", false)
	c.Check(ready(now.Add(time.Minute)), qt.HasLen, 2)
}
