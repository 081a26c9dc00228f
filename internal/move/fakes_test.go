package move

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// fakeLog is an in-memory platform log that can be made unavailable.
type fakeLog struct {
	mu       sync.Mutex
	records  []platform.Record
	appended chan struct{}
	down     bool
}

var errDown = &platform.UnavailableError{Service: "log"}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errDown
	}
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, platform.Record{Offset: offset, Data: data})
	close(l.appended)
	l.appended = make(chan struct{})
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (platform.ReadResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		l.mu.Lock()
		if l.down {
			l.mu.Unlock()
			return platform.ReadResult{}, errDown
		}
		next := uint64(len(l.records) + 1)
		appended := l.appended
		result := platform.ReadResult{First: 1, Next: next}
		if from < next {
			result.Records = append(result.Records, l.records[from-1:min(next-1, from-1+uint64(limit))]...)
		}
		l.mu.Unlock()
		if len(result.Records) > 0 || waited {
			return result, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return platform.ReadResult{}, ctx.Err()
		}
	}
}

// gate controls the calls of one process. A dead process gets an error for every call; the calls
// of a paused process block until it is resumed.
type gate struct {
	mu     sync.Mutex
	dead   bool
	paused chan struct{}
}

func (g *gate) pass() error {
	g.mu.Lock()
	paused, dead := g.paused, g.dead
	g.mu.Unlock()
	if dead {
		return errDown
	}
	if paused != nil {
		<-paused
	}
	return nil
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.paused)
	g.paused = nil
}

// gatedLog is the log as accessed by one process. It can lose responses to appends.
type gatedLog struct {
	*fakeLog
	gate *gate
	// loseResponseEvery drops the response to every n-th append; 0: none.
	loseResponseEvery int
	mu                sync.Mutex
	appends           int
}

func (l *gatedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := l.gate.pass(); err != nil {
		return 0, errDown
	}
	offset, err := l.fakeLog.Append(ctx, stream, data)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if err == nil && l.loseResponseEvery > 0 && l.appends%l.loseResponseEvery == 0 {
		return 0, &platform.AppendUnknownError{Stream: stream, Cause: context.DeadlineExceeded}
	}
	return offset, err
}

func (l *gatedLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.ReadResult, error) {
	if err := l.gate.pass(); err != nil {
		return platform.ReadResult{}, errDown
	}
	return l.fakeLog.Read(ctx, stream, from, limit, wait)
}

// mesh connects processes by direct calls, by address.
type mesh struct {
	mu          sync.Mutex
	handlers    map[string]http.Handler
	partitioned map[string]bool
}

type meshTransport struct {
	mesh    *mesh
	address string
	gate    *gate
}

func (t meshTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.gate.pass(); err != nil {
		return nil, err
	}
	t.mesh.mu.Lock()
	handler := t.mesh.handlers[r.URL.Host]
	unreachable := handler == nil || t.mesh.partitioned[t.address] || t.mesh.partitioned[r.URL.Host]
	t.mesh.mu.Unlock()
	if unreachable {
		return nil, errDown
	}
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// fakeSidecar rejects orders with a fencing number below the highest one, and finishes a load
// order after loadTime.
type fakeSidecar struct {
	lanepb.Lane
	mu             sync.Mutex
	highestFencing uint64
	loaded         map[string]bool
	orderStart     map[string]time.Time
	loadTime       time.Duration
	orders         int
	fencedOrders   int
}

func (s *fakeSidecar) Order(_ context.Context, r *lanepb.OrderRequest) (*lanepb.OrderResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.GetFencing() < s.highestFencing {
		s.fencedOrders++
		return &lanepb.OrderResponse{Result: lanepb.OrderResponse_RESULT_FENCED, HighestFencing: s.highestFencing}, nil
	}
	s.highestFencing = r.GetFencing()
	start, ok := s.orderStart[r.GetOrderId()]
	if !ok {
		start = time.Now()
		s.orderStart[r.GetOrderId()] = start
		s.orders++
	}
	load := r.GetKind() == lanepb.OrderKind_ORDER_KIND_LOAD_VERSION
	if load && time.Since(start) < s.loadTime {
		return &lanepb.OrderResponse{Result: lanepb.OrderResponse_RESULT_IN_PROGRESS}, nil
	}
	s.loaded[r.GetVersion()] = load
	return &lanepb.OrderResponse{Result: lanepb.OrderResponse_RESULT_DONE}, nil
}

type fakeInstances struct {
	mu   sync.Mutex
	list []platform.Instance
}

func (f *fakeInstances) List(context.Context) ([]platform.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list), nil
}

func (f *fakeInstances) add(instance platform.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, instance)
}

type fakeWeights struct{ rate uint64 }

func (f fakeWeights) Budget(context.Context) (platform.WeightBudget, error) {
	return platform.WeightBudget{BytesPerSecond: f.rate}, nil
}

func (f fakeWeights) Artifact(_ context.Context, name string) (platform.Artifact, error) {
	if name == "" {
		return platform.Artifact{}, &platform.NotFoundError{Kind: "artifact", Name: name}
	}
	return platform.Artifact{Name: name, SizeBytes: 1 << 30}, nil
}
