package logstream_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/logstream"
)

const (
	leaseSeeds     = 20
	leaseProcesses = 4
	leaseName      = "move/m1"
	leaseTTL       = 4 * time.Second
	// leaseRunTime is the virtual run time of each seed.
	leaseRunTime = 3 * time.Minute
	// leaseSampleInterval is the time between counts of the valid holders.
	leaseSampleInterval = 100 * time.Millisecond
)

// leaseMonitor records the last lease that each process acquired.
type leaseMonitor struct {
	mu       sync.Mutex
	held     map[int]*logstream.Lease
	fencing  uint64
	acquired int
	faults   []string
}

func (w *leaseMonitor) set(process int, lease *logstream.Lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held[process] = lease
	w.acquired++
	if lease.Fencing() <= w.fencing {
		w.faults = append(w.faults, fmt.Sprintf("fencing number %d after %d", lease.Fencing(), w.fencing))
	}
	w.fencing = lease.Fencing()
}

// check counts the processes with a valid lease and records a fault if there are several.
func (w *leaseMonitor) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	valid := 0
	for _, lease := range w.held {
		if lease.Valid() {
			valid++
		}
	}
	if valid > 1 {
		w.faults = append(w.faults, fmt.Sprintf("%d valid holders", valid))
	}
}

// holdRepeatedly acquires the lease repeatedly until ctx is done.
func (w *leaseMonitor) holdRepeatedly(ctx context.Context, p *process, index int, rng *rand.Rand) {
	for ctx.Err() == nil {
		lease, err := p.AcquireLease(ctx, leaseName, leaseTTL)
		if err != nil {
			return
		}
		w.set(index, lease)
		w.check()
		select {
		case <-lease.Done():
		case <-time.After(time.Duration(rng.IntN(20_000)) * time.Millisecond):
		case <-ctx.Done():
		}
		if rng.IntN(2) == 0 {
			lease.Release(ctx)
			continue
		}
		select {
		case <-lease.Done():
		case <-ctx.Done():
		}
	}
}

// injectLeaseFaults switches random faults on and off until ctx is done.
func injectLeaseFaults(ctx context.Context, cl *cluster, rng *rand.Rand) {
	for ctx.Err() == nil {
		p := cl.processes[rng.IntN(len(cl.processes))]
		on := rng.IntN(2) == 0
		switch rng.IntN(8) {
		case 0:
			p.conn.SetDisconnected(on)
		case 1:
			p.conn.SetReadsFail(on)
		case 2:
			p.conn.SetHanging(on)
		case 3:
			p.conn.SetDelay(time.Duration(rng.IntN(2)*rng.IntN(4000)) * time.Millisecond)
		case 4:
			p.conn.LoseAnswers(rng.IntN(3))
		case 5:
			p.conn.DelayAppends(rng.IntN(3), time.Duration(rng.IntN(10_000))*time.Millisecond)
		case 6:
			cl.log.SetDown(rng.IntN(4) == 0)
		case 7:
			cl.isolated.Store(on)
		}
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
}

func runLeaseSchedule(t *testing.T, seed uint64) *leaseMonitor {
	rng := rand.New(rand.NewPCG(seed, 9))
	cl := newSeededCluster(t, leaseProcesses, seed)
	w := &leaseMonitor{held: map[int]*logstream.Lease{}}
	ctx, cancel := context.WithTimeout(context.Background(), leaseRunTime)
	defer cancel()
	var tasks sync.WaitGroup
	for i, p := range cl.processes {
		processRNG := rand.New(rand.NewPCG(rng.Uint64(), 10))
		tasks.Go(func() { w.holdRepeatedly(ctx, p, i, processRNG) })
	}
	tasks.Go(func() { injectLeaseFaults(ctx, cl, rand.New(rand.NewPCG(seed, 11))) })
	for ctx.Err() == nil {
		w.check()
		time.Sleep(leaseSampleInterval)
	}
	tasks.Wait()
	clearFaults(cl)
	cl.stop()
	return w
}

// Under random schedules of outages, partitions, slow or lost appends and takeovers, at most one
// process holds a lease at a time, and fencing numbers only increase.
func TestNoTwoValidHoldersInAnySchedule(t *testing.T) {
	acquired := 0
	var faults []string
	for seed := range uint64(leaseSeeds) {
		synctest.Test(t, func(t *testing.T) {
			w := runLeaseSchedule(t, seed)
			acquired += w.acquired
			for _, fault := range w.faults[:min(1, len(w.faults))] {
				faults = append(faults, fmt.Sprintf("seed %d: %s", seed, fault))
			}
		})
	}
	t.Logf("%d seeds, %d leases acquired", leaseSeeds, acquired)
	qt.Assert(t, faults, qt.HasLen, 0)
	qt.Assert(t, acquired > 3*leaseSeeds, qt.IsTrue)
}

// A claimer that can append but can't read must not supersede a live holder.
func TestClaimerThatCannotReadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		cl.isolated.Store(true)
		holder, err := cl.processes[0].AcquireLease(t.Context(), leaseName, leaseTTL)
		cl.c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		cl.processes[1].conn.SetReadsFail(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = cl.processes[1].AcquireLease(ctx, leaseName, leaseTTL)
		var held *logstream.LeaseHeldError
		cl.c.Assert(errors.As(err, &held), qt.IsTrue)
		cl.c.Assert(holder.Valid(), qt.IsTrue)
	})
}

// A renewal that is acknowledged after the lease has expired doesn't make it valid again.
func TestPausedHolderFindsItsLeaseLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		holder, err := cl.processes[0].AcquireLease(t.Context(), leaseName, leaseTTL)
		cl.c.Assert(err, qt.IsNil)
		cl.processes[0].conn.SetHanging(true)
		next, err := cl.processes[1].AcquireLease(t.Context(), leaseName, leaseTTL)
		cl.c.Assert(err, qt.IsNil)
		cl.processes[0].conn.SetHanging(false)
		cl.c.Assert(holder.Valid(), qt.IsFalse)
		<-holder.Done()
		time.Sleep(2 * leaseTTL)
		cl.c.Assert(holder.Valid(), qt.IsFalse)
		cl.c.Assert(next.Valid(), qt.IsTrue)
		cl.c.Assert(next.Fencing() > holder.Fencing(), qt.IsTrue)
	})
}
