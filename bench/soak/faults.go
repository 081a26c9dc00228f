package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// fault is one fault that was injected.
type fault struct {
	Kind string
	// Target names the process, server or link; empty: the store.
	Target   string
	From, To time.Time
}

func (f fault) String() string {
	return fmt.Sprintf("%s %s at %s for %v", f.Kind, f.Target, f.From.Format("05.000"), f.To.Sub(f.From).Round(time.Millisecond))
}

// series injects the faults of one run. They overlap.
type series struct {
	w      *world
	random *rand.Rand
	began  time.Time

	mu     sync.Mutex
	faults []fault
	// problems are faults that could not be injected, or processes that did not come back.
	problems []string
	keys     int
}

const (
	// shortestFault and longestFault bound how long a fault lasts.
	shortestFault = 200 * time.Millisecond
	longestFault  = 3 * time.Second
	// terminateWithin bounds the end of a process after SIGTERM.
	terminateWithin = standin.ShutdownGrace
	// signalPause bounds the pause between two signals of a series.
	signalPause = 80 * time.Millisecond
	// burstVersions is the number of manifests that come in quick succession.
	burstVersions = 5
	// goneAfter is how long after its end the entry of a crashed server is removed.
	goneAfter = time.Second
)

// kind is a kind of fault; do takes a time to last and returns what it hit.
type kind struct {
	name string
	do   func(*series, context.Context, *rand.Rand, time.Duration) string
}

// kinds are the faults.
var kinds = []kind{
	{"entry killed", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.kill(ctx, s.w.entries[r.IntN(len(s.w.entries))], d)
	}},
	{"entry paused", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.pause(ctx, s.w.entries[r.IntN(len(s.w.entries))], d)
	}},
	{"entry terminated", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.terminate(ctx, s.w.entries[r.IntN(len(s.w.entries))])
	}},
	{"entry reloaded", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.reload(ctx, s.w.entries[r.IntN(len(s.w.entries))], r, d)
	}},
	{"entry terminated amid reloads", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.terminateAmidReloads(ctx, s.w.entries[r.IntN(len(s.w.entries))], r, d)
	}},
	{"sidecar reloaded", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.reload(ctx, s.w.sidecars[r.IntN(len(s.w.sidecars))], r, d)
	}},
	{"sidecar terminated amid reloads", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.terminateAmidReloads(ctx, s.w.sidecars[r.IntN(len(s.w.sidecars))], r, d)
	}},
	{"sidecar killed", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.kill(ctx, s.w.sidecars[r.IntN(len(s.w.sidecars))], d)
	}},
	{"sidecar paused", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.pause(ctx, s.w.sidecars[r.IntN(len(s.w.sidecars))], d)
	}},
	{"server crashed", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.crash(ctx, s.anyPlace(r), d)
	}},
	{"server drained", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.drain(ctx, s.anyPlace(r))
	}},
	{"server hung", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.server(ctx, s.anyPlace(r), d, func(v *standin.Server, on bool) { v.Hanging.Store(on) })
	}},
	{"server failing", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.server(ctx, s.anyPlace(r), d, func(v *standin.Server, on bool) {
			if v.FailurePercent.Store(0); on {
				v.FailurePercent.Store(50)
			}
		})
	}},
	{"server endless", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		return s.server(ctx, s.anyPlace(r), d, func(v *standin.Server, on bool) { v.Endless.Store(on) })
	}},
	{"link to a server", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		p := s.anyPlace(r)
		return p.ip + s.link(ctx, p.link, r, d)
	}},
	{"link to the store", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		m := s.w.entries[r.IntN(len(s.w.entries))]
		return m.Name + s.link(ctx, m.store, r, d)
	}},
	{"store", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		mode := standin.StoreUnavailable + standin.StoreMode(r.IntN(int(standin.StoreDroppingAnswers)))
		s.w.store.SetMode(mode)
		sleep(ctx, d)
		s.w.store.SetMode(standin.StoreUp)
		return fmt.Sprint("mode ", mode)
	}},
	{"store compacted", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		s.w.store.Compact()
		return ""
	}},
	{"manifests", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		for range burstVersions {
			s.w.manifest.publish(s.w.store, nil)
			sleep(ctx, d/burstVersions)
		}
		return ""
	}},
	{"key replaced", func(s *series, ctx context.Context, r *rand.Rand, d time.Duration) string {
		s.w.manifest.publish(s.w.store, func() string {
			s.keys++
			return fmt.Sprint("key-", s.keys)
		})
		return ""
	}},
}

