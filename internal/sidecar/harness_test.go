package sidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// pipeListener connects clients to a server through net.Pipe.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fakeEngine is a platform.Engine whose methods call the functions set by a test.
type fakeEngine struct {
	mu      sync.Mutex
	runs    map[string]int
	cancels map[string]int
	orders  []platform.Order
	// serve answers a call; nil answers "ok".
	serve    func(ctx context.Context, call platform.Call) (*platform.Answer, error)
	resume   func(ctx context.Context, id string, from uint64) (*platform.Answer, error)
	order    func(order platform.Order) (platform.OrderStatus, error)
	versions []string
	// loadError is the error of load reports, or nil.
	loadError error
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{runs: map[string]int{}, cancels: map[string]int{}, versions: []string{"v1", "v2"}}
}

func (e *fakeEngine) Do(ctx context.Context, call platform.Call) (*platform.Answer, error) {
	e.mu.Lock()
	e.runs[call.ID]++
	e.mu.Unlock()
	if e.serve == nil {
		return textAnswer("ok"), nil
	}
	return e.serve(ctx, call)
}

func (e *fakeEngine) Resume(ctx context.Context, id string, from uint64) (*platform.Answer, error) {
	if e.resume == nil {
		return nil, &platform.NotFoundError{Kind: "call", Name: id}
	}
	return e.resume(ctx, id, from)
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels[id]++
	return nil
}

func (e *fakeEngine) Load(context.Context) (platform.EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return platform.EngineLoad{Versions: e.versions}, e.loadError
}

func (e *fakeEngine) Order(_ context.Context, order platform.Order) (platform.OrderStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if e.order == nil {
		return platform.OrderStatus{State: platform.OrderDone}, nil
	}
	return e.order(order)
}

func (e *fakeEngine) setLoadError(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadError = err
}

func (e *fakeEngine) runCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *fakeEngine) cancelCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancels[id]
}

// textAnswer returns an answer with a Content-Length.
func textAnswer(text string) *platform.Answer {
	header := http.Header{"Content-Length": {strconv.Itoa(len(text))}}
	return &platform.Answer{Status: 200, Header: header, Body: io.NopCloser(bytes.NewBufferString(text))}
}

// streamAnswer returns an answer that is a stream of server-sent events.
func streamAnswer(body io.ReadCloser) *platform.Answer {
	return &platform.Answer{Status: 200, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: body}
}

// largeAnswer returns a serve function that answers with a body of size bytes.
func largeAnswer(size int) func(context.Context, platform.Call) (*platform.Answer, error) {
	return func(context.Context, platform.Call) (*platform.Answer, error) {
		return textAnswer(string(bytes.Repeat([]byte("ledger "), size/7+1)[:size])), nil
	}
}

// scriptBody is an answer body that returns one part after each interval, then err.
type scriptBody struct {
	ctx      context.Context
	parts    []string
	interval time.Duration
	err      error
}

func (b *scriptBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, b.err
	}
	select {
	case <-time.After(b.interval):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

func (b *scriptBody) Close() error { return nil }

// fixture is a sidecar that runs in a synctest bubble, with its fake backend servers and a
// client.
type fixture struct {
	t       *testing.T
	sidecar *Sidecar
	engine  *fakeEngine
	service *fakeEngine
	config  *config.Holder
	client  *http.Client
	lane    lanepb.Lane
}

// inBubble runs a test in a synctest bubble against a new sidecar with an engine "e" and a
// service "s".
func inBubble(t *testing.T, concurrency int, test func(*testing.T, *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{t: t, engine: newFakeEngine(), service: newFakeEngine(), config: &config.Holder{}}
		s, err := New(Options{
			ID: "sidecar-1",
			BackendServers: []BackendServer{
				{ID: "e", Kind: KindEngine, Pool: "model", MaxConcurrency: concurrency, Backend: fx.engine},
				{ID: "s", Kind: KindService, Pool: "ledger", Version: "v1", MaxConcurrency: concurrency, Backend: serviceOnly{fx.service}},
			},
			Config: fx.config,
			Logger: zerolog.Nop(),
		})
		qt.Assert(t, err, qt.IsNil)
		fx.sidecar = s
		stop := fx.serve()
		defer stop()
		test(t, fx)
	})
}

// serviceOnly hides the methods that only engines have.
type serviceOnly struct{ platform.Backend }

