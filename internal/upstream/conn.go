package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/netpeek"
)

const (
	// readBufferBytes is the size of a connection's read buffer in bytes, enough for the head of
	// an answer or several events of a stream.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the size, in bytes, up to which a body is written completely before the
	// answer is read. Longer bodies are written concurrently: a server that answers early
	// may not read the rest, which would block the write.
	maxInlineBodyBytes = 4 << 10
)

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	// server is the id of the backend server.
	server string
	// bounded limits and counts the bytes that reader reads from the connection.
	bounded *boundedReader
	reader  *bufio.Reader
	// expires is when the connection must no longer be used if idle.
	expires time.Time
	// reused is true if the connection has carried a request before.
	reused    bool
	closeOnce sync.Once
}

func newConn(raw net.Conn, server string) *conn {
	in := &boundedReader{conn: raw}
	return &conn{Conn: raw, server: server, bounded: in, reader: bufio.NewReaderSize(in, readBufferBytes)}
}

// close closes the connection once. The error of Close is ignored, as it has no bearing on
// the outcome of a request.
func (c *conn) close() {
	c.closeOnce.Do(func() { _ = c.Conn.Close() })
}

// reusable reports whether an idle connection is open and has received no bytes. Bytes that
// arrive while no request is pending belong to no request, so the connection can't be reused.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := netpeek.Peek(c.Conn)
	return state == netpeek.Empty || state == netpeek.Unknown
}

// exchange sends a request and reads the head of its answer. It returns *NotSentError if no
// byte was written and *BrokenError if the exchange failed later. The connection is closed
// when ctx ends before the answer is closed.
func (c *conn) exchange(ctx context.Context, client *Client, request *Request) (*Answer, error) {
	detachContext := context.AfterFunc(ctx, c.close)
	address := c.RemoteAddr().String()
	head := request.encodeHead()
	writeResult := make(chan error, 1)
	if len(request.Body) <= maxInlineBodyBytes {
		n, err := c.Write(append(head, request.Body...))
		if err != nil && n == 0 {
			detachContext()
			return nil, &NotSentError{Address: address, Cause: err}
		}
		writeResult <- err
	} else {
		go func() {
			_, err := (&net.Buffers{head, request.Body}).WriteTo(c.Conn)
			writeResult <- err
		}()
	}
	response, err := c.readHead(client, request)
	if err != nil {
		detachContext()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &BrokenError{Address: address, Reused: c.reused, Cause: err}
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Reused: c.reused,
		EndsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0, body: response.Body, serverCloses: response.Close,
		conn: c, client: client, writeResult: writeResult, detachContext: detachContext,
	}, nil
}

// encodeHead returns the encoded request line and headers. Headers are sorted by name, so equal
// requests have equal bytes.
func (r *Request) encodeHead() []byte {
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

// readHead reads answers until it finds the one to the request and returns its head. Answers
// that echo the id of another request, which are late or duplicated, are skipped.
func (c *conn) readHead(client *Client, request *Request) (*http.Response, error) {
	c.bounded.reset()
	strayBytes := int64(0)
	for range maxStrayAnswers + 1 {
		response, err := c.readFinalHead(request)
		if err != nil {
			return nil, err
		}
		id := ""
		if client.options.RequestIDOf != nil {
			id = client.options.RequestIDOf(response.Header)
		}
		if id == "" || id == request.ID {
			c.bounded.clearLimit()
			return response, nil
		}
		if client.options.OnStrayAnswer != nil {
			client.options.OnStrayAnswer(c.server, request.ID, id)
		}
		if response.Close {
			return nil, errors.WithStack(&StrayAnswerError{ID: id})
		}
		c.bounded.setLimit(ExcessStrayBytes, maxStrayBytes-strayBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.WithStack(&StrayAnswerError{ID: id, Cause: c.bounded.classifyError(err)})
		}
		strayBytes = min(c.bounded.bytesRead, maxStrayBytes)
	}
	return nil, errors.WithStack(&ExcessError{Kind: ExcessStrayAnswers, Read: maxStrayAnswers + 1, Limit: maxStrayAnswers})
}

// readFinalHead reads the head of one answer and skips interim heads before it.
func (c *conn) readFinalHead(request *Request) (*http.Response, error) {
	c.bounded.setLimit(ExcessHead, maxHeadBytes)
	for range maxInterimHeads + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, errors.Wrap(c.bounded.classifyError(err), "read answer head")
		}
		switch {
		case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
			return nil, errors.WithStack(&StatusError{Status: response.StatusCode})
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, errors.WithStack(&ExcessError{Kind: ExcessInterimHeads, Read: maxInterimHeads + 1, Limit: maxInterimHeads})
}

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// StatusError reports an answer with a status that HTTP doesn't have.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("answer with status %03d", e.Status) }

// StrayAnswerError reports that a connection carried the answer to another request and can't be
// used for further ones.
type StrayAnswerError struct {
	// ID is the request id that the answer echoed.
	ID string
	// Cause is the error on reading the rest of that answer. It is nil if the server closes
	// the connection after that answer.
	Cause error
}

func (e *StrayAnswerError) Error() string {
	return "connection carried the answer to another request: " + e.ID
}

// Unwrap returns the cause.
func (e *StrayAnswerError) Unwrap() error { return e.Cause }

// Answer is an answer whose head has been read. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the announced length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Reused says that the connection had carried requests before.
	Reused bool
	// EndsWithConnection says that the body has neither a length nor chunks, so that its end looks like
	// the loss of the connection.
	EndsWithConnection bool

	body io.ReadCloser
	// serverCloses is true if the server closes the connection after the answer.
	serverCloses bool
	conn         *conn
	client       *Client
	// writeResult receives the result of writing the request; writeErr is that result once written is set.
	writeResult chan error
	written     bool
	writeErr    error
	// detachContext detaches the connection from the request's context.
	detachContext func() bool
	// bodyEnded is true once the body has been read to its end.
	bodyEnded bool
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) && a.EndsWithConnection && a.wasReset() {
		return n, errors.WithStack(&ResetError{Cause: a.writeErr})
	}
	if errors.Is(err, io.EOF) {
		a.bodyEnded = true
	}
	return n, a.conn.bounded.classifyError(err)
}

