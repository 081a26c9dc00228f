package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/platform"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// Headers of requests and answers.
const (
	headerID          = `Lagoonlane-Request-Id`
	headerKey         = `Lagoonlane-Credential`
	headerDeadline    = `Lagoonlane-Deadline-Ms`
	headerTokens      = `Lagoonlane-Token-Count`
	headerParts       = `Lagoonlane-Prefix-Hash`
	headerExpect      = `Lagoonlane-Expect-Instance`
	headerNotExecuted = `Lagoonlane-Not-Executed`
	headerStamp       = `Lagoonlane-Response-Stamp`
)

// arrival is a request that reached a server.
type arrival struct {
	id     string
	server string
	at     time.Time
	header http.Header
	// ran is false if the server rejected the request.
	ran bool
}

// server is a stand-in of a backend server: a plain one or, with events, an engine.
type server struct {
	bed     *bed
	service string
	ip      string
	slots   int
	// events is the number of events of each stream; 0 for a plain server.
	events int
	// work is how long a plain server works on a request.
	work time.Duration
	// isUnframed says that streams have neither a length nor chunks, and end with their channel.
	isUnframed bool
	// version is that of the server's software, v1 if empty.
	version string
	// fails reports whether a plain server answers a request with a failure. It may be nil.
	fails func() bool
	// queue is the number of requests that wait for a slot; a server sheds further ones. 0 means any number.
	queue int
	// deadly reports whether the engine crashes as it begins to write the answer to a request. It may be nil.
	deadly func(http.Header) bool
	// onCrash is called when the engine has crashed. It may be nil.
	onCrash func(*server)

	mu           sync.Mutex
	id           string
	life         int
	sequence     int
	registration *standin.Server
	inService    bool
	state        string
	arrivals     []arrival
	http         *http.Server
	running      int
	// held is the number of requests that run or wait.
	held    int
	places  chan struct{}
	lifeCtx context.Context
	endLife context.CancelFunc
}

// start begins a lifetime of the server and registers it.
func (s *server) start() error {
	listener, err := net.Listen("tcp", join(s.ip, serverPort))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.life++
	s.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(s.ip, ".", ""), s.life)
	s.sequence = 0
	s.registration = &standin.Server{
		ID: s.id, Service: s.service, RegisteredAddress: join(s.ip, serverPort), Slots: s.slots, StartedAt: time.Now(),
	}
	s.inService, s.state, s.running, s.held = true, stateReady, 0, 0
	s.places = make(chan struct{}, s.slots)
	s.lifeCtx, s.endLife = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	httpServer := s.http
	s.mu.Unlock()
	go func() { _ = httpServer.Serve(listener) }()
	s.register()
	return nil
}

// register writes the registration of a server that is in service.
func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.inService {
		return
	}
	s.sequence++
	s.bed.putServer(s, s.state)
}

// States of a registration.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// putServer writes the registration of a server as the server itself does.
func (b *bed) putServer(s *server, state string) {
	value, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.registration.RegisteredAddress, "zone": "z", "version": cmp.Or(s.version, "v1"), "slots": s.slots,
		"state": state, "sequence": s.sequence, "cold_left_ms": 0, "born": s.registration.StartedAt.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	b.store.Put(platform.TopicServers, s.id, value)
}

// drain registers the server as draining; it goes on serving.
func (s *server) drain() {
	s.mu.Lock()
	s.state = stateDraining
	s.mu.Unlock()
	s.register()
	s.bed.record.add("server %s (%s) drains", s.id, s.version)
}

// end stops the server for good and removes its registration.
func (s *server) end() {
	s.stop()
	s.bed.store.RemoveServer(s.id)
	s.bed.record.add("server %s (%s) ends", s.id, s.version)
}

// crash ends the lifetime without a word. The platform removes the registration after three intervals without a renewal.
func (s *server) crash() {
	id := s.id
	s.bed.record.add("server %s crashes", id)
	s.stop()
	time.AfterFunc(3*heartbeat, func() { s.bed.store.RemoveServer(id) })
}

