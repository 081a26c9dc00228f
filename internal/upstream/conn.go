package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/netpeek"
)

const (
	// readBuffer holds the head of an answer or some events of a stream.
	readBuffer = 4 << 10
	// inlineBody is the size up to which a body is written before the answer is
	// read; a server that answers early may not read a longer one.
	inlineBody = 4 << 10
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	server  string
	in      *boundedReader
	reader  *bufio.Reader
	expires time.Time
	// reused says that it has carried a request before.
	reused bool
	once   sync.Once
}

func newConn(raw net.Conn, server string) *conn {
	in := &boundedReader{conn: raw}
	return &conn{Conn: raw, server: server, in: in, reader: bufio.NewReaderSize(in, readBuffer)}
}

// close closes the connection; its error says nothing of the request.
func (c *conn) close() {
	c.once.Do(func() { _ = c.Conn.Close() })
}

// quiet reports whether an idle connection is open and has received nothing. Bytes
// that arrive without a request belong to none.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := netpeek.Look(c.Conn)
	return state == netpeek.Quiet || state == netpeek.Unknown
}

// exchange sends a request and reads the head of its answer.
func (c *conn) exchange(ctx context.Context, client *Client, request *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.close)
	address := c.RemoteAddr().String()
	head := request.head()
	written := make(chan error, 1)
	if len(request.Body) <= inlineBody {
		n, err := c.Write(append(head, request.Body...))
		if err != nil && n == 0 {
			stop()
			return nil, &NotSentError{Address: address, Cause: err}
		}
		written <- err
	} else {
		go func() {
			_, err := (&net.Buffers{head, request.Body}).WriteTo(c.Conn)
			written <- err
		}()
	}
	response, err := c.readHead(client, request)
	if err != nil {
		stop()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &BrokenError{Address: address, Reused: c.reused, Cause: err}
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, body: response.Body, closing: response.Close,
		conn: c, client: client, written: written, stop: stop,
	}, nil
}

// head returns the request line and the headers, in a fixed order.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range r.Header[name] {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads heads until it finds the answer to the request. Answers that name
// another request are late or extra ones and are passed over.
func (c *conn) readHead(client *Client, request *Request) (*http.Response, error) {
	c.in.begin()
	stray := int64(0)
	for range maxStray + 1 {
		response, err := c.readFinalHead(request)
		if err != nil {
			return nil, err
		}
		id := ""
		if client.options.IDOf != nil {
			id = client.options.IDOf(response.Header)
		}
		if id == "" || id == request.ID {
			c.in.unbind()
			return response, nil
		}
		if client.options.Stray != nil {
			client.options.Stray(c.server, request.ID, id)
		}
		if response.Close {
			return nil, errors.WithStack(&StrayError{ID: id})
		}
		c.in.bound(ExcessStrayBytes, maxStrayBytes-stray)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.WithStack(&StrayError{ID: id, Cause: c.in.explain(err)})
		}
		stray = min(c.in.read, maxStrayBytes)
	}
	return nil, errors.WithStack(&ExcessError{Kind: ExcessStray, Read: maxStray + 1, Limit: maxStray})
}

// readFinalHead reads the head of one answer; interim heads before it are passed over.
func (c *conn) readFinalHead(request *Request) (*http.Response, error) {
	c.in.bound(ExcessHead, maxHeadBytes)
	for range maxInterim + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, errors.Wrap(c.in.explain(err), "answer")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.WithStack(&ExcessError{Kind: ExcessInterim, Read: maxInterim + 1, Limit: maxInterim})
}

// StrayError says that a connection carried an answer to another request and can't be used.
type StrayError struct {
	ID string
	// Cause is why the answer was not read to its end; nil: the connection ends with it.
	Cause error
}

func (e *StrayError) Error() string { return "the connection carried an answer to the request " + e.ID }

// Unwrap returns the cause.
func (e *StrayError) Unwrap() error { return e.Cause }

// Answer is an answer of which the head has been read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the announced length of the body; -1: none.
	Length  int64
	body    io.ReadCloser
	closing bool
	conn    *conn
	client  *Client
	written chan error
	stop    func() bool
	ended   bool
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, a.conn.in.explain(err)
}

// BytesRead returns how many bytes of the answer have come.
func (a *Answer) BytesRead() int64 { return a.conn.in.read }

// Drain reads the rest of an answer that nobody gets, if it is short and there, so that
// the connection can be kept.
func (a *Answer) Drain() error {
	if err := a.conn.SetReadDeadline(time.Now().Add(maxDrainTime)); err != nil {
		return errors.WithStack(err)
	}
	a.conn.in.bound(ExcessDrain, maxDrainBytes)
	if _, err := io.Copy(io.Discard, a); err != nil {
		return err
	}
	return errors.WithStack(a.conn.SetReadDeadline(time.Time{}))
}

// Close ends the exchange. The connection is kept, for keepAlive if that is known,
// if both request and answer passed whole; otherwise it is closed, and the server
// stops the request. It fails with *ExcessError if bytes came after a whole answer: the
// answer counts, but they belong to no request.
func (a *Answer) Close(keepAlive time.Duration) error {
	stopped := a.stop()
	var wrote bool
	select {
	case err := <-a.written:
		wrote = err == nil
	default:
	}
	surplus := a.conn.reader.Buffered()
	if !stopped || !a.ended || !wrote || a.closing || surplus > 0 {
		a.conn.close()
		if a.ended && surplus > 0 {
			return errors.WithStack(&ExcessError{Kind: ExcessSurplus, Read: a.conn.in.read, Limit: a.conn.in.read - int64(surplus)})
		}
		return nil
	}
	a.client.put(a.conn, keepAlive)
	return nil
}
