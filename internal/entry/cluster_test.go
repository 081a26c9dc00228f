package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/claim"
	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/sidecar"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// countingBackend is a backend server that counts the runs of each attempt and of each operation.
// It serves both as an engine and as a plain service.
type countingBackend struct {
	name        string
	serviceTime func() time.Duration

	mu       sync.Mutex
	attempts map[string]int
	runs     map[string]int
	// Calls before refuseUntil fail as not sent. The next breakNextCalls calls fail after they ran.
	refuseUntil    time.Time
	breakNextCalls int
}

func newCountingBackend(name string, serviceTime func() time.Duration) *countingBackend {
	return &countingBackend{name: name, serviceTime: serviceTime, attempts: map[string]int{}, runs: map[string]int{}}
}

// injectedError is a failure injected by the test.
type injectedError struct{ message string }

func (e *injectedError) Error() string { return e.message }

func (b *countingBackend) Do(ctx context.Context, c platform.Call) (*platform.Answer, error) {
	body, _ := io.ReadAll(c.Body)
	attempt, operation, _ := strings.Cut(requestLabel(string(body)), "/")
	b.mu.Lock()
	if time.Now().Before(b.refuseUntil) {
		b.mu.Unlock()
		return nil, &platform.NotSentError{Cause: &injectedError{"refused"}}
	}
	b.attempts[attempt]++
	b.runs[operation]++
	broken := b.breakNextCalls > 0
	if broken {
		b.breakNextCalls--
	}
	b.mu.Unlock()
	select {
	case <-time.After(b.serviceTime()):
	case <-ctx.Done():
		return nil, &platform.BrokenCallError{Cause: ctx.Err()}
	}
	if broken {
		return nil, &platform.BrokenCallError{Cause: &injectedError{"broken"}}
	}
	answer := expectedAnswer(operation)
	header := http.Header{"Content-Type": {"application/json"}, "Content-Length": {fmt.Sprint(len(answer))}}
	if c.Path == chatPath && strings.Contains(string(body), `"stream":true`) {
		header = http.Header{"Content-Type": {"text/event-stream"}}
		answer = "data: " + answer + "\n\ndata: [DONE]\n\n"
	}
	return &platform.Answer{Status: 200, Header: header, Body: io.NopCloser(&slowReader{ctx: ctx, remaining: answer, pause: b.serviceTime() / 8})}, nil
}

