package logstream_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/platform/platformtest"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// process is a client with its own connection to the log. It is also a Puller for the others.
type process struct {
	*logstream.Client
	conn    *platformtest.Conn
	holder  *config.Holder
	cancel  context.CancelFunc
	ended   sync.WaitGroup
	stopped atomic.Bool
	// pulls counts the pulls that this process served.
	pulls atomic.Int64
	// minOffset is the offset of the process that this process replaced.
	minOffset uint64
}

func (p *process) Pull(_ context.Context, request *lanepb.PullRequest) (*lanepb.PullResponse, error) {
	if p.stopped.Load() {
		return nil, &platform.NotSentError{Cause: &platformtest.OutageError{}}
	}
	p.pulls.Add(1)
	return p.Records(request.GetFromOffset(), int(request.GetMaxRecords())), nil
}

func (p *process) stop() {
	p.stopped.Store(true)
	p.cancel()
	p.ended.Wait()
}

// cluster is a log and its client processes.
type cluster struct {
	c    *qt.C
	log  *platformtest.Log
	seed uint64
	// isolated disables pulls between the processes.
	isolated atomic.Bool

	mu        sync.Mutex
	processes []*process
	started   int
	// reversions counts the times that a process changed to a lower offset.
	reversions atomic.Int64
}

func newCluster(t testing.TB, size int) *cluster { return newSeededCluster(t, size, 1) }

func newSeededCluster(t testing.TB, size int, seed uint64) *cluster {
	cl := &cluster{c: qt.New(t), log: platformtest.NewLog(), seed: seed}
	for range size {
		cl.add(cl.start())
	}
	return cl
}

func (cl *cluster) add(p *process) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.processes = append(cl.processes, p)
}

func (cl *cluster) start() *process {
	cl.started++
	p := &process{conn: cl.log.Conn(), holder: &config.Holder{}}
	p.Client = logstream.New(logstream.Options{
		Log:    p.conn,
		Author: fmt.Sprintf("p%d", cl.started),
		Holder: p.holder,
		Logger: zerolog.Nop(),
		Peers:  func() []logstream.Puller { return cl.peersOf(p) },
		Seed:   cl.seed*1000 + uint64(cl.started),
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.ended.Go(func() { _ = p.Run(ctx) })
	p.ended.Go(func() { cl.watchOffsets(ctx, p) })
	return p
}

// watchOffsets counts the reversions of a process.
func (cl *cluster) watchOffsets(ctx context.Context, p *process) {
	var highest uint64
	for {
		changed := p.holder.Changed()
		offset := p.Offset()
		if offset < highest {
			cl.reversions.Add(1)
		}
		highest = offset
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// restart replaces a process by a new one without state.
func (cl *cluster) restart(i int) {
	old := cl.processes[i]
	old.stop()
	replacement := cl.start()
	replacement.minOffset = old.Offset()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.processes[i] = replacement
}

func (cl *cluster) peersOf(p *process) []logstream.Puller {
	if cl.isolated.Load() {
		return nil
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var peers []logstream.Puller
	for _, other := range cl.processes {
		if other != p {
			peers = append(peers, other)
		}
	}
	return peers
}

func (cl *cluster) stop() {
	for _, p := range cl.processes {
		p.stop()
		p.conn.WaitForDelayedAppends()
	}
}
