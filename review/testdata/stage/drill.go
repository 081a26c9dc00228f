package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lagoonlane/lagoonlane/platform"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

func init() { cases["drill"] = drill }

const (
	deskServers  = 3
	deskWork     = 30 * time.Millisecond
	deskPause    = 25 * time.Millisecond
	orderSeconds = 15
	orderTimeout = (orderSeconds + 5) * time.Second
	// copyAge is the age of the copy from which the store comes back, copyPause the time between two copies.
	copyAge   = 4 * time.Second
	copyPause = 250 * time.Millisecond
	// drillAfter is the time from the end of the roll-out to the drill, storeAway how long the store is away, and
	// machinesDown how long the killed processes are.
	drillAfter   = 500 * time.Millisecond
	storeAway    = 2 * time.Second
	machinesDown = time.Second
	// recoverTime and minServed are those of the rule; judgedTime is the span whose requests are counted.
	recoverTime = 12 * time.Second
	minServed   = 0.25
	judgedTime  = 60 * time.Second
	// revertDelay is when the new servers drain after reverted, drainTime is drain_ms.
	revertDelay = 3 * time.Second
	drainTime   = 2 * time.Second
)

// timedCopy is the content of the store at a time.
type timedCopy struct {
	at      time.Time
	content standin.Copy
}

// drill: a good version is rolled out; right after its end the store comes back from a copy that lacks the end, and all
// entries are killed while it is away. Broken if less than a quarter of the requests is served recover_s later.
func drill(b *bed) (bool, error) {
	// STAGE_ONLY leaves one of the two disturbances out, to tell what each does alone.
	only := os.Getenv("STAGE_ONLY")
	b.manifest("desk", "model", 6)
	var old, recent []*engine
	server := func(index int, version string) (*engine, error) {
		e := &engine{bed: b, id: fmt.Sprintf("i-%s-%d", version, index), service: "desk", version: version, index: index, slots: 6}
		e.handle = func(w http.ResponseWriter, _ *http.Request, id string) {
			b.note("request %s runs at %s of version %s", id, e.id, version)
			time.Sleep(deskWork)
			e.answerPlain(w, id)
		}
		return e, e.start()
	}
	for i := range deskServers {
		e, err := server(20+i, "v1")
		if err != nil {
			return false, err
		}
		old = append(old, e)
	}
	entries := []*process{b.entry(10), b.entry(11), b.entry(12)}
	if err := b.startAll(entries...); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var traffic deskTraffic
	var all sync.WaitGroup
	all.Go(func() { traffic.run(b, entries, stop) })
	defer all.Wait()
	defer close(stop)
	copies := make(chan []timedCopy, 1)
	copied := make(chan struct{})
	go func() { copies <- b.keepCopies(copied) }()
	time.Sleep(contactTime)
	for i := range deskServers {
		e, err := server(30+i, "v2")
		if err != nil {
			return false, err
		}
		recent = append(recent, e)
	}
	order, _ := json.Marshal(map[string]any{"service": "desk", "target": "v2", "duration_s": orderSeconds})
	b.note("the operator orders version v2")
	b.store.Put(platform.TopicOperator, "rollout/desk", order)
	if err := b.awaitState("completed"); err != nil {
		return false, err
	}
	b.note("the state is completed; the old servers stop")
	for _, e := range old {
		e.crash()
		b.store.RemoveServer(e.id)
	}
	ended := time.Now()
	all.Go(func() { b.obeyReverted(recent, stop) })
	time.Sleep(drillAfter)
	close(copied)
	kept := <-copies
	before := traffic.share(ended.Add(-contactTime), ended)
	if b.trouble && only != "kill" {
		b.note("the store is away")
		b.store.SetMode(standin.StoreUnavailable)
	}
	if b.trouble && only != "copy" {
		for _, p := range entries {
			p.signal(syscall.SIGKILL)
			<-p.done
		}
		time.Sleep(machinesDown)
		for _, p := range entries {
			if err := p.start(); err != nil {
				return false, err
			}
		}
	}
	back := time.Now()
	if b.trouble && only != "kill" {
		time.Sleep(storeAway - machinesDown)
		chosen := kept[0]
		for _, c := range kept {
			if time.Since(c.at) >= copyAge {
				chosen = c
			}
		}
		b.store.RestoreAndRewrite(chosen.content)
		b.store.SetMode(standin.StoreUp)
		b.note("the store is back, from a copy %.1f s old; the operator and the servers have written again", time.Since(chosen.at).Seconds())
	}
	time.Sleep(time.Until(back.Add(recoverTime + judgedTime)))
	after := traffic.share(back.Add(recoverTime), back.Add(recoverTime+judgedTime))
	state := b.status("rollout/desk")
	b.note("served before: %.3f; later than recover_s after the machines are back: %.3f; state: %s", before, after, state)
	if before < minServed {
		return false, fmt.Errorf("too few requests are served before the disturbance: %.3f", before)
	}
	return after < minServed, nil
}

// obeyReverted plays the platform: when the state is reverted, the servers of the new version drain some seconds later.
func (b *bed) obeyReverted(recent []*engine, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		if value := b.status("rollout/desk"); value == "reverted" {
			break
		}
	}
	b.note("the state is reverted; the new servers drain in %v", revertDelay)
	time.Sleep(revertDelay)
	for _, e := range recent {
		e.register("draining")
	}
	time.Sleep(drainTime + drainTime/4)
	for _, e := range recent {
		e.crash()
		b.store.RemoveServer(e.id)
	}
}

// deskTraffic sends requests that may be repeated, and keeps their results.
type deskTraffic struct {
	mu      sync.Mutex
	results []deskResult
}

type deskResult struct {
	at     time.Time
	served bool
}

func (t *deskTraffic) run(b *bed, entries []*process, stop <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	var n atomic.Int64
	for {
		select {
		case <-stop:
			return
		case <-time.After(deskPause):
		}
		entry := entries[int(n.Add(1))%len(entries)]
		all.Go(func() {
			r := request{id: newID(), method: http.MethodGet, path: "/safe/x", timeout: 1500 * time.Millisecond}
			at := time.Now()
			a := send(entry, r)
			b.note("request %s at %s: %v", r.id, entry.name, a)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.results = append(t.results, deskResult{at, a.err == nil && a.status == http.StatusOK})
		})
	}
}

// share returns the share of the requests sent in a span that were served.
func (t *deskTraffic) share(from, to time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, served := 0, 0
	for _, r := range t.results {
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// keepCopies copies the store again and again until done is closed.
func (b *bed) keepCopies(done <-chan struct{}) (list []timedCopy) {
	for {
		list = append(list, timedCopy{time.Now(), b.store.Copy()})
		select {
		case <-done:
			return list
		case <-time.After(copyPause):
		}
	}
}

// status returns the state of a roll-out that the store holds, "" if it holds none or doesn't answer.
func (b *bed) status(key string) string {
	records, _, _, err := platform.NewStore("http://"+b.address(1, storePort)).Newest(b.ctx, platform.TopicStatus)
	if err != nil {
		return ""
	}
	for _, record := range records {
		var status struct {
			State string `json:"state"`
		}
		if record.Key == key && json.Unmarshal(record.Value, &status) == nil {
			return status.State
		}
	}
	return ""
}

// awaitState waits for a state of the roll-out.
func (b *bed) awaitState(wanted string) error {
	last := ""
	for end := time.Now().Add(orderTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		state := b.status("rollout/desk")
		if state != last {
			b.note("state of the roll-out: %s", state)
		}
		if last = state; state == wanted {
			return nil
		}
	}
	return fmt.Errorf("the roll-out is %q", last)
}
