// Package transport provides HTTP clients and servers. Lagoonlane processes call each other over
// HTTP/2 without TLS and authenticate with a shared peer key, which the package never logs. It also
// tracks the connections of callers.
package transport

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
)

// Timeouts and limits of connections. Sizes are in bytes.
const (
	dialTimeout  = 2 * time.Second
	pingInterval = time.Second
	pingTimeout  = 2 * time.Second
	idleTimeout  = 90 * time.Second
	// peerIdleTimeout is how long an unused client connection is kept. Closing it also ends its
	// pings.
	peerIdleTimeout   = 15 * time.Second
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// maxCallerHeaderBytes is far above the entry's own limit, so that the entry refuses a large
	// header with a typed problem.
	maxCallerHeaderBytes = 1 << 20
	bearerPrefix         = "Bearer "
	// maxStreams is the number of streams of a connection between processes with a peer key: each waiting request
	// has one. maxOpenStreams is that without a key, where streams carry short calls only.
	maxStreams     = 8192
	maxOpenStreams = 32
	// maxOpenBuffer limits the received and unread bytes of a connection without a peer key.
	maxOpenBuffer = 64 << 10
	// maxFrameBytes is the largest HTTP/2 frame that a process receives, and has a buffer for on each connection.
	maxFrameBytes = 16 << 10
	// maxStreamBuffer limits the received and unread bytes of one response.
	maxStreamBuffer = 128 << 10
	// maxMessageBytes limits a message that is read into memory. The largest one is a snapshot
	// of the configuration of a few MiB.
	maxMessageBytes = 64 << 20
)

// DialFunc opens a connection like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client for calls to other lagoonlane processes. It sends the peer key with
// each request. A nil dial means plain TCP.
func NewClient(peerKey string, dial DialFunc) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	base := &http.Transport{
		DialContext:     dial,
		Protocols:       protocols,
		IdleConnTimeout: peerIdleTimeout,

		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingInterval,
			PingTimeout:     pingTimeout,
			// Flow control keeps the data that a slow reader has not read at the sender.
			MaxReceiveBufferPerStream: maxStreamBuffer,
		},
	}
	return &http.Client{Transport: &authTransport{base: base, header: bearerPrefix + peerKey}}
}

// authTransport adds the peer key to each request.
type authTransport struct {
	base   *http.Transport
	header string
}

// RoundTrip sends a request with the peer key.
func (t *authTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	authorized := r.Clone(r.Context())
	authorized.Header.Set("Authorization", t.header)
	response, err := t.base.RoundTrip(authorized)
	if err != nil {
		return nil, err
	}
	switch response.Header.Get("Content-Type") {
	case "application/json", "application/protobuf":
		response.Body = boundedBody{bounded.NewReader(response.Body, maxMessageBytes), response.Body}
	}
	return response, nil
}

// boundedBody is the body of a message of limited size. Bodies of streams are not limited.
type boundedBody struct {
	*bounded.Reader
	io.Closer
}

// LimitMessages wraps next so that it reads at most maxMessageBytes of a request body.
func LimitMessages(next http.Handler) http.Handler {
	return http.MaxBytesHandler(next, maxMessageBytes)
}

// CloseIdleConnections closes the connections without a request. http.Client calls it.
func (t *authTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RequireKey wraps next so that requests without the peer key get status 401.
func RequireKey(peerKey string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(peerKey))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		got := sha256.Sum256([]byte(key))
		if !found || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			// Over HTTP/2 this ends the connection, which may have many more streams.
			w.Header().Set("Connection", "close")
			http.Error(w, "peer key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// NewInternalServer returns a server for calls of other lagoonlane processes, whose handler requires a peer key. It
// supports HTTP/2 without TLS, and HTTP/1.1 for health checks and metrics.
func NewInternalServer(handler http.Handler) *http.Server {
	return newInternalServer(handler, http.HTTP2Config{MaxConcurrentStreams: maxStreams})
}

// NewOpenInternalServer is NewInternalServer without a peer key.
func NewOpenInternalServer(handler http.Handler) *http.Server {
	return newInternalServer(handler, http.HTTP2Config{
		MaxConcurrentStreams: maxOpenStreams, MaxReceiveBufferPerConnection: maxOpenBuffer, MaxReceiveBufferPerStream: maxOpenBuffer,
	})
}

func newInternalServer(handler http.Handler, http2 http.HTTP2Config) *http.Server {
	http2.MaxReadFrameSize = maxFrameBytes
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http2,

		DisableGeneralOptionsHandler: true,
	}
}

// NewPublicServer returns a server for callers and operators.
func NewPublicServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxCallerHeaderBytes,

		DisableGeneralOptionsHandler: true,
	}
}