// run injects faults at random moments of a time, and returns when all have ended.
func (s *series) run(ctx context.Context, count int, length time.Duration) {
	drawn := kinds
	if only := s.w.options.Kinds; len(only) > 0 {
		drawn = slices.DeleteFunc(slices.Clone(kinds), func(k kind) bool { return !slices.Contains(only, k.name) })
	}
	var all sync.WaitGroup
	for range count {
		kind := drawn[s.random.IntN(len(drawn))]
		at := time.Duration(s.random.Int64N(int64(length)))
		lasts := shortestFault + time.Duration(s.random.Int64N(int64(longestFault-shortestFault)))
		own := rand.New(rand.NewPCG(s.random.Uint64(), 0))
		all.Go(func() {
			sleep(ctx, at)
			if ctx.Err() != nil {
				return
			}
			from := time.Now()
			s.note(fault{Kind: kind.name, From: from, To: from.Add(time.Hour)})
			target := kind.do(s, ctx, own, lasts)
			s.end(kind.name, target, from)
		})
	}
	all.Wait()
}

func (s *series) note(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
}

func (s *series) end(kind, target string, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.faults {
		if f := &s.faults[i]; f.Kind == kind && f.From.Equal(from) {
			f.Target, f.To = target, time.Now()
		}
	}
}

func (s *series) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

func (s *series) anyPlace(r *rand.Rand) *place {
	all := s.w.places()
	return all[r.IntN(len(all))]
}

// take keeps other faults off a machine while its process changes.
func (m *machine) take() bool { return m.busy.CompareAndSwap(false, true) }

func (m *machine) give() { m.busy.Store(false) }

func (s *series) kill(ctx context.Context, m *machine, d time.Duration) string {
	if !m.take() {
		return m.Name + " busy"
	}
	defer m.give()
	if err := m.process.Kill(); err != nil {
		s.problem("%s could not be killed: %v", m.Name, err)
	}
	sleep(ctx, d)
	s.restart(m)
	return m.Name
}

// restart starts a process again; it must serve whatever else is broken.
func (s *series) restart(m *machine) {
	m.mu.Lock()
	m.incarnation++
	m.mu.Unlock()
	for {
		before := s.logOf(m)
		err := m.process.Restart(context.Background())
		var exited *deploy.ExitedError
		if errors.As(err, &exited) && exited.Code < 0 && s.logOf(m) == before {
			// No program can handle a signal before its main. Its supervisor starts it again.
			continue
		}
		if err != nil {
			s.problem("%s did not come back: %v", m.Name, err)
		}
		return
	}
}

func (s *series) logOf(m *machine) string {
	text, err := m.process.LogText()
	if err != nil {
		s.problem("the log of %s can't be read: %v", m.Name, err)
	}
	return text
}

// reload sends SIGHUP again and again, whatever the process is doing.
func (s *series) reload(ctx context.Context, m *machine, r *rand.Rand, d time.Duration) string {
	bounded, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for bounded.Err() == nil {
		if err := m.process.Reload(); err != nil {
			s.problem("%s could not be signalled: %v", m.Name, err)
		}
		sleep(bounded, time.Duration(r.Int64N(int64(signalPause))))
	}
	return m.Name
}

// terminateAmidReloads lets a series of SIGHUP overlap with the stop of a process and its next start.
func (s *series) terminateAmidReloads(ctx context.Context, m *machine, r *rand.Rand, d time.Duration) string {
	reloading, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { s.reload(reloading, m, r, terminateWithin+longestFault) })
	target := s.terminate(ctx, m)
	sleep(ctx, d)
	cancel()
	all.Wait()
	return target
}

