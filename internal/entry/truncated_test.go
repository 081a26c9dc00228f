package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/sidecar"
)

// stoppingServer is a backend server that stops after a number of bytes of its answer and closes the connection. Its load
// reports are whole, and it has no answers to resume.
type stoppingServer struct {
	answer   atomic.Pointer[string]
	bytes    atomic.Int64
	requests atomic.Int64
}

func (s *stoppingServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		request, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := *s.answer.Load()
		switch {
		case request.URL.Path == "/v1/load":
			text = "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n{\"versions\":[\"v1\"]}"
		case strings.HasPrefix(request.URL.Path, "/v1/calls/"):
			text = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
		default:
			s.requests.Add(1)
			text = text[:min(int(s.bytes.Load()), len(text))]
		}
		_, _ = io.WriteString(server, text)
	}()
	return client, nil
}

// addStoppingServer adds a sidecar with a stoppingServer behind a real client.
func (c *testCluster) addStoppingServer(kind string, server *stoppingServer) {
	client := &http.Client{Transport: &http.Transport{DialContext: server.dial}}
	s := &clusterSidecar{address: "sidecar-" + kind + ":1"}
	s.config = sidecar.BackendServer{ID: kind, Kind: kind, Pool: "model", MaxConcurrency: 4, Backend: platform.NewHTTPEngine("http://engine", client)}
	if kind == sidecar.KindService {
		s.config.Pool, s.config.Version, s.config.Backend = "ledger", "v1", platform.NewHTTPService("http://service", client)
	}
	c.list = append(c.list, platform.Instance{ID: "i-" + kind, Role: platform.RoleSidecar, Address: s.address, State: platform.InstanceLive,
		BackendServers: []platform.BackendServer{{ID: kind, Kind: kind, Pool: s.config.Pool, Version: s.config.Version}}})
	c.sidecars = append(c.sidecars, s)
	c.startSidecar(s)
}

// Guards against a backend server that stops within its answer, at any byte of its head, of interim heads, of a chunk's
// frame or of its body, and whose caller gets a success that looks whole through sidecar and entry.
func TestAnswerThatStopsIsNeverWhole(t *testing.T) {
	const events = "data: {\"choices\":[1]}\n\ndata: [DONE]\n\n"
	for name, test := range map[string]struct{ kind, answer, body string }{
		"length":           {sidecar.KindService, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nhello world\n", "hello world\n"},
		"chunks":           {sidecar.KindService, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nhello \r\n6;x=y\r\nworld\n\r\n0\r\n\r\n", "hello world\n"},
		"trailer":          {sidecar.KindService, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\nc\r\nhello world\n\r\n0\r\nX: y\r\n\r\n", "hello world\n"},
		"interim heads":    {sidecar.KindService, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "x"},
		"empty body":       {sidecar.KindService, "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n", ""},
		"HTTP/1.0, length": {sidecar.KindService, "HTTP/1.0 200 OK\r\nContent-Length: 12\r\n\r\nhello world\n", "hello world\n"},
		"engine, length":   {sidecar.KindEngine, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\r\n{\"choices\":[1]}", `{"choices":[1]}`},
		"engine, chunks":   {sidecar.KindEngine, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n{\"choices\":[1]}\r\n0\r\n\r\n", `{"choices":[1]}`},
		"engine, close":    {sidecar.KindEngine, "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n{\"choices\":[1]}", `{"choices":[1]}`},
		"stream, chunks":   {sidecar.KindEngine, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n25\r\n" + events + "\r\n0\r\n\r\n", events},
		"stream, close":    {sidecar.KindEngine, "HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events, events},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := qt.New(t)
				cluster := newTestCluster(1)
				server := &stoppingServer{}
				server.answer.Store(&test.answer)
				cluster.addStoppingServer(test.kind, server)
				entry := cluster.startEntry("entry", nil)
				cluster.entries = append(cluster.entries, entry)
				client := &http.Client{Transport: &http.Transport{DialContext: cluster.network.dial, DisableKeepAlives: true}}
				defer cluster.stop()
				target, content := "/services/ledger/loans", "{}"
				if test.kind == sidecar.KindEngine {
					target, content = chatPath, `{"model":"pegs","stream":`+map[bool]string{true: "true", false: "false"}[test.body == events]+`,"messages":[{"role":"user","content":"hi"}]}`
				}
				for n := range len(test.answer) + 1 {
					server.bytes.Store(int64(n))
					// The entry leaves a backend server alone that has failed.
					time.Sleep(time.Minute)
					before := server.requests.Load()
					request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entry.address+target, strings.NewReader(content))
					c.Assert(err, qt.IsNil)
					request.Header.Set("Authorization", "Bearer "+testKey)
					response, err := client.Do(request)
					c.Assert(err, qt.IsNil, qt.Commentf("%d bytes", n))
					data, err := io.ReadAll(response.Body)
					response.Body.Close()
					c.Check(server.requests.Load() > before, qt.IsTrue, qt.Commentf("%d bytes: the request isn't sent: %d %s", n, response.StatusCode, data))
					isWhole := err == nil && response.StatusCode == http.StatusOK && !strings.Contains(string(data), "event: error")
					if isWhole && n < len(test.answer) {
						// The end of the connection may be the end of the body.
						c.Check(strings.Contains(name, "close") && string(data) == test.body, qt.IsTrue, qt.Commentf("%d bytes: %q", n, data))
					}
					if n == len(test.answer) {
						c.Check(isWhole && string(data) == test.body, qt.IsTrue, qt.Commentf("all of it: %d %q %v", response.StatusCode, data, err))
					}
				}
			})
		})
	}
}