// slowReader returns an answer in pieces, with a pause before each.
type slowReader struct {
	ctx       context.Context
	remaining string
	pause     time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.remaining == "" {
		return 0, io.EOF
	}
	select {
	case <-time.After(r.pause):
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
	n := copy(p, r.remaining[:min(len(r.remaining), 200)])
	r.remaining = r.remaining[n:]
	return n, nil
}

func (b *countingBackend) Resume(context.Context, string, uint64) (*platform.Answer, error) {
	return nil, &platform.NotFoundError{Kind: "call"}
}
func (b *countingBackend) Cancel(context.Context, string) error { return nil }
func (b *countingBackend) Load(context.Context) (platform.EngineLoad, error) {
	return platform.EngineLoad{Versions: []string{"v1"}}, nil
}
func (b *countingBackend) Order(context.Context, platform.Order) (platform.OrderStatus, error) {
	return platform.OrderStatus{State: platform.OrderDone}, nil
}

// requestLabel returns the text between "(" and ")" in a body, which is attempt/operation.
func requestLabel(body string) string {
	_, rest, _ := strings.Cut(body, "(")
	label, _, _ := strings.Cut(rest, ")")
	return label
}

// expectedAnswer returns the complete answer to an operation.
func expectedAnswer(operation string) string {
	return fmt.Sprintf(`{"operation":%q,"text":%q}`, operation, strings.Repeat(operation+" ", 40+len(operation)*7))
}

// testCluster is a small deployment within one synctest bubble: entries, sidecars, and backend
// servers that keep running when their sidecars terminate.
type testCluster struct {
	network *testNetwork
	random  *rand.Rand
	log     *memoryLog
	holder  *config.Holder
	list    fixedList

	mu       sync.Mutex
	entries  []*clusterEntry
	sidecars []*clusterSidecar
}

type clusterEntry struct {
	address  string
	id       string
	client   *http.Client
	entry    *Entry
	outbound *outboundConns
	server   *http.Server
	stop     context.CancelFunc
	done     sync.WaitGroup
}

type clusterSidecar struct {
	address  string
	backend  *countingBackend
	config   sidecar.BackendServer
	listener *testListener
	server   *http.Server
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// outboundConns tracks the connections that one entry opened.
type outboundConns struct {
	network *testNetwork
	mu      sync.Mutex
	closed  bool
	conns   []net.Conn
}

func (o *outboundConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	o.mu.Lock()
	closed := o.closed
	o.mu.Unlock()
	if closed {
		return nil, &refusedConnError{address: address}
	}
	conn, err := o.network.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conns = append(o.conns, conn)
	return conn, nil
}

// closeAll closes all connections and prevents new ones.
func (o *outboundConns) closeAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for _, conn := range o.conns {
		_ = conn.Close()
	}
}

func newTestCluster(seed uint64) *testCluster {
	c := &testCluster{network: newTestNetwork(), random: rand.New(rand.NewPCG(seed, 1)), holder: &config.Holder{}}
	c.holder.Set(testState())
	c.log = newMemoryLog(func() time.Duration { return time.Duration(1+c.intN(8)) * time.Millisecond })
	return c
}

func (c *testCluster) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *testCluster) addSidecar(kind string, concurrency int, serviceTime func() time.Duration) {
	id := fmt.Sprintf("%s%d", kind, len(c.sidecars))
	s := &clusterSidecar{address: "sidecar-" + id + ":1", backend: newCountingBackend(id, serviceTime)}
	s.config = sidecar.BackendServer{ID: id, Kind: kind, Pool: "model", MaxConcurrency: concurrency, Backend: s.backend}
	listed := platform.BackendServer{ID: id, Kind: kind, Pool: "model"}
	if kind == sidecar.KindService {
		s.config.Pool, s.config.Version = "ledger", "v1"
		listed.Pool, listed.Version = "ledger", "v1"
	}
	c.list = append(c.list, platform.Instance{ID: "i-" + id, Role: platform.RoleSidecar, Address: s.address,
		State: platform.InstanceLive, BackendServers: []platform.BackendServer{listed}})
	c.sidecars = append(c.sidecars, s)
	c.startSidecar(s)
}

func (c *testCluster) startSidecar(s *clusterSidecar) {
	sc, err := sidecar.New(sidecar.Options{ID: s.address, BackendServers: []sidecar.BackendServer{s.config}, Config: c.holder, Logger: zerolog.Nop()})
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	mux := http.NewServeMux()
	sc.Register(mux)
	s.server = transport.NewInternalServer(transport.RequireKey(testPeerKey, mux))
	s.listener = c.network.listen(s.address)
	s.done.Go(func() { _ = sc.Run(ctx) })
	s.done.Go(func() { _ = s.server.Serve(s.listener) })
}

// kill terminates a sidecar abruptly; its backend server keeps running.
func (s *clusterSidecar) kill() {
	s.listener.closeConns()
	_ = s.server.Close()
	s.stop()
	s.done.Wait()
}

func (c *testCluster) startEntry(id string, configure func(*Options)) *clusterEntry {
	e := &clusterEntry{id: id, address: id + ":80", outbound: &outboundConns{network: c.network}}
	claims := claim.New(claim.Options{Log: c.log, Author: id, Logger: zerolog.Nop()})
	options := Options{ID: id, Config: c.holder, Instances: c.list, Seed: 7, Logger: zerolog.Nop(), Claims: claims,
		Client: transport.NewClient(testPeerKey, e.outbound.dial)}
	if configure != nil {
		configure(&options)
	}
	var err error
	if e.entry, err = New(options); err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	mux := http.NewServeMux()
	e.entry.Register(mux)
	e.server = transport.NewPublicServer(mux)
	listener := c.network.listen(e.address)
	e.done.Go(func() { _ = e.entry.Run(ctx) })
	e.done.Go(func() { _ = claims.Run(ctx) })
	e.done.Go(func() { _ = e.server.Serve(listener) })
	e.client = options.Client
	return e
}

// kill terminates an entry abruptly, including its outbound connections.
func (e *clusterEntry) kill() {
	e.outbound.closeAll()
	_ = e.server.Close()
	e.stop()
	e.done.Wait()
}

func (c *testCluster) stop() {
	for _, e := range c.entries {
		e.kill()
	}
	for _, s := range c.sidecars {
		s.kill()
	}
	// net/http keeps a connection that it closes early open for another half second.
	time.Sleep(15 * time.Second)
}
