package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lagoonlane/lagoonlane/platform"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	backEntries = 2
	backServers = 3
	// orderAt is when the new version is ordered, orderTime the time of both orders. backAt is when the version that runs is
	// ordered again, turnsBadAt when the new one begins to fail badFailures of its requests.
	orderAt     = 6 * time.Second
	orderTime   = 30 * time.Second
	backAt      = 10 * time.Second
	turnsBadAt  = 12 * time.Second
	backTotal   = 45 * time.Second
	badFailures = 0.5
	// Bounds of the small deployments on versions.
	exposureShare = 0.1
	exposureSlack = 50
	// drainsAfter is how long after an order has been reverted the servers of its target drain.
	drainsAfter = 3 * time.Second
)

// order writes the operator's order to move a service to a version.
func (b *bed) order(service, target string) time.Time {
	value, err := json.Marshal(map[string]any{"service": service, "target": target, "duration_s": orderTime.Seconds()})
	if err != nil {
		panic(err)
	}
	b.store.Put(platform.TopicOperator, "rollout/"+service, value)
	b.record.add("operator: %s is to move to %s", service, target)
	return time.Now()
}

// status returns the target and the state that the system has published for the roll-out of a service.
func (b *bed) status(service string) (target, state string) {
	response, err := http.Get("http://" + b.storeAddress() + `/lagoonlane/log-newest?part=0&topic=` + platform.TopicStatus)
	if err != nil {
		return "", ""
	}
	defer response.Body.Close()
	var page struct {
		Items []struct{ Key, Value string }
	}
	if json.NewDecoder(response.Body).Decode(&page) != nil {
		return "", ""
	}
	for _, item := range page.Items {
		var published struct{ Target, State string }
		value, err := base64.StdEncoding.DecodeString(item.Value)
		if err == nil && item.Key == "rollout/"+service && json.Unmarshal(value, &published) == nil {
			return published.Target, published.State
		}
	}
	return "", ""
}

// watch does what the platform does at the end of an order: at completed it stops the servers of the other versions, at
// reverted it lets those of the target drain.
func (b *bed) watch(ctx context.Context, service string) {
	last := ""
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		target, state := b.status(service)
		if now := target + " " + state; now != last && state != "" {
			last = now
			b.record.add("platform: the status of %s is %s for %s", service, state, target)
			b.mu.Lock()
			servers := append([]*server(nil), b.servers...)
			b.mu.Unlock()
			for _, s := range servers {
				switch {
				case s.service != service:
				case state == "completed" && s.version != target:
					s.end()
				case state == "reverted" && s.version == target:
					time.AfterFunc(drainsAfter, s.drain)
				}
			}
		}
	}
}

// playBack orders a new version, which turns out bad, and meanwhile the version that runs again.
func playBack(ctx context.Context, b *bed, trouble bool) (string, error) {
	b.putManifest(standin.Manifest{
		Routes:   []standin.Route{{Name: "look", Host: host, PathPrefix: "/look/", Kind: "unsafe", TimeoutMS: 1500, ObjectiveMS: 300, Rank: 1, Service: "ledger", MaxServers: 2}},
		Services: []standin.Service{{Name: "ledger"}},
	})
	var isBad atomic.Bool
	add := func(version string, group int) error {
		for i := range backServers {
			s := &server{service: "ledger", version: version, slots: 6, work: 40 * time.Millisecond}
			s.fails = func() bool { return version == "v2" && isBad.Load() && rand.Float64() < badFailures }
			if err := b.addServer(s, group, i); err != nil {
				return err
			}
		}
		return nil
	}
	if err := add("v1", 3); err != nil {
		return "", err
	}
	entries, err := b.addEntries(backEntries)
	if err != nil {
		return "", err
	}
	go b.watch(ctx, "ledger")
	c := newClients(b)
	ordered, started := make(chan time.Time, 1), make(chan error, 1)
	time.AfterFunc(orderAt-time.Second, func() { started <- add("v2", 4) })
	time.AfterFunc(orderAt, func() { ordered <- b.order("ledger", "v2") })
	time.AfterFunc(backAt, func() {
		if trouble {
			b.order("ledger", "v1")
		}
	})
	time.AfterFunc(turnsBadAt, func() {
		b.record.add("the servers of v2 begin to fail %g of their requests", badFailures)
		isBad.Store(true)
	})
	each(20*time.Millisecond, backTotal, func(i int) {
		c.send(entries[i%len(entries)], request{method: "POST", path: "/look/x", timeout: 1500 * time.Millisecond})
	})
	b.record.add("answers: %v", c.summary())
	if err := <-started; err != nil {
		return "", err
	}
	return b.exposure(<-ordered), nil
}

// exposure compares what the bad version got between its order and its deadline with what it may get.
func (b *bed) exposure(ordered time.Time) string {
	versions := map[string]string{}
	for _, s := range b.servers {
		versions[s.id] = s.version
	}
	all, bad := 0, 0
	seconds := map[int]map[string]int{}
	for _, a := range b.allArrivals() {
		version, second := versions[a.server], int(a.at.Sub(b.record.began).Seconds())
		if seconds[second] == nil {
			seconds[second] = map[string]int{}
		}
		seconds[second][version]++
		if a.at.Before(ordered) || a.at.After(ordered.Add(orderTime)) {
			continue
		}
		all++
		if version == "v2" {
			bad++
		}
	}
	for second := range int(backTotal.Seconds()) {
		b.record.add("second %d: requests that reached v1 %d, v2 %d", second, seconds[second]["v1"], seconds[second]["v2"])
	}
	allowed := exposureShare*float64(all) + exposureSlack
	b.record.add("requests that reached the service between the order of v2 and its deadline: %d; v2 got %d of them, allowed %.0f", all, bad, allowed)
	if float64(bad) <= allowed {
		return ""
	}
	return fmt.Sprintf("EXPOSURE: the bad version got %d of %d requests, allowed %.0f", bad, all, allowed)
}
