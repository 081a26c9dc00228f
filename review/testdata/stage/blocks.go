package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonlane/lagoonlane/platform"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

func init() { cases["blocks"] = blocks }

const (
	// blockParts is the number of parts of a long prompt. Its header has some 15,000 bytes; 16,384 are allowed.
	blockParts = 1900
	// blockPause is the time between two long prompts of one tenant: less than 29,000 tokens a second.
	blockPause   = 75 * time.Millisecond
	blockEngines = 6
	// ledgerTimeout is timeout_ms of the ordinary requests, ledgerDeadline what their clients wait, and ledgerPause the
	// time between two of them.
	ledgerTimeout  = 800 * time.Millisecond
	ledgerDeadline = 1500 * time.Millisecond
	ledgerPause    = 100 * time.Millisecond
	ledgerWork     = 60 * time.Millisecond
	// answerGrace and lateAllowed are those of the rule.
	answerGrace = 500 * time.Millisecond
	lateAllowed = 7
	blocksTime  = 30 * time.Second
	// streamTimeout is timeout_ms of the streams, and what their clients wait.
	streamTimeout = 6 * time.Second
)

// partCounter makes the ids of parts, which come again after a million.
var partCounter atomic.Uint32

// newPart returns a part that no other prompt has had of late.
func newPart(tokens int) string { return fmt.Sprintf("%05x:%d", partCounter.Add(1)&0xfffff, tokens) }

// longPrompt returns the headers of a prompt of blockParts tokens. Cut in parts of one token each, or in three.
func longPrompt(cut bool) []string {
	parts := []string{"5c1e0:60", newPart(blockParts - 61), newPart(1)}
	if cut {
		parts = parts[:0]
		for range blockParts {
			parts = append(parts, newPart(1))
		}
	}
	return []string{`Lagoonlane-Model: m`, fmt.Sprintf(`Lagoonlane-Token-Count: %d,20`, blockParts), `Lagoonlane-Prefix-Hash: ` + strings.Join(parts, ",")}
}

// blocksManifest writes the first manifest: streams to the model engines, whose route is sticky as that of all such
// requests, and unsafe requests to a plain service. Three tenants have equal allowances.
func (b *bed) blocksManifest() error {
	var tenants []standin.Account
	for _, name := range []string{tenant, "left", "right"} {
		tenants = append(tenants, standin.Account{Name: name, Keys: []string{"key-" + name}, Unit: "token_count", Rate: tenantRate, Burst: tenantBurst, DefaultTokens: 200})
	}
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "stream", "host": host, "path_prefix": "/stream/", "route_kind": "streaming", "service": "model", "attempts": 1, "timeout_ms": streamTimeout.Milliseconds(), "objective_ms": 600, "gap_target_ms": 400, "priority": 0, "sticky": true},
			{"name": "ledger", "host": host, "path_prefix": "/ledger/", "route_kind": "unsafe", "service": "ledger", "attempts": 1, "timeout_ms": ledgerTimeout.Milliseconds(), "objective_ms": 300, "priority": 2},
		},
		"services": []map[string]any{
			{"name": "ledger", "max_conns": 110},
			{"name": "model", "max_conns": 370, "engine": map[string]int{"slots": engineSlots, "kv_capacity": engineTokens}},
		},
		"tenants": tenants,
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	b.store.Put(platform.TopicOperator, platform.KeyManifest, value)
	return nil
}

// timedRequests counts requests by how long their answers took.
type timedRequests struct{ sent, answered, unanswered, none atomic.Int64 }

// count sends a request on a new channel and counts it against the timeout of its route.
func (t *timedRequests) count(entry *process, r request, timeout time.Duration) {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(entry.ip, strconv.Itoa(frontPort)), time.Second)
	if err != nil {
		entry.bed.note("no channel: %v", err)
		return
	}
	defer conn.Close()
	t.sent.Add(1)
	began := time.Now()
	a := exchange(entry, conn, bufio.NewReader(conn), r)
	took := time.Since(began)
	entry.bed.note("request %s: %v, after %v", r.id, a, took.Round(time.Millisecond))
	if a.err == nil {
		t.answered.Add(1)
	}
	if took > timeout {
		t.unanswered.Add(1)
		if a.err != nil || took > timeout+answerGrace {
			t.none.Add(1)
		}
	}
}

// blocks: two tenants send prompts that are cut in many parts, within their allowances and the limits. Broken if from
// then on eight or more ordinary requests to a plain service, and over half of those without an answer at the route's
// timeout, have none half a second later.
func blocks(b *bed) (bool, error) {
	if err := b.blocksManifest(); err != nil {
		return false, err
	}
	entry := b.entry(10)
	processes := []*process{entry}
	for i := range blockEngines {
		e := &engine{bed: b, id: fmt.Sprintf("i-%d", 20+i), service: "model", index: 20 + i, slots: engineSlots, model: true}
		e.handle = func(w http.ResponseWriter, r *http.Request, id string) {
			b.note("request %s runs at %s", id, e.id)
			time.Sleep(prefill)
			e.answerStream(w, r, id, 5, 20*time.Millisecond)
		}
		if err := e.start(); err != nil {
			return false, err
		}
		processes = append(processes, b.sidecar(20+i))
	}
	for i := range 3 {
		e := &engine{bed: b, id: fmt.Sprintf("i-%d", 40+i), service: "ledger", index: 40 + i, slots: engineSlots}
		e.handle = func(w http.ResponseWriter, _ *http.Request, id string) {
			b.note("request %s runs at %s", id, e.id)
			time.Sleep(ledgerWork)
			e.answerPlain(w, id)
		}
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := b.startAll(processes...); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	// ordinary sends the ordinary requests of a span.
	ordinary := func(span time.Duration) *timedRequests {
		var all sync.WaitGroup
		var counts timedRequests
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(ledgerPause) {
			all.Go(func() {
				counts.count(entry, request{id: newID(), method: http.MethodPost, path: "/ledger/x", body: "loan", timeout: ledgerDeadline}, ledgerTimeout)
			})
		}
		all.Wait()
		b.note("ordinary requests: %d sent, %d answered, %d without an answer at the timeout of %v, %d of them without one %v later",
			counts.sent.Load(), counts.answered.Load(), counts.unanswered.Load(), ledgerTimeout, counts.none.Load(), answerGrace)
		return &counts
	}
	if before := ordinary(contactTime); before.unanswered.Load() > 0 {
		return false, fmt.Errorf("ordinary requests are not answered in time before the disturbance")
	}
	var long sync.WaitGroup
	var prompts timedRequests
	for _, key := range []string{"key-left", "key-right"} {
		long.Go(func() {
			var sent sync.WaitGroup
			for end := time.Now().Add(blocksTime); time.Now().Before(end); time.Sleep(blockPause) {
				sent.Go(func() {
					r := request{id: newID(), key: key, method: http.MethodPost, path: "/stream/x", body: "prompt", timeout: streamTimeout, headers: longPrompt(b.trouble)}
					b.note("request %s is a prompt in %d parts, and has %d bytes", r.id, strings.Count(strings.Join(r.headers[2:], ""), ",")+1, len(r.encode()))
					prompts.count(entry, r, streamTimeout)
				})
			}
			sent.Wait()
		})
	}
	counts := ordinary(blocksTime)
	ready := entry.ready()
	long.Wait()
	b.note("long prompts: %d sent, %d answered; %s runs: %v, and says at the end that it is ready: %v", prompts.sent.Load(), prompts.answered.Load(), entry.name, entry.running(), ready)
	return counts.none.Load() > lateAllowed && 2*counts.none.Load() > counts.unanswered.Load(), nil
}
