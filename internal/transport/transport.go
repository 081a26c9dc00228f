// Package transport owns the HTTP plumbing between lagoonlane processes: HTTP/2
// without TLS over plain TCP, and the shared key that the processes show each
// other. It must never log the key.
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

// Limits of connections between processes.
const (
	dialTimeout  = 2 * time.Second
	pingInterval = time.Second
	pingTimeout  = 2 * time.Second
	idleTimeout  = 90 * time.Second
	// peerIdleTimeout closes connections that carry no request, and so ends their pings.
	peerIdleTimeout   = 15 * time.Second
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// maxCallerHeaderBytes is far above what the entry allows, so that the entry
	// itself refuses a large header, with a typed problem.
	maxCallerHeaderBytes = 1 << 20
	bearerPrefix         = "Bearer "
	maxStreams           = 8192
	// maxStreamBuffer bounds what is received of one answer and not read, in bytes.
	maxStreamBuffer = 128 << 10
	// maxMessageBytes bounds a message that is read whole: the largest is a snapshot of the
	// configuration, some MiB.
	maxMessageBytes = 64 << 20
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client for other lagoonlane processes. It shows them the
// peer key. A nil dial means plain TCP.
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
			// What a slow reader leaves unread stays at the sender.
			MaxReceiveBufferPerStream: maxStreamBuffer,
		},
	}
	return &http.Client{Transport: &keyedTransport{base: base, header: bearerPrefix + peerKey}}
}

// keyedTransport adds the peer key to each request.
type keyedTransport struct {
	base   *http.Transport
	header string
}

// RoundTrip sends a request with the peer key.
func (t *keyedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	keyed := r.Clone(r.Context())
	keyed.Header.Set("Authorization", t.header)
	response, err := t.base.RoundTrip(keyed)
	if err != nil {
		return nil, err
	}
	switch response.Header.Get("Content-Type") {
	case "application/json", "application/protobuf":
		response.Body = boundedBody{bounded.NewReader(response.Body, maxMessageBytes), response.Body}
	}
	return response, nil
}

// boundedBody is a message, as opposed to a stream, which may have any length.
type boundedBody struct {
	*bounded.Reader
	io.Closer
}

// BoundMessages lets next read requests of at most maxMessageBytes.
func BoundMessages(next http.Handler) http.Handler {
	return http.MaxBytesHandler(next, maxMessageBytes)
}

// CloseIdleConnections closes the connections that carry no request.
func (t *keyedTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RequireKey serves next only to callers that show the peer key.
func RequireKey(peerKey string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(peerKey))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		got := sha256.Sum256([]byte(key))
		if !found || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			http.Error(w, "peer key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// NewInternalServer returns a server for other lagoonlane processes. It speaks
// HTTP/2 without TLS, and HTTP/1.1 for health checks and metrics.
func NewInternalServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
}

// NewPublicServer returns a server for callers and operators.
func NewPublicServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxCallerHeaderBytes,
	}
}
