package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lagoonlane/lagoonlane/platform"
)

// engine is a stand-in for a backend server: a plain one, or a model engine if it sends events.
type engine struct {
	site           *site
	id, service    string
	address        string
	slots, events  int
	work, interval time.Duration
	// born is the start time that the engine states.
	born time.Time

	sequence int
	running  atomic.Int32
	server   *http.Server
}

// start listens and registers the engine, and renews the registration.
func (e *engine) start() error {
	if err := e.listen(); err != nil {
		return err
	}
	e.put()
	go func() {
		ticker := time.NewTicker(heartbeatMS * time.Millisecond)
		defer ticker.Stop()
		for range ticker.C {
			e.put()
		}
	}()
	return nil
}

// listen serves requests without a registration.
func (e *engine) listen() error {
	if e.address == "" {
		e.address = e.site.address() + ":8701"
	}
	if e.born.IsZero() {
		e.born = time.Now()
	}
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 30 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	return nil
}

// put writes the registration.
func (e *engine) put() {
	e.sequence++
	wire := map[string]any{
		"service": e.service, "address": e.address, "zone": "z", "version": "v1", "slots": e.slots,
		"state": "ready", "cold_left_ms": 0, "sequence": e.sequence, "born": e.born.UnixMilli(),
	}
	if e.events > 0 {
		wire["stage"] = "both"
		wire["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	value, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	e.site.store.Put(platform.TopicServers, e.id, value)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == `/lagoonlane/report` {
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":%d,"waiting":0,"running":%d,"kv_used":0,"kv_total":259819,"handles":0}`, 1, e.running.Load())
		return
	}
	if r.URL.Path == healthPath {
		h.Set(`Lagoonlane-Instance-Id`, e.id)
		h.Set(`Lagoonlane-Instance-Load`, fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots))
		return
	}
	id := r.Header.Get(`Lagoonlane-Request-Id`)
	h.Set(`Lagoonlane-Request-Id`, id)
	if expected := r.Header.Get(`Lagoonlane-Expect-Instance`); expected != "" && expected != e.id {
		h.Set(`Lagoonlane-Not-Executed`, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.site.record.arrival(e.id, id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	running := e.running.Add(1)
	defer e.running.Add(-1)
	e.site.record.run(e.id, id)
	ms, _ := strconv.Atoi(r.Header.Get(`Lagoonlane-Deadline-Ms`))
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	stamp := e.id + "." + id
	h.Set(`Lagoonlane-Response-Stamp`, stamp)
	h.Set(`Lagoonlane-Instance-Load`, fmt.Sprintf("%d,0,%d", running, e.slots))
	pause := func(d time.Duration) bool {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-r.Context().Done():
		case <-deadline.C:
		}
		return false
	}
	if e.events == 0 {
		if !pause(e.work) {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, strings.Repeat(stamp+"\n", 20))
		e.site.record.ended(e.id, id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := 1; i <= e.events; i++ {
		wait := e.interval
		if i == 1 {
			wait = e.work
		}
		if !pause(wait) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, stamp, i)
		_ = flusher.Flush()
	}
	e.site.record.ended(e.id, id)
}
