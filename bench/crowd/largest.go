package crowd

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// headRequests and bodyRequests are the numbers of requests with the largest head and body on one channel.
	headRequests = 20
	bodyRequests = 3
	// ordinaryBytes is the size of an ordinary body.
	ordinaryBytes = 1000
	// concurrentRequests is the number of channels with a request at the same time.
	concurrentRequests = 4
	// writtenHeaderBytes is room for the header lines that net/http adds to those of a request.
	writtenHeaderBytes = 200
)

// Largest describes the largest client that the limits of a front door allow.
type Largest struct {
	// HeadBytes is the size of all header lines of a request, BodyBytes that of a body.
	HeadBytes, BodyBytes int
	// Channels is the number of channels that are kept at once, Requests that of requests on one.
	Channels, Requests int
	// IdleTimeout is how long a channel may stay idle. Clients use one again up to four fifths of it.
	IdleTimeout time.Duration
	// NewRequest returns an ordinary request with a body, of unknown length if the body is no *strings.Reader.
	NewRequest func(body io.Reader) (*http.Request, error)
}

// Play is one thing that the largest client does.
type Play struct {
	Name string
	// Run returns nil if all requests were answered with status 200 on channels that stayed open.
	Run func() error
}

// Plays returns what the largest client does, up to each limit.
func (l Largest) Plays() []Play {
	return []Play{
		{"head", func() error { return l.repeat(headRequests, l.headRequest) }},
		{"body", func() error {
			return l.repeat(bodyRequests, func() (*http.Request, error) { return l.request(l.BodyBytes) })
		}},
		{"body in chunks", func() error { return l.repeat(bodyRequests, l.chunkedRequest) }},
		{"requests on one channel", func() error { return l.repeat(l.Requests, l.ordinaryRequest) }},
		{"kept channels", l.keepChannels},
		{"idle channel", l.useIdleChannel},
	}
}

func (l Largest) request(bodyBytes int) (*http.Request, error) {
	return l.NewRequest(strings.NewReader(strings.Repeat("x", bodyBytes)))
}

func (l Largest) ordinaryRequest() (*http.Request, error) { return l.request(ordinaryBytes) }

func (l Largest) chunkedRequest() (*http.Request, error) {
	return l.NewRequest(io.MultiReader(strings.NewReader(strings.Repeat("x", l.BodyBytes))))
}

func (l Largest) headRequest() (*http.Request, error) {
	request, err := l.request(0)
	if err != nil {
		return nil, err
	}
	const name = "X-Padding"
	size := lineBytes(name, "") + writtenHeaderBytes
	for name, values := range request.Header {
		for _, value := range values {
			size += lineBytes(name, value)
		}
	}
	request.Header.Set(name, strings.Repeat("x", l.HeadBytes-size))
	return request, nil
}

func lineBytes(name, value string) int { return len(name) + len(": ") + len(value) + len("\r\n") }

// repeat sends a number of requests on one channel.
func (l Largest) repeat(n int, newRequest func() (*http.Request, error)) error {
	channel := NewChannel()
	defer channel.Close()
	for i := range n {
		request, err := newRequest()
		if err != nil {
			return err
		}
		if err := channel.Do(request); err != nil {
			return errors.WithMessagef(err, "request %d", i)
		}
	}
	return nil
}

// keepChannels sends two requests on each channel, the second ones while all channels are open.
func (l Largest) keepChannels() error {
	channels := make([]*Channel, l.Channels)
	for i := range channels {
		channels[i] = NewChannel()
		defer channels[i].Close()
	}
	for range 2 {
		// More at once could be refused by the backend servers, which is no fault of the channels.
		var group errgroup.Group
		group.SetLimit(concurrentRequests)
		for i, channel := range channels {
			group.Go(func() error {
				request, err := l.ordinaryRequest()
				if err != nil {
					return err
				}
				return errors.WithMessagef(channel.Do(request), "channel %d", i)
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
	}
	return nil
}

func (l Largest) useIdleChannel() error {
	sent := false
	return l.repeat(2, func() (*http.Request, error) {
		if sent {
			time.Sleep(l.IdleTimeout * 4 / 5)
		}
		sent = true
		return l.ordinaryRequest()
	})
}
