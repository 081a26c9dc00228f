// Package crowd plays clients that keep to no limit: they send without end, hold connections, or never read.
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// senders is the number of clients that send, silent of those that only hold a connection.
	senders = 200
	silent  = 1000
	// holdTime is how long a crowd holds its connections.
	holdTime = 2 * time.Second
	// maxBytes bounds what one client sends.
	maxBytes = 2 << 20
)

// Crowd is a kind of client. Its head is sent first, then repeat until maxBytes are sent or the connection ends.
type Crowd struct {
	Name         string
	clients      int
	head, repeat string
	// pause is the time between two repetitions.
	pause time.Duration
	// repeats returns what is sent in the place of repeat, if it is set: the i-th part of what a client sends.
	repeats func(i int) string
	// reset says that the client closes its connection with unread bytes, again and again.
	reset bool
}

// Heads returns the crowds whose clients never finish a head.
func Heads() []Crowd {
	return []Crowd{
		{Name: "heads without end", clients: senders, head: "GET / HTTP/1.1\r\n", repeat: "X-Long: " + strings.Repeat("x", 1000) + "\r\n"},
		{Name: "heads over the limit that are held", clients: senders, head: "GET / HTTP/1.1\r\n" + strings.Repeat("X-Long: "+strings.Repeat("x", 990)+"\r\n", 240)},
		{Name: "a header line without end", clients: senders, head: "GET / HTTP/1.1\r\nX-Long: ", repeat: strings.Repeat("x", 1000)},
		{Name: "a request line without end", clients: senders, head: "GET /", repeat: strings.Repeat("x", 1000)},
		{Name: "empty lines without end", clients: senders, repeat: strings.Repeat("\r\n", 500)},
		{Name: "a byte of a head now and then", clients: senders, head: "GET / HTTP/1.1\r\nX: ", repeat: "x", pause: 100 * time.Millisecond},
		{Name: "half a head", clients: silent, head: "GET / HTTP/1.1\r\nHost: s"},
		{Name: "nothing", clients: silent},
		{Name: "opened and reset", clients: senders, head: "GET / HTTP/1.1\r\n", reset: true},
	}
}

// Bodies returns the crowds whose clients finish the head of a request that a server accepts. The request has neither
// a length nor an end of its head.
func Bodies(request string) []Crowd {
	return []Crowd{
		{Name: "a body that is announced and not sent", clients: senders, head: request + "Content-Length: 1000000\r\n\r\n"},
		{Name: "a byte of a body now and then", clients: senders, head: request + "Content-Length: 1000000\r\n\r\n", repeat: "x", pause: 100 * time.Millisecond},
		{Name: "a body of chunks without end", clients: senders, head: request + "Transfer-Encoding: chunked\r\n\r\n", repeat: "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{Name: "chunk extensions without end", clients: senders, head: request + "Transfer-Encoding: chunked\r\n\r\n1;", repeat: strings.Repeat("x", 1000)},
		{Name: "trailers without end", clients: senders, head: request + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "X-Long: " + strings.Repeat("x", 1000) + "\r\n"},
		{Name: "requests whose answers are not read", clients: senders, repeat: request + "Content-Length: 0\r\n\r\n"},
	}
}

// Waiting returns the crowds of more clients than a process takes connections, which hold them behind a whole head, and
// those that send requests without reading the answers. Accepted and refused are the heads of requests that a server
// accepts, and refuses before it reads their body, without a length and an end.
func Waiting(accepted, refused string) []Crowd {
	return []Crowd{
		{Name: "bodies that are not sent, more than connections", clients: silent, head: accepted + "Content-Length: 1000000\r\n\r\n"},
		{Name: "bodies of refused requests that are not sent", clients: silent, head: refused + "Content-Length: 1000000\r\n\r\n"},
		{Name: "a byte of a refused body now and then", clients: silent, head: refused + "Content-Length: 1000000\r\n\r\n", repeat: "x", pause: 100 * time.Millisecond},
		{Name: "refusals that are not read", clients: senders, repeat: refused + "Content-Length: 0\r\n\r\n"},
	}
}

// Unread returns the crowd whose clients send a request again and again and read no answer.
func Unread(request string) Crowd {
	return Crowd{Name: "answers that are not read", clients: senders, repeat: request + "\r\n"}
}

// TakenOver returns the crowd whose clients have a request answered with another protocol and send nothing in it.
func TakenOver(path, protocol string) Crowd {
	return Crowd{Name: "connections of another protocol", clients: silent, head: "GET " + path + " HTTP/1.1\r\nHost: s\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"}
}

// Hold opens the connections of a crowd, sends on them and keeps them until ctx ends.
func (w Crowd) Hold(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()
	var all sync.WaitGroup
	for range w.clients {
		all.Go(func() {
			for again := true; again && ctx.Err() == nil; again = w.reset {
				w.send(ctx, address)
			}
		})
	}
	all.Wait()
}

func (w Crowd) send(ctx context.Context, address string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := io.WriteString(conn, w.head); err != nil {
		return
	}
	if w.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	for i, sent := 0, 0; (w.repeat != "" || w.repeats != nil) && sent < maxBytes; i++ {
		text := w.repeat
		if w.repeats != nil {
			text = w.repeats(i)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		sent += len(text)
		if w.pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(w.pause):
			}
		}
	}
	<-ctx.Done()
}

// Descriptors returns the number of open descriptors of a process.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}

// Watch samples the descriptors of a process until stop is called, which returns the largest number.
func Watch(pid int) (stop func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan int)
	go func() {
		most := 0
		for ctx.Err() == nil {
			if n, err := Descriptors(pid); err == nil {
				most = max(most, n)
			}
			select {
			case <-ctx.Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
		result <- most
	}()
	return func() int {
		cancel()
		return <-result
	}
}
