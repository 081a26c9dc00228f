package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/routing"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
	"github.com/lagoonlane/lagoonlane/internal/sidecar"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

const benchEvent = "data: {\"id\":\"c-17\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" pegs\"}}]}\n\n"

// discardWriter is a ResponseWriter of a caller that reads without delay.
type discardWriter struct {
	header  http.Header
	flushes int
}

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (w *discardWriter) WriteHeader(int)                  {}
func (w *discardWriter) Flush()                           { w.flushes++ }
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkRelayFrames measures the entry's processing of one token frame, without sockets.
func BenchmarkRelayFrames(b *testing.B) {
	const events = 1000
	parts := slices.Repeat([]string{benchEvent}, events)
	parts = append(parts, "data: [DONE]\n\n")
	var encoded []byte
	for _, c := range answerFrames(200, "text/event-stream", parts...) {
		encoded, _ = frame.Append(encoded, c)
	}
	e, err := New(Options{ID: "e", Config: &config.Holder{}, Instances: fixedList{}, Client: http.DefaultClient, Logger: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	state := testState()
	c := &call{route: state.Routes["pegs"], tier: state.Tiers["field"], state: state, deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	frames := 0
	for b.Loop() {
		stream := &answerStream{entry: e}
		stream.attach(io.NopCloser(bytes.NewReader(encoded)))
		r := newRelay(&discardWriter{header: http.Header{}}, c)
		if err := e.relayFrames(context.Background(), stream, r, nil); err != nil {
			b.Fatal(err)
		}
		frames += events
	}
	b.ReportMetric(float64(frames)/b.Elapsed().Seconds(), "frames/s")
}

// benchDeployment is an engine, its sidecar and an entry that listen on loopback.
type benchDeployment struct {
	direct, entry string
	client        *http.Client
}

// startBench starts a deployment whose engine answers chat requests with answer.
func startBench(b *testing.B, answer http.HandlerFunc) *benchDeployment {
	engine := http.NewServeMux()
	engine.HandleFunc("/v1/chat/completions", answer)
	engine.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"versions":["v1"]}`) })
	backend := httptest.NewServer(engine)
	b.Cleanup(backend.Close)
	holder := &config.Holder{}
	holder.Set(testState())
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	sc, err := sidecar.New(sidecar.Options{ID: "s", Config: holder, Logger: zerolog.Nop(), BackendServers: []sidecar.BackendServer{
		{ID: "e1", Kind: sidecar.KindEngine, Pool: "model", Backend: platform.NewHTTPEngine(backend.URL, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}})}}})
	if err != nil {
		b.Fatal(err)
	}
	mux := http.NewServeMux()
	sc.Register(mux)
	address := serveLoopback(b, transport.NewInternalServer(transport.RequireKey(testPeerKey, mux)))
	go func() { _ = sc.Run(ctx) }()
	list := fixedList{{ID: "s", Role: platform.RoleSidecar, State: platform.InstanceLive, Address: address,
		BackendServers: []platform.BackendServer{{ID: "e1", Kind: "engine", Pool: "model"}}}}
	e, err := New(Options{ID: "e", Config: holder, Instances: list, Logger: zerolog.Nop(), Client: transport.NewClient(testPeerKey, nil)})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = e.Run(ctx) }()
	public := http.NewServeMux()
	e.Register(public)
	time.Sleep(1500 * time.Millisecond)
	return &benchDeployment{direct: backend.URL, entry: "http://" + serveLoopback(b, transport.NewPublicServer(public)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// serveLoopback starts server on a free loopback port and returns its address.
func serveLoopback(b *testing.B, server *http.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// call sends a chat request to url, reads the answer and returns its length in bytes.
func (d *benchDeployment) call(b *testing.B, url, body string) int64 {
	r, _ := http.NewRequest("POST", url+chatPath, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatal(response.StatusCode, err)
	}
	return n
}

// BenchmarkAddedLatency alternates small requests through entry and sidecar with direct ones and
// reports the difference of the latency quantiles.
func BenchmarkAddedLatency(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(runtime.NumCPU()))
	d := startBench(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"choices":[{"message":{"content":"40 pegs"}}]}`)
	})
	var direct, through []time.Duration
	for b.Loop() {
		start := time.Now()
		d.call(b, d.direct, chatBody)
		middle := time.Now()
		d.call(b, d.entry, chatBody)
		direct = append(direct, middle.Sub(start))
		through = append(through, time.Since(middle))
	}
	slices.Sort(direct)
	slices.Sort(through)
	for _, q := range []struct {
		name string
		part float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		i := int(q.part * float64(len(direct)-1))
		b.ReportMetric(float64(direct[i].Microseconds()), "direct-"+q.name+"-µs")
		b.ReportMetric(float64(through[i].Microseconds()), "through-"+q.name+"-µs")
		b.ReportMetric(float64((through[i] - direct[i]).Microseconds()), "added-"+q.name+"-µs")
	}
}

// BenchmarkStreams reads 16 concurrent event streams through entry and sidecar, and directly from
// the engine. The CPU time includes all parts: the engine and the callers as well.
func BenchmarkStreams(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(runtime.NumCPU()))
	const events, streams = 2000, 16
	answer := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		for range events {
			_, _ = io.WriteString(w, benchEvent)
			w.(http.Flusher).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	d := startBench(b, answer)
	for _, target := range []struct{ name, url string }{{"direct", d.direct}, {"through", d.entry}} {
		b.Run(target.name, func(b *testing.B) {
			cpu := cpuTime()
			for b.Loop() {
				done := make(chan struct{}, streams)
				for range streams {
					go func() {
						d.call(b, target.url, streamBody)
						done <- struct{}{}
					}()
				}
				for range streams {
					<-done
				}
			}
			frames := float64(b.N * streams * events)
			b.ReportMetric(frames/b.Elapsed().Seconds(), "frames/s")
			b.ReportMetric(frames/(cpuTime()-cpu).Seconds(), "frames/cpu-s")
		})
	}
}

