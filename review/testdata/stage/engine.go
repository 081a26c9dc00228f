package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/platform"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// engine is a stand-in of a plain server or a model engine, which handle makes answer.
type engine struct {
	bed         *bed
	id, service string
	// version is that of the engine's software; empty means v1.
	version string
	index   int
	slots   int
	model   bool
	// handle answers a request that this engine may run; the echo of the id is already set.
	handle func(w http.ResponseWriter, r *http.Request, id string)

	mu       sync.Mutex
	sequence int
	born     time.Time
	listener net.Listener
	server   *http.Server
}

func (e *engine) address() string { return e.bed.address(e.index, enginePort) }

// start makes the engine listen and registers it.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.mu.Lock()
	e.listener, e.server, e.born, e.sequence = listener, server, time.Now(), 0
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.register("ready")
	return nil
}

// crash closes the listener and all channels, as the end of the engine's process does.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

func (e *engine) register(state string) {
	e.mu.Lock()
	e.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address(), "zone": "z", "version": cmp.Or(e.version, "v1"), "slots": e.slots,
		"state": state, "sequence": e.sequence, "cold_left_ms": 0, "born": e.born.UnixMilli(),
	})
	e.mu.Unlock()
	e.bed.store.Put(platform.TopicServers, e.id, value)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if e.model && r.URL.Path == `/lagoonlane/report` {
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":0,"kv_used":0,"kv_total":259819,"handles":0}`)
		return
	}
	id := r.Header.Get(`Lagoonlane-Request-Id`)
	w.Header().Set(`Lagoonlane-Request-Id`, id)
	if expected := r.Header.Get(`Lagoonlane-Expect-Instance`); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	e.handle(w, r, id)
}

func stamp(e *engine, id string) string { return "3e1b." + e.id + "." + id }

// answerPlain answers a request as a sound plain server does.
func (e *engine) answerPlain(w http.ResponseWriter, id string) {
	w.Header().Set(`Lagoonlane-Response-Stamp`, stamp(e, id))
	_, _ = io.WriteString(w, "answer to "+id+"\n")
}

// answerStream answers a request with a whole stream of events.
func (e *engine) answerStream(w http.ResponseWriter, r *http.Request, id string, events int, pause time.Duration) {
	w.Header().Set(`Lagoonlane-Response-Stamp`, stamp(e, id))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
	}
}

// manifest writes the first manifest: a safe and an unsafe route to the plain service, a stream to the model engines.
func (b *bed) manifest(plain, model string, modelSlots int) {
	b.store.PutManifest(standin.Manifest{
		Version: 1,
		Routes: []standin.Route{
			{Name: "safe", Host: host, PathPrefix: "/safe/", Kind: "safe", Service: plain, MaxServers: 2, TimeoutMS: 1500, ObjectiveMS: 300, Rank: 2},
			{Name: "unsafe", Host: host, PathPrefix: "/unsafe/", Kind: "unsafe", Service: plain, MaxServers: 1, TimeoutMS: 1500, ObjectiveMS: 300, Rank: 2},
			{Name: "stream", Host: host, PathPrefix: "/stream/", Kind: "streaming", Service: model, MaxServers: 1, TimeoutMS: 6000, ObjectiveMS: 600, GapTargetMS: 400},
		},
		Services: []standin.Service{{Name: plain}, {Name: model, Slots: modelSlots}},
		Accounts: []standin.Account{{Name: tenant, Keys: []string{clientKey}, Unit: "token_count", DefaultTokens: 200}},
	})
}
