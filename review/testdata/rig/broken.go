package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	brokenEntries = 2
	brokenEngines = 4
	brokenEvents  = 40
	// crashAt is when an engine crashes, brokenTotal how long requests are sent.
	crashAt     = 6 * time.Second
	brokenTotal = 9 * time.Second
)

// playBroken lets an engine crash while it sends streams that have neither a length nor chunks. They end inside an event,
// so that no client may get one as complete.
func playBroken(_ context.Context, b *bed, trouble bool) (string, error) {
	route := standin.Route{Host: host, Kind: "streaming", TimeoutMS: 6000, ObjectiveMS: 600, GapTargetMS: 400, Service: "model", MaxServers: 2}
	once, resumable := route, route
	once.Name, once.PathPrefix = "once", "/once/"
	resumable.Name, resumable.PathPrefix, resumable.Resumable = "resumable", "/resumable/", true
	b.putManifest(standin.Manifest{Routes: []standin.Route{once, resumable}, Services: []standin.Service{{Name: "model", Slots: 6}}})
	for i := range brokenEngines {
		if err := b.addServer(&server{service: "model", slots: 6, events: brokenEvents, isUnframed: true}, 2, i); err != nil {
			return "", err
		}
		if _, err := b.addSidecar(i); err != nil {
			return "", err
		}
	}
	entries, err := b.addEntries(brokenEntries)
	if err != nil {
		return "", err
	}
	c := newClients(b)
	time.AfterFunc(crashAt, func() {
		if trouble {
			b.servers[0].crash()
		}
	})
	each(40*time.Millisecond, brokenTotal, func(i int) {
		path := []string{"/once/x", "/resumable/x"}[i/2%2]
		c.send(entries[i%len(entries)], request{method: "POST", path: path, timeout: 5 * time.Second, header: map[string]string{
			headerTokens: fmt.Sprintf("460,%d", brokenEvents), headerParts: fmt.Sprintf("shared01:60,own%05d:400", i),
		}})
	})
	b.record.add("answers: %v", c.summary())
	short := 0
	for _, a := range c.attempts {
		if a.status != http.StatusOK || !a.whole {
			continue
		}
		if events := bytes.Count(a.body, []byte("\ndata: ")); events < brokenEvents {
			short++
			b.record.add("the stream of %s (%s) ended as complete after %d of %d events; its last bytes: %q", a.id, a.path, events, brokenEvents, a.body[max(0, len(a.body)-40):])
		}
	}
	if short == 0 {
		return "", nil
	}
	return fmt.Sprintf("ORDER: %d streams ended as complete before their last event", short), nil
}