// resetNoticeTime is how long the end of an answer waits for a write of the request that has just received a reset. The
// write has returned by then, but its goroutine may not have run yet.
const resetNoticeTime = 50 * time.Millisecond

// wasReset reports whether the connection was reset while the request was being written. The kernel reports a reset to
// one call only: if that is the write, the read sees a regular end. After a regular end, which makes a body without a
// length complete, a write fails with EPIPE instead.
func (a *Answer) wasReset() bool {
	a.awaitWrite(resetNoticeTime)
	return a.written && errors.Is(a.writeErr, syscall.ECONNRESET)
}

// awaitWrite waits until the request has been written or its write has failed, at most for a time.
func (a *Answer) awaitWrite(timeout time.Duration) {
	if a.written {
		return
	}
	select {
	case a.writeErr = <-a.writeResult:
		a.written = true
		return
	default:
	}
	if timeout <= 0 {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case a.writeErr = <-a.writeResult:
		a.written = true
	case <-timer.C:
	}
}

// ResetError reports that the connection was reset before the end of an answer without a length.
type ResetError struct {
	// Cause is the error of the write that received the reset.
	Cause error
}

func (e *ResetError) Error() string {
	return "connection reset before the end of the answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Cause }

// BytesRead returns the number of bytes received since the start of the exchange, including
// heads and framing.
func (a *Answer) BytesRead() int64 { return a.conn.bounded.bytesRead }

// Drain reads and discards the rest of an unused answer, so that Close can keep the
// connection. It returns an error if the rest exceeds maxDrainBytes or doesn't arrive within
// maxDrainTime.
func (a *Answer) Drain() error {
	if err := a.conn.SetReadDeadline(time.Now().Add(maxDrainTime)); err != nil {
		return errors.WithStack(err)
	}
	a.conn.bounded.setLimit(ExcessUnusedBody, maxDrainBytes)
	if _, err := io.Copy(io.Discard, a); err != nil {
		return err
	}
	return errors.WithStack(a.conn.SetReadDeadline(time.Time{}))
}

// Close ends the exchange. If the request was written and the answer read completely, the
// connection is kept for reuse, for at most keepAlive or a default if keepAlive is 0.
// Otherwise it is closed, which makes the server stop the request. Close returns
// *ExcessError if bytes followed a complete answer: the answer is valid, but the bytes belong
// to no request.
func (a *Answer) Close(keepAlive time.Duration) error {
	detached := a.detachContext()
	a.awaitWrite(0)
	requestWritten := a.written && a.writeErr == nil
	surplusBytes := a.conn.reader.Buffered()
	if !detached || !a.bodyEnded || !requestWritten || a.serverCloses || surplusBytes > 0 {
		a.conn.close()
		if a.bodyEnded && surplusBytes > 0 {
			return errors.WithStack(&ExcessError{Kind: ExcessAfterAnswer, Read: a.conn.bounded.bytesRead, Limit: a.conn.bounded.bytesRead - int64(surplusBytes)})
		}
		return nil
	}
	a.client.putIdle(a.conn, keepAlive)
	return nil
}
