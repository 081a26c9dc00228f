package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

// codec is a gateway.Codec with short header names.
type codec struct{}

func (codec) DecodeRequest(h http.Header) (gateway.RequestInfo, error) {
	info := gateway.RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last-Event-Id")}
	if ms, err := strconv.Atoi(h.Get("Patience")); err == nil {
		info.Timeout, info.HasTimeout = time.Duration(ms)*time.Millisecond, true
	}
	if tokens, err := strconv.Atoi(h.Get("Tokens")); err == nil {
		info.MaxOutputTokens, info.HasTokens = tokens, true
	}
	info.OutputHint, _ = strconv.Atoi(h.Get("Hint"))
	for id := range strings.FieldsSeq(h.Get("Parts")) {
		info.Parts = append(info.Parts, gateway.PromptPart{ID: id, Tokens: 100})
	}
	return info, nil
}

func (codec) EncodeDispatch(caller http.Header, d gateway.Dispatch) http.Header {
	if caller.Get("Crash") != "" {
		panic("the codec crashes")
	}
	h := http.Header{}
	h.Set("Id", caller.Get("Id"))
	h.Set("Remaining", strconv.FormatInt(d.Remaining.Milliseconds(), 10))
	if d.LastEventID != "" {
		h.Set("Last-Event-Id", d.LastEventID)
	}
	h.Set("Prompt", caller.Get("Parts"))
	h.Set("Engine", d.ServerID)
	return h
}

func (codec) DecodeAnswer(h http.Header) gateway.AnswerInfo {
	return gateway.AnswerInfo{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Signed: h.Get("Stamp") != "", Encoded: h.Get("Content-Encoding") != ""}
}

func (codec) DecodeNotice(_ int, h http.Header) (backpressure.Notice, error) {
	if len(h.Values("Rate-Limit")) == 0 {
		return backpressure.Notice{}, nil
	}
	rate, err := strconv.ParseFloat(h.Get("Rate-Limit"), 64)
	return backpressure.Notice{RateLimit: rate, HasRateLimit: err == nil, RateLimitUnknown: err != nil}, err
}

func (codec) EncodeAnswer(h http.Header) http.Header {
	kept := h.Clone()
	kept.Del("Transfer-Encoding")
	kept.Del("Content-Length")
	return kept
}

func (codec) EncodeRefusal(http.Header, string) {}

// testEntry is an entry with plain backend servers.
type testEntry struct {
	c         *qt.C
	front     *httptest.Server
	client    *http.Client
	holder    *fleet.Holder
	gateway   *gateway.Gateway
	directory *fleet.Directory
	lateness  *fakeLateness
	configAge time.Duration
	log       *logLines
	// requests counts the running requests.
	requests gateway.Requests
	metrics  *telemetry.Metrics
	// cancelRequests ends the running requests with a cause.
	cancelRequests context.CancelCauseFunc
}

// connHandler answers one request on a connection of a backend server.
type connHandler func(request *http.Request, conn net.Conn)

func newTestEntry(t *testing.T, servers ...connHandler) *testEntry {
	return newTestEntryWithConfigAge(t, 0, servers...)
}

// newTestEntryWithConfigAge returns an entry whose configuration was verified as the newest some
// time ago.
func newTestEntryWithConfigAge(t *testing.T, age time.Duration, servers ...connHandler) *testEntry {
	return newTestEntryWithOptions(t, age, func(*testEntry, *gateway.Options) {}, servers...)
}

// newTestEntryWithOptions returns an entry with changed gateway options.
func newTestEntryWithOptions(t *testing.T, age time.Duration, change func(*testEntry, *gateway.Options), servers ...connHandler) *testEntry {
	return newTestEntryOnNetwork(t, tcpNetwork{}, age, change, servers...)
}