func (s *series) pause(ctx context.Context, m *machine, d time.Duration) string {
	if !m.take() {
		return m.Name + " busy"
	}
	defer m.give()
	if err := m.process.Stop(); err != nil {
		s.problem("%s could not be paused: %v", m.Name, err)
	}
	sleep(ctx, d)
	if err := m.process.Continue(); err != nil {
		s.problem("%s could not go on: %v", m.Name, err)
	}
	return m.Name
}

func (s *series) terminate(ctx context.Context, m *machine) string {
	if !m.take() {
		return m.Name + " busy"
	}
	defer m.give()
	if err := m.process.Terminate(); err != nil {
		s.problem("%s could not be terminated: %v", m.Name, err)
	}
	bounded, cancel := context.WithTimeout(ctx, terminateWithin)
	defer cancel()
	var again sync.WaitGroup
	again.Go(func() { s.terminateAgain(bounded, m) })
	code, err := m.process.Wait(bounded)
	cancel()
	again.Wait()
	if err != nil || code != 0 {
		s.problem("%s after SIGTERM: code %d, %v", m.Name, code, err)
		if err := m.process.Kill(); err != nil {
			s.problem("%s could not be killed: %v", m.Name, err)
		}
	}
	s.restart(m)
	return m.Name
}

// terminateAgain repeats SIGTERM and SIGINT until ctx is done.
func (s *series) terminateAgain(ctx context.Context, m *machine) {
	for {
		for _, send := range []func() error{m.process.Terminate, m.process.Interrupt} {
			sleep(ctx, signalPause)
			if ctx.Err() != nil {
				return
			}
			if err := send(); err != nil {
				s.problem("%s could not be signalled: %v", m.Name, err)
			}
		}
	}
}

// checkAlive reports processes that have ended though nobody asked them to.
func (s *series) checkAlive() {
	for _, m := range append(append([]*machine{}, s.w.entries...), s.w.sidecars...) {
		if !m.process.Running() {
			s.problem("%s has ended by itself with code %d", m.Name, m.process.ExitCode())
		}
	}
}

// crash ends a backend server; its entry goes a little later, and another one comes.
func (s *series) crash(ctx context.Context, p *place, d time.Duration) string {
	server := p.leave()
	if server == nil {
		return p.ip + " busy"
	}
	server.Stop()
	sleep(ctx, goneAfter)
	s.w.store.RemoveServer(server.ID)
	sleep(ctx, d)
	s.reopen(p, server.Service)
	return server.ID
}

// leave keeps other faults off a place. It returns nil if the server there leaves already.
func (p *place) leave() *standin.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving {
		return nil
	}
	p.leaving = true
	return p.server
}

func (s *series) reopen(p *place, service string) {
	if err := s.w.open(p, service); err != nil {
		s.problem("%s could not be opened again: %v", p.ip, err)
	}
}

// drain lets a backend server finish and replaces it.
func (s *series) drain(ctx context.Context, p *place) string {
	server := p.leave()
	if server == nil {
		return p.ip + " busy"
	}
	p.mu.Lock()
	p.change++
	s.w.store.PutServer(server, p.change, true)
	p.mu.Unlock()
	s.w.noteDrain(server)
	sleep(ctx, standin.DrainWithin+patienceOfStreams)
	s.w.store.RemoveServer(server.ID)
	server.Stop()
	s.reopen(p, server.Service)
	return server.ID
}

func (s *series) server(ctx context.Context, p *place, d time.Duration, set func(*standin.Server, bool)) string {
	p.mu.Lock()
	server := p.server
	p.mu.Unlock()
	set(server, true)
	sleep(ctx, d)
	set(server, false)
	return server.ID
}

func (s *series) link(ctx context.Context, link *Proxy, r *rand.Rand, d time.Duration) string {
	mode := LinkSlow + LinkFault(r.IntN(int(LinkReset)))
	link.Set(mode)
	sleep(ctx, d)
	link.Set(LinkUp)
	return fmt.Sprint(" mode ", mode)
}