// stop ends the lifetime: the server takes no connections and drops those that it has.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inService = false
	if s.http != nil {
		s.endLife()
		_ = s.http.Close()
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/report") && r.Header.Get(headerID) == "" {
		s.mu.Lock()
		running := s.running
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","busy":false,"sequence":1,"waiting":0,"running":%d,"kv_used":0,"kv_total":200000,"handles":0}`, running)
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	s.mu.Lock()
	self, ctx, places := s.id, s.lifeCtx, s.places
	if s.state == stateDraining {
		w.Header().Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	a := arrival{id: id, server: self, at: time.Now(), header: r.Header.Clone()}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != self {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.enqueue() {
		s.note(a, "sheds")
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.dequeue()
	select {
	case places <- struct{}{}:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	defer func() { <-places }()
	a.ran = true
	s.note(a, "runs")
	s.count(1)
	defer s.count(-1)
	s.run(ctx, w, r, id)
}

// enqueue takes a place in the queue or in a slot. It reports false if the server is full.
func (s *server) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue > 0 && s.held >= s.slots+s.queue {
		return false
	}
	s.held++
	return true
}

func (s *server) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held--
}

func (s *server) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
}

func (s *server) note(a arrival, what string) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.bed.record.add("server %s %s request %s", a.server, what, a.id)
}

// prefill is the time before the first event of a stream, pace that between two events.
const (
	prefill = 40 * time.Millisecond
	pace    = 15 * time.Millisecond
)

func (s *server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set(headerStamp, fmt.Sprintf("%x.%x", rand.Uint32(), rand.Uint64()))
	if s.events == 0 {
		s.pause(ctx, r.Context(), s.work)
		if s.fails != nil && s.fails() {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = io.WriteString(w, "answer to "+id+"\n")
		return
	}
	s.pause(ctx, r.Context(), prefill)
	if s.deadly != nil && s.deadly(r.Header) {
		s.bed.record.add("request %s is deadly", id)
		s.crash()
		if s.onCrash != nil {
			go s.onCrash(s)
		}
		panic(http.ErrAbortHandler)
	}
	if s.isUnframed {
		s.streamUnframed(ctx, w, r, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for event := first + 1; event <= s.events; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, id, event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		s.pause(ctx, r.Context(), pace)
	}
}

// streamUnframed sends a stream that ends with its channel. Each event has three fields, which are sent one by one. If the
// engine crashes, the stream ends after the first field of an event.
func (s *server) streamUnframed(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	stamp := w.Header().Get(headerStamp)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", headerID, id, headerStamp, stamp)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for event := first + 1; event <= s.events; event++ {
		for _, field := range []string{"event: token\n", fmt.Sprintf("id: %d\n", event), fmt.Sprintf("data: %s %d\n\n", id, event)} {
			if _, err := io.WriteString(conn, field); err != nil {
				return
			}
			if ctx.Err() != nil {
				s.bed.record.add("server %s ends the stream of %s inside event %d", s.id, id, event)
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pace):
		}
	}
	s.bed.record.add("server %s has sent the stream of %s whole", s.id, id)
}

// pause waits, and drops the request if the server or the channel ends meanwhile.
func (s *server) pause(life, request context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-life.Done():
		panic(http.ErrAbortHandler)
	case <-request.Done():
		panic(http.ErrAbortHandler)
	}
}

// addServer starts a server on machine i of a group.
func (b *bed) addServer(s *server, group, i int) error {
	s.bed, s.ip = b, b.ip(group, i)
	b.mu.Lock()
	b.servers = append(b.servers, s)
	b.mu.Unlock()
	return s.start()
}

// allArrivals returns the arrivals at all servers.
func (b *bed) allArrivals() []arrival {
	var all []arrival
	for _, s := range b.servers {
		s.mu.Lock()
		all = append(all, s.arrivals...)
		s.mu.Unlock()
	}
	return all
}