// newTestEntryOnNetwork returns an entry on the given network.
func newTestEntryOnNetwork(t *testing.T, network testNetwork, age time.Duration, change func(*testEntry, *gateway.Options), servers ...connHandler) *testEntry {
	c := qt.New(t)
	w := &testEntry{c: c, client: network.client(), configAge: age, lateness: &fakeLateness{}, holder: &fleet.Holder{}, directory: fleet.NewDirectory(), log: &logLines{}}
	for i, s := range servers {
		w.directory.Put(fleet.Server{ID: fmt.Sprint("server-", i), Service: "plain", Address: startServer(t, network, s), Slots: 4})
	}
	w.directory.MarkStoreUp(time.Now())
	w.setManifest(1, "key")
	client := upstream.New(upstream.Options{RequestIDOf: func(h http.Header) string { return h.Get("Id") }, Dial: network.dial()})
	t.Cleanup(client.CloseIdle)
	var err error
	w.metrics, err = telemetry.NewMetrics()
	c.Assert(err, qt.IsNil)
	options := gateway.Options{
		Codec: codec{}, Manifest: w.holder, Directory: w.directory, Upstream: client,
		Slots: slots.NewClient(nil), SidecarAddress: func(fleet.Server) string { return "" },
		Lateness: w.lateness, Entries: func() int { return 1 }, Limits: limit.NewPool(time.Now()),
		Bounds: gateway.Bounds{
			ApplyWithin: 2 * time.Second, RevokeWithin: 5 * time.Second,
			Retries: gateway.RetryBounds{Ratio: 0.2, Window: 10 * time.Second, Slack: 50},
		},
		Logger: zerolog.New(w.log), Meter: w.metrics.Meter, Requests: &w.requests,
	}
	change(w, &options)
	w.gateway, err = gateway.New(options)
	c.Assert(err, qt.IsNil)
	var base context.Context
	base, w.cancelRequests = context.WithCancelCause(context.Background())
	w.front = &httptest.Server{Listener: network.listen(t), Config: &http.Server{Handler: w.gateway}}
	w.front.Config.BaseContext = func(net.Listener) context.Context { return base }
	w.front.Start()
	t.Cleanup(w.front.Close)
	t.Cleanup(w.client.CloseIdleConnections)
	return w
}

// setManifest activates a configuration version with one valid key.
func (w *testEntry) setManifest(version int64, key string) {
	route := func(name string, kind fleet.RouteKind, resumable bool, timeout time.Duration) *fleet.Route {
		return &fleet.Route{
			Name: name, Host: "127.0.0.1", PathPrefix: "/" + name + "/", Kind: kind, Resumable: resumable, Timeout: timeout,
			Objective: 300 * time.Millisecond, MaxServers: 2, Shares: []fleet.Share{{Service: "plain", Weight: 1}},
		}
	}
	m, err := fleet.NewManifest(version, []*fleet.Route{
		route("safe", fleet.KindSafe, false, 2*time.Second),
		route("unsafe", fleet.KindUnsafe, false, 2*time.Second),
		route("stream", fleet.KindStreaming, false, 2*time.Second),
		route("resumable", fleet.KindStreaming, true, 2*time.Second),
		route("short", fleet.KindUnsafe, false, 200*time.Millisecond),
		route("long", fleet.KindUnsafe, false, 20*time.Second),
		{
			Name: "brief", Host: "127.0.0.1", PathPrefix: "/brief/", Kind: fleet.KindUnsafe, Timeout: 500 * time.Millisecond,
			Objective: 100 * time.Millisecond, MaxServers: 1, Shares: []fleet.Share{{Service: "plain", Weight: 1}},
		},
		{
			Name: "low", Host: "127.0.0.1", PathPrefix: "/low/", Kind: fleet.KindUnsafe, Rank: 2, Timeout: 2 * time.Second,
			Objective: 300 * time.Millisecond, MaxServers: 1, Shares: []fleet.Share{{Service: "plain", Weight: 1}},
		},
		{
			Name: "impatient", Host: "127.0.0.1", PathPrefix: "/impatient/", Kind: fleet.KindStreaming, Timeout: 6 * time.Second,
			Objective: 2 * time.Second, FirstEventWait: 200 * time.Millisecond, MaxServers: 1, Shares: []fleet.Share{{Service: "plain", Weight: 1}},
		},
	}, []*fleet.Service{{Name: "plain"}}, []fleet.AccountSpec{{Account: fleet.Account{Name: "a"}, Keys: []string{key}}}, fleet.ClientLimits{MaxBodyBytes: 1 << 16})
	w.c.Assert(err, qt.IsNil)
	w.holder.Set(m)
	w.holder.MarkVerified(steady.Now().Add(-w.configAge))
}

// startServer starts a backend server that handles the requests of a connection one after the
// other. It returns the address.
func startServer(t *testing.T, network testNetwork, s connHandler) string {
	listener := network.listen(t)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					s(request, conn)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// respond answers with a status and a body.
func respond(status int, body string, headers ...string) connHandler {
	return func(request *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\nStamp: s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, request.Header.Get("Id"), strings.Join(headers, ""), len(body), body)
	}
}

