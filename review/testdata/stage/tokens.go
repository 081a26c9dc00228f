package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

func init() { cases["tokens"] = tokens }

const (
	// tenantRate and tenantBurst are the allowance of each tenant, in tokens.
	tenantRate  = 29_000
	tenantBurst = 29_000
	// unlimitedTokens is what an uncontrolled client sends as the largest number of output tokens.
	unlimitedTokens = "9223372036854775807"
	engineTokens    = 259_819
	otherTenant     = "other"
	otherKey        = "key-other"
	// requestPause is the time between two ordinary requests of a tenant.
	requestPause = 100 * time.Millisecond
	observedTime = 30 * time.Second
)

// tokens: one client that nobody controls asks for an unlimited number of output tokens. Broken if from then on the
// ordinary requests of its tenant are served less than a quarter as often as all.
func tokens(b *bed) (bool, error) {
	b.store.PutManifest(standin.Manifest{
		Version: 1,
		Routes: []standin.Route{
			{Name: "stream", Host: host, PathPrefix: "/stream/", Kind: "streaming", Service: "model", MaxServers: 1, TimeoutMS: 6000, ObjectiveMS: 600, GapTargetMS: 400},
		},
		Services: []standin.Service{{Name: "model", Slots: 6}},
		Accounts: []standin.Account{
			{Name: tenant, Keys: []string{clientKey}, Unit: "token_count", Rate: tenantRate, Burst: tenantBurst, DefaultTokens: 200},
			{Name: otherTenant, Keys: []string{otherKey}, Unit: "token_count", Rate: tenantRate, Burst: tenantBurst, DefaultTokens: 200},
		},
	})
	entries := []*process{b.entry(10), b.entry(11), b.entry(12)}
	processes := entries
	for i := range 3 {
		e := &engine{bed: b, id: fmt.Sprintf("i-%d", 20+i), service: "model", index: 20 + i, slots: 6, model: true}
		e.handle = func(w http.ResponseWriter, r *http.Request, id string) {
			var prompt, output float64
			_, _ = fmt.Sscanf(r.Header.Get(`Lagoonlane-Token-Count`), "%g,%g", &prompt, &output)
			if prompt+output > engineTokens {
				b.note("request %s is larger than the memory of %s, which rejects it", id, e.id)
				w.Header().Set(`Lagoonlane-Not-Executed`, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			b.note("request %s runs at %s", id, e.id)
			e.answerStream(w, r, id, 30, 20*time.Millisecond)
		}
		if err := e.start(); err != nil {
			return false, err
		}
		processes = append(processes, b.sidecar(20+i))
	}
	if err := b.startAll(processes...); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	ask := func(entry *process, key, count string) answer {
		r := request{id: newID(), key: key, method: http.MethodPost, path: "/stream/x", body: "prompt", timeout: 6 * time.Second, headers: []string{
			`Lagoonlane-Model: m`, `Lagoonlane-Token-Count: ` + count, `Lagoonlane-Prefix-Hash: 5c1e07a2:60,` + newID() + `:40`,
		}}
		a := send(entry, r)
		b.note("request %s with key %s and tokens %s at %s: %v", r.id, key, count, entry.name, a)
		return a
	}
	// served returns how many of the requests of each tenant are answered in a span.
	served := func(span time.Duration) (own, other, all int64) {
		var ownServed, otherServed, sent atomic.Int64
		var done sync.WaitGroup
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(requestPause) {
			entry := entries[int(sent.Add(1))%len(entries)]
			done.Go(func() {
				if ask(entry, clientKey, "100,20").status == http.StatusOK {
					ownServed.Add(1)
				}
			})
			done.Go(func() {
				if ask(entry, otherKey, "100,20").status == http.StatusOK {
					otherServed.Add(1)
				}
			})
		}
		done.Wait()
		return ownServed.Load(), otherServed.Load(), sent.Load()
	}
	own, other, sent := served(contactTime)
	b.note("before: %d of %d requests of the tenant served, %d of %d of the other tenant", own, sent, other, sent)
	if own*2 < sent || other*2 < sent {
		return false, fmt.Errorf("too few requests are served before the disturbance")
	}
	disturbed := make(chan struct{})
	go func() {
		defer close(disturbed)
		time.Sleep(contactTime / 2)
		if b.trouble {
			ask(entries[0], clientKey, "1460,"+unlimitedTokens)
		}
	}()
	served(contactTime)
	<-disturbed
	own, other, sent = served(observedTime)
	b.note("after: %d of %d requests of the tenant served, %d of %d of the other tenant", own, sent, other, sent)
	return float64(own)/float64(sent) < float64(own+other)/float64(2*sent)/4, nil
}
