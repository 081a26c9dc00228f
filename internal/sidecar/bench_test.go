package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

const tokenEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"anchor\"}}]}\n\n"

// tokenBody returns one token event per Read.
type tokenBody struct{ remaining int }

func (b *tokenBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	b.remaining--
	if b.remaining == 0 {
		return copy(p, "data: [DONE]\n\n"), nil
	}
	return copy(p, tokenEvent), nil
}

func (b *tokenBody) Close() error { return nil }

// newBenchSidecar returns a running sidecar with one engine and a function that stops it.
func newBenchSidecar(b *testing.B, engine *fakeEngine, concurrency int) (*Sidecar, func()) {
	s, err := New(Options{
		BackendServers: []BackendServer{{ID: "e", Kind: KindEngine, Pool: "model", MaxConcurrency: concurrency, Backend: engine}},
		Config:         &config.Holder{},
		Logger:         zerolog.Nop(),
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) })
	return s, func() {
		cancel()
		running.Wait()
	}
}

func benchReserve(id string) *lanepb.ReserveRequest {
	return &lanepb.ReserveRequest{DispatchId: id, BackendServer: "e", Account: "a", Version: "v1", BudgetMs: 3_600_000, Idempotent: true}
}

// benchDispatch reserves a slot and returns the message that starts the dispatch.
func benchDispatch(b *testing.B, s *Sidecar, id string) *bytes.Buffer {
	reply, err := s.Reserve(b.Context(), benchReserve(id))
	if err != nil || reply.GetGrant() == nil {
		b.Fatal(reply, err)
	}
	var body bytes.Buffer
	header := &lanepb.DispatchHeader{DispatchId: id, BootId: s.BootID(), BackendServer: "e"}
	if err := frame.WriteHeader(&body, header); err != nil {
		b.Fatal(err)
	}
	return &body
}

// discardResponse is a response writer that discards the body.
type discardResponse struct{ header http.Header }

func (w *discardResponse) Header() http.Header         { return w.header }
func (w *discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardResponse) WriteHeader(int)             {}

// BenchmarkTokenFrames copies an engine's answer with one token per frame to a response. Run
// it with -cpu 1 for the rate of one core.
func BenchmarkTokenFrames(b *testing.B) {
	engine := newFakeEngine()
	s, stop := newBenchSidecar(b, engine, 8)
	defer stop()
	mux := http.NewServeMux()
	s.Register(mux)
	engine.serve = func(context.Context, platform.Call) (*platform.Answer, error) {
		return streamAnswer(&tokenBody{remaining: b.N}), nil
	}
	request, err := http.NewRequest(http.MethodPost, "/lane/v1/dispatch", benchDispatch(b, s, "d"))
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	mux.ServeHTTP(&discardResponse{header: http.Header{}}, request)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "frames/s")
}

// benchServer serves a sidecar on a loopback address. It returns the URL, a client and a
// function that stops the server.
func benchServer(b *testing.B, s *Sidecar) (string, *http.Client, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	mux := http.NewServeMux()
	s.Register(mux)
	server := transport.NewInternalServer(mux)
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	client := transport.NewClient("key", nil)
	return "http://" + listener.Addr().String(), client, func() {
		client.CloseIdleConnections()
		_ = server.Close()
		running.Wait()
	}
}

// BenchmarkReserveAndDispatch measures one request to an idle sidecar over loopback: a
// Reserve call, then a dispatch whose short answer is read to its end.
func BenchmarkReserveAndDispatch(b *testing.B) {
	s, stop := newBenchSidecar(b, newFakeEngine(), 8)
	defer stop()
	url, client, stopServer := benchServer(b, s)
	defer stopServer()
	lane := lanepb.NewLaneProtobufClient(url, client)
	for n := 0; b.Loop(); n++ {
		id := fmt.Sprint(n)
		if reply, err := lane.Reserve(b.Context(), benchReserve(id)); err != nil || reply.GetGrant() == nil {
			b.Fatal(reply, err)
		}
		var body bytes.Buffer
		if err := frame.WriteHeader(&body, &lanepb.DispatchHeader{DispatchId: id, BootId: s.BootID(), BackendServer: "e"}); err != nil {
			b.Fatal(err)
		}
		response, err := client.Post(url+"/lane/v1/dispatch", "", &body)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		response.Body.Close()
	}
}

// BenchmarkWaitingTicket reports the memory of one waiting Reserve call: heap and stacks of
// the sidecar and its client together.
func BenchmarkWaitingTicket(b *testing.B) {
	const tickets = 400
	s, stop := newBenchSidecar(b, newFakeEngine(), 1)
	defer stop()
	url, client, stopServer := benchServer(b, s)
	defer stopServer()
	lane := lanepb.NewLaneProtobufClient(url, client)
	for b.Loop() {
		before := memoryInUse()
		ctx, cancel := context.WithCancel(b.Context())
		var callers sync.WaitGroup
		for n := range tickets {
			callers.Go(func() { _, _ = lane.Reserve(ctx, benchReserve(fmt.Sprint(b.N, "-", n, "-", time.Now()))) })
		}
		for s.servers["e"].queue.Load().Queued < tickets-1 {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric(float64(memoryInUse()-before)/tickets, "B/ticket")
		cancel()
		callers.Wait()
		for s.servers["e"].queue.Load().Running+s.servers["e"].queue.Load().Queued > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