var lastRequestNumber atomic.Int64

func (w *testEntry) call(method, path string, body string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, w.front.URL+path, strings.NewReader(body))
	w.c.Assert(err, qt.IsNil)
	request.Header.Set("Id", fmt.Sprint("r", lastRequestNumber.Add(1)))
	request.Header.Set("Key", "key")
	response, err := w.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

func TestAnswerIsPassedOnWhole(t *testing.T) {
	w := newTestEntry(t, respond(200, "hello"))
	response, body, err := w.call("POST", "/unsafe/x", "payload")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, 200)
	w.c.Assert(body, qt.Equals, "hello")
	w.c.Assert(response.Header.Get("Stamp"), qt.Equals, "s")
}

// A request whose connection breaks after it was sent may have run, so it is neither retried nor
// refused.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	var runs atomic.Int64
	closeConn := func(_ *http.Request, conn net.Conn) { runs.Add(1); conn.Close() }
	w := newTestEntry(t, closeConn, closeConn, closeConn)
	response, _, err := w.call("POST", "/unsafe/x", "payload")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	w.c.Assert(runs.Load(), qt.Equals, int64(1))
}

func TestSafeRequestIsRetriedOnAnotherServer(t *testing.T) {
	var runs atomic.Int64
	w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
		if runs.Add(1) == 1 {
			conn.Close()
			return
		}
		respond(200, "second")(request, conn)
	}, func(request *http.Request, conn net.Conn) {
		if runs.Add(1) == 1 {
			conn.Close()
			return
		}
		respond(200, "second")(request, conn)
	})
	response, body, err := w.call("GET", "/safe/x", "")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, 200)
	w.c.Assert(body, qt.Equals, "second")
	w.c.Assert(runs.Load(), qt.Equals, int64(2))
}

// The refusal of a request that a backend server rejected without running it may promise that it
// has not run, and carries a Retry-After.
func TestRejectionIsATrueRefusal(t *testing.T) {
	w := newTestEntry(t, respond(503, "", "Not-Run: 1\r\n"))
	response, _, err := w.call("POST", "/unsafe/x", "payload")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	w.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// A refusal without the promise that the request hasn't run must not be forwarded as one.
func TestRefusalWithoutPromiseIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		w := newTestEntry(t, respond(status, "busy"))
		response, _, err := w.call("POST", "/unsafe/x", "payload")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	}
}

func TestServerErrorIsForwarded(t *testing.T) {
	w := newTestEntry(t, respond(500, "broken"))
	response, body, err := w.call("POST", "/unsafe/x", "payload")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, 500)
	w.c.Assert(body, qt.Equals, "broken")
}

// An answer without the server's signature or with a content encoding is not from the backend
// server itself.
func TestForeignAnswersAreNotPassedOn(t *testing.T) {
	for _, head := range []string{"Id: %s\r\n", "Id: %s\r\nStamp: s\r\nContent-Encoding: gzip\r\n"} {
		w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 1\r\n\r\nx", request.Header.Get("Id"))
		})
		response, _, err := w.call("POST", "/unsafe/x", "payload")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", head))
	}
}

// A late second answer on a reused connection belongs to the previous request.
func TestLateSecondAnswerIsPassedOver(t *testing.T) {
	var mu sync.Mutex
	last := ""
	w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		if last != "" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 5\r\n\r\nstale", last)
		}
		last = request.Header.Get("Id")
		respond(200, "fresh")(request, conn)
	})
	for range 3 {
		_, body, err := w.call("GET", "/safe/x", "")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(body, qt.Equals, "fresh")
	}
}

// A body that ends before its announced length must not be forwarded as a complete answer.
func TestCutBodyIsNoAnswer(t *testing.T) {
	w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 10\r\n\r\nhalf", request.Header.Get("Id"))
		conn.Close()
	})
	response, _, err := w.call("POST", "/unsafe/x", "payload")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

// respondEvents sends the events of a stream in chunks. If cut is set, it closes the connection
// in the middle of the event after the last one.
func respondEvents(request *http.Request, conn net.Conn, from, to int, cut bool) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"), from)
	chunk := func(text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }
	for i := from; i <= to; i++ {
		chunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
	}
	if cut {
		chunk(fmt.Sprintf("id: %d\nda", to+1))
		conn.Close()
		return
	}
	fmt.Fprint(conn, "0\r\n\r\n")
}