// serve runs the sidecar and its server, and returns a function that stops both.
func (fx *fixture) serve() (stop func()) {
	listener := newPipeListener()
	mux := http.NewServeMux()
	fx.sidecar.Register(mux)
	server := transport.NewInternalServer(mux)
	fx.client = transport.NewClient("key", listener.dial)
	fx.lane = lanepb.NewLaneProtobufClient("http://10.0.0.1:1", fx.client)
	ctx, cancel := context.WithCancel(fx.t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { _ = fx.sidecar.Run(ctx) })
	return func() {
		fx.client.CloseIdleConnections()
		cancel()
		_ = server.Close()
		running.Wait()
	}
}

func (fx *fixture) request(id, server string) *lanepb.ReserveRequest {
	return &lanepb.ReserveRequest{DispatchId: id, BackendServer: server, Account: "a", Version: "v1",
		BudgetMs: 60_000, PromptTokens: 10, OutputTokens: 10, Idempotent: server == "e"}
}

func (fx *fixture) reserve(request *lanepb.ReserveRequest) *lanepb.ReserveResponse {
	response, err := fx.lane.Reserve(fx.t.Context(), request)
	qt.Assert(fx.t, err, qt.IsNil)
	return response
}

func (fx *fixture) grant(id, server string) {
	qt.Assert(fx.t, fx.reserve(fx.request(id, server)).GetGrant(), qt.IsNotNil)
}

// openDispatch sends a dispatch and returns the stream of its frames. The caller closes it.
func (fx *fixture) openDispatch(ctx context.Context, id, server string) io.ReadCloser {
	var body bytes.Buffer
	header := &lanepb.DispatchHeader{DispatchId: id, BootId: fx.sidecar.BootID(), BackendServer: server, Method: "POST", Path: "/x"}
	qt.Assert(fx.t, frame.WriteHeader(&body, header), qt.IsNil)
	body.WriteString("body")
	return fx.post(ctx, "/lane/v1/dispatch", &body)
}

func (fx *fixture) resume(ctx context.Context, id string, from uint64) io.ReadCloser {
	encoded, err := proto.Marshal(&lanepb.ResumeRequest{DispatchId: id, BootId: fx.sidecar.BootID(), FromSequence: from})
	qt.Assert(fx.t, err, qt.IsNil)
	return fx.post(ctx, "/lane/v1/resume", bytes.NewReader(encoded))
}

func (fx *fixture) post(ctx context.Context, path string, body io.Reader) io.ReadCloser {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1:1"+path, body)
	qt.Assert(fx.t, err, qt.IsNil)
	response, err := fx.client.Do(request)
	qt.Assert(fx.t, err, qt.IsNil)
	return response.Body
}

// frames reads a stream to its end and closes it.
func (fx *fixture) frames(stream io.ReadCloser) []*lanepb.Frame {
	defer stream.Close()
	var frames []*lanepb.Frame
	r := frame.NewReader(stream)
	for {
		f, err := r.Read()
		if err != nil {
			return frames
		}
		frames = append(frames, f)
	}
}

// dispatch sends a dispatch and returns all frames of the answer.
func (fx *fixture) dispatch(id, server string) []*lanepb.Frame {
	return fx.frames(fx.openDispatch(fx.t.Context(), id, server))
}

func (fx *fixture) revoke(id string) lanepb.DispatchState {
	response, err := fx.lane.Revoke(fx.t.Context(), &lanepb.RevokeRequest{DispatchId: id, BootId: fx.sidecar.BootID()})
	qt.Assert(fx.t, err, qt.IsNil)
	return response.GetState()
}

func (fx *fixture) enquire(id string) lanepb.DispatchState {
	response, err := fx.lane.Enquire(fx.t.Context(), &lanepb.EnquireRequest{DispatchId: id, BootId: fx.sidecar.BootID()})
	qt.Assert(fx.t, err, qt.IsNil)
	return response.GetState()
}

// last returns the last frame, or nil without frames.
func last(frames []*lanepb.Frame) *lanepb.Frame {
	if len(frames) == 0 {
		return nil
	}
	return frames[len(frames)-1]
}

// text returns the body that is transmitted in frames.
func text(frames []*lanepb.Frame) string {
	var all []byte
	for _, f := range frames {
		all = append(all, f.GetChunk()...)
	}
	return string(all)
}
