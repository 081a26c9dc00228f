package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1)) }

// request is a client's request.
type request struct {
	id, method, path, body string
	// key is the client's key; empty means clientKey.
	key     string
	timeout time.Duration
	headers []string
}

// encode returns the bytes of the request.
func (r request) encode() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.path, host)
	fmt.Fprintf(&text, `Lagoonlane-Request-Id: %s`+"\r\n"+`Lagoonlane-Credential: %s`+"\r\n"+`Lagoonlane-Deadline-Ms: %d`+"\r\n", r.id, cmp.Or(r.key, clientKey), r.timeout.Milliseconds())
	for _, line := range r.headers {
		text.WriteString(line + "\r\n")
	}
	if r.body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	return text.String() + "\r\n" + r.body
}

// answer is what a client got for a request. err is set if there was no complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, not complete: %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes", a.status, a.header.Get(`Lagoonlane-Response-Stamp`), len(a.body))
}

// send sends a request to an entry on a new channel and waits for the answer.
func send(p *process, r request) answer {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(p.ip, strconv.Itoa(frontPort)), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	return exchange(p, conn, bufio.NewReader(conn), r)
}

// exchange sends a request on an open channel to an entry and waits for the answer.
func exchange(p *process, conn net.Conn, reader *bufio.Reader, r request) answer {
	if err := conn.SetDeadline(time.Now().Add(r.timeout + time.Second)); err != nil {
		return answer{err: err}
	}
	p.bed.note("request %s sent to %s", r.id, p.name)
	if _, err := io.WriteString(conn, r.encode()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}