// BenchmarkPacedStreams relays 500 streams of one token every 10 ms from a fake sidecar, so that
// no two tokens share a frame. The CPU time includes all parts. The variant "fake" reads the
// frames without the entry, as the baseline.
func BenchmarkPacedStreams(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(runtime.NumCPU()))
	const events, streams, pause = 200, 500, 10 * time.Millisecond
	parts := append(slices.Repeat([]string{benchEvent}, events), "data: [DONE]\n\n")
	lane := newFakeLane("e1", answerFrames(200, "text/event-stream", parts...)...)
	lane.frameInterval = pause
	address := serveLoopback(b, transport.NewInternalServer(lane.handler()))
	holder := &config.Holder{}
	holder.Set(testState())
	list := fixedList{{ID: "s", Role: platform.RoleSidecar, State: platform.InstanceLive, Address: address,
		BackendServers: []platform.BackendServer{{ID: "e1", Kind: "engine", Pool: "model"}}}}
	e, err := New(Options{ID: "e", Config: holder, Instances: list, Logger: zerolog.Nop(), Client: transport.NewClient(testPeerKey, nil)})
	if err != nil {
		b.Fatal(err)
	}
	e.readInstances(context.Background())
	public := http.NewServeMux()
	e.Register(public)
	d := &benchDeployment{entry: "http://" + serveLoopback(b, transport.NewPublicServer(public)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}}
	fake := func() {
		body, err := e.dispatch(context.Background(), &call{}, slot{target: routing.Target{Address: address}, dispatchID: newDispatchID()})
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = body.Close() }()
		_, _ = io.Copy(io.Discard, body)
	}
	for _, target := range []struct {
		name string
		call func()
	}{{"fake", fake}, {"through", func() { d.call(b, d.entry, streamBody) }}} {
		b.Run(target.name, func(b *testing.B) { measurePacedStreams(b, streams, events, target.call) })
	}
}

// measurePacedStreams runs call concurrently once per stream and reports frames per second and CPU
// time per frame.
func measurePacedStreams(b *testing.B, streams, events int, call func()) {
	cpu := cpuTime()
	for b.Loop() {
		done := make(chan struct{}, streams)
		for range streams {
			go func() {
				call()
				done <- struct{}{}
			}()
		}
		for range streams {
			<-done
		}
	}
	frames := float64(b.N * streams * events)
	b.ReportMetric(frames/b.Elapsed().Seconds(), "frames/s")
	b.ReportMetric((cpuTime()-cpu).Seconds()*1e6/frames, "cpu-µs/frame")
}

// waitingLane is a sidecar that grants slots only after release is closed.
type waitingLane struct {
	*fakeLane
	release chan struct{}
}

func (l *waitingLane) Reserve(ctx context.Context, r *lanepb.ReserveRequest) (*lanepb.ReserveResponse, error) {
	<-l.release
	return l.fakeLane.Reserve(ctx, r)
}

// BenchmarkWaitingMemory measures heap and stack for each of 2,000 requests that wait for a slot.
// The variant "plain" measures callers of a server without an entry; "through" adds the entry and
// the sidecar's side of the call.
func BenchmarkWaitingMemory(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(runtime.NumCPU()))
	b.Run("plain", func(b *testing.B) {
		release := make(chan struct{})
		plain := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-release
		})}
		measureWaiting(b, "http://"+serveLoopback(b, plain), release)
	})
	b.Run("through", func(b *testing.B) {
		lane := &waitingLane{fakeLane: newFakeLane("e1", answerFrames(200, "application/json", `{}`)...), release: make(chan struct{})}
		mux := http.NewServeMux()
		mux.Handle(lanepb.LanePathPrefix, lanepb.NewLaneServer(lane))
		mux.HandleFunc("POST "+dispatchPath, lane.serveDispatch)
		address := serveLoopback(b, transport.NewInternalServer(transport.RequireKey(testPeerKey, mux)))
		measureWaiting(b, startBenchEntry(b, address), lane.release)
	})
}

// startBenchEntry starts an entry with one sidecar and returns its URL.
func startBenchEntry(b *testing.B, sidecarAddress string) string {
	holder := &config.Holder{}
	holder.Set(testState())
	list := fixedList{{ID: "s", Role: platform.RoleSidecar, State: platform.InstanceLive, Address: sidecarAddress,
		BackendServers: []platform.BackendServer{{ID: "e1", Kind: "engine", Pool: "model"}}}}
	e, err := New(Options{ID: "e", Config: holder, Instances: list, Logger: zerolog.Nop(), Client: transport.NewClient(testPeerKey, nil)})
	if err != nil {
		b.Fatal(err)
	}
	e.readInstances(context.Background())
	public := http.NewServeMux()
	e.Register(public)
	return "http://" + serveLoopback(b, transport.NewPublicServer(public))
}

// measureWaiting reports the memory in use per waiting request, then closes release.
func measureWaiting(b *testing.B, url string, release chan struct{}) {
	const waiting = 2000
	d := &benchDeployment{client: &http.Client{Transport: &http.Transport{}}}
	before := memoryInUse()
	done := make(chan struct{}, waiting)
	for range waiting {
		go func() {
			d.call(b, url, chatBody)
			done <- struct{}{}
		}()
	}
	time.Sleep(2 * time.Second)
	b.ReportMetric(float64(memoryInUse()-before)/waiting, "B/waiting")
	close(release)
	for range waiting {
		<-done
	}
}

// memoryInUse returns the heap and stack in use after a garbage collection, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(fmt.Sprint(err))
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