const threeEvents = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"

// A resumable stream whose connection breaks is resumed on another server after the last event
// that the caller has.
func TestBrokenStreamGoesOnElsewhereInOrder(t *testing.T) {
	var calls atomic.Int64
	s := func(request *http.Request, conn net.Conn) {
		if calls.Add(1) == 1 {
			respondEvents(request, conn, 1, 2, true)
			return
		}
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		respondEvents(request, conn, last+1, 3, false)
	}
	w := newTestEntry(t, s, s)
	response, body, err := w.call("POST", "/resumable/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(body, qt.Equals, threeEvents)
	w.c.Assert(response.Header.Get("Stamp"), qt.Equals, "s1")
	w.c.Assert(calls.Load(), qt.Equals, int64(2))
}

// A stream that may not be resumed ends with a broken connection, because a regular end would
// make the caller take it as complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	var calls atomic.Int64
	s := func(request *http.Request, conn net.Conn) {
		calls.Add(1)
		respondEvents(request, conn, 1, 2, true)
	}
	w := newTestEntry(t, s, s)
	_, _, err := w.call("POST", "/stream/x", "p")
	w.c.Assert(err, qt.Not(qt.IsNil))
	w.c.Assert(calls.Load(), qt.Equals, int64(1))
}

func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	w := newTestEntry(t, func(*http.Request, net.Conn) { time.Sleep(2 * time.Second) })
	start := time.Now()
	response, _, err := w.call("POST", "/short/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	w.c.Assert(time.Since(start) < 700*time.Millisecond, qt.IsTrue)
}

// When a caller disconnects, the connection to the backend server is closed, so that it stops
// the request.
func TestCallerThatLeavesStopsItsRequest(t *testing.T) {
	disconnected, received := make(chan struct{}), make(chan struct{})
	w := newTestEntry(t, func(_ *http.Request, conn net.Conn) {
		close(received)
		var buffer [1]byte
		if _, err := conn.Read(buffer[:]); err != nil {
			close(disconnected)
		}
	})
	ctx, disconnect := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "GET", w.front.URL+"/safe/x", nil)
	w.c.Assert(err, qt.IsNil)
	request.Header.Set("Id", "leaver")
	request.Header.Set("Key", "key")
	go func() { _, _ = http.DefaultClient.Do(request) }()
	<-received
	disconnect()
	select {
	case <-disconnected:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection to the backend server is open 2 s after the caller left")
	}
}

func TestRemovedKeyIsRefused(t *testing.T) {
	w := newTestEntry(t, respond(200, "x"))
	w.setManifest(2, "other")
	response, _, err := w.call("GET", "/safe/x", "")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusUnauthorized)
}

// An entry that may have missed the removal of a key accepts no keys, and refuses its callers
// with a retryable status.
func TestOutdatedConfigurationServesNoKeys(t *testing.T) {
	var runs atomic.Int64
	w := newTestEntryWithConfigAge(t, 6*time.Second, func(request *http.Request, conn net.Conn) { runs.Add(1); respond(200, "x")(request, conn) })
	w.c.Assert(w.gateway.Ready(), qt.IsFalse)
	response, _, err := w.call("GET", "/safe/x", "")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	w.c.Assert(runs.Load(), qt.Equals, int64(0))
}

func TestBadRequestsAreTypedProblems(t *testing.T) {
	w := newTestEntry(t, respond(200, "x"))
	for path, want := range map[string]int{"/nowhere/x": http.StatusNotFound, "/safe": http.StatusNotFound} {
		response, body, err := w.call("GET", path, "")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, want)
		w.c.Assert(body, qt.Contains, `"outcome":"not-run"`)
	}
	response, _, err := w.call("POST", "/unsafe/x", strings.Repeat("x", 1<<17))
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
}

// If another backend server has taken over an address, the request goes to the next server
// immediately, even if it may run only once.
func TestReplacedServerIsAvoided(t *testing.T) {
	replaced := respond(http.StatusMisdirectedRequest, "")
	w := newTestEntry(t, replaced, replaced, replaced, respond(200, "here"))
	for range 4 {
		response, body, err := w.call("POST", "/unsafe/x", "payload")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(response.StatusCode, qt.Equals, 200)
		w.c.Assert(body, qt.Equals, "here")
	}
}
