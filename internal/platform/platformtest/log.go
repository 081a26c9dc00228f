// Package platformtest provides an in-memory fake of the platform's log for tests, with the faults
// of the real one: it can be down or slow, lose the response of an append that took effect, and
// drop old records. It uses no sockets and no background goroutines except for delayed appends,
// so that it works in virtual time.
package platformtest

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// serviceName is the name of the log in errors.
const serviceName = "log"

// OutageError is the cause of every failure that a test injects.
type OutageError struct{}

func (e *OutageError) Error() string { return "fault injected by the test" }

// Log is the fake log service. Use NewLog to create one.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	down    bool
}

type stream struct {
	// first is the offset of records[0].
	first   uint64
	records [][]byte
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{streams: map[string]*stream{}} }

// SetDown makes the whole service unavailable, or available again. Waiting reads then fail at
// once.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	for _, s := range l.streams {
		s.notify()
	}
}

// Truncate drops the records of a stream before offset first.
func (l *Log) Truncate(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if first > s.first {
		s.records = s.records[min(first-s.first, uint64(len(s.records))):]
		s.first = first
	}
}

// Next returns the offset of the next append.
func (l *Log) Next(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).next()
}

// Records returns all retained records of a stream.
func (l *Log) Records(name string) []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.recordsFrom(s.first, len(s.records))
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) recordsFrom(offset uint64, limit int) []platform.Record {
	var records []platform.Record
	for next := offset; next < s.next() && len(records) < limit; next++ {
		records = append(records, platform.Record{Offset: next, Data: s.records[next-s.first]})
	}
	return records
}

func (l *Log) append(name string, data []byte) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, false
	}
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, data)
	s.notify()
	return offset, true
}

// readNow returns the available records, and a channel that is closed when the stream changes.
func (l *Log) readNow(name string, from uint64, limit int) (platform.ReadResult, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.ReadResult{}, nil, unavailable()
	}
	s := l.stream(name)
	if from < s.first {
		return platform.ReadResult{}, nil, &platform.TruncatedError{Stream: name, From: from, First: s.first}
	}
	return platform.ReadResult{Records: s.recordsFrom(from, limit), First: s.first, Next: s.next()}, s.changed, nil
}

func unavailable() error {
	return &platform.UnavailableError{Service: serviceName, Cause: &OutageError{}}
}

// Conn is one process's client of the log, with its own faults. It implements platform.Log.
type Conn struct {
	log *Log

	mu             sync.Mutex
	changed        chan struct{}
	disconnected   bool
	lostAnswers    int
	failedAppends  int
	delay          time.Duration
	hanging        bool
	readsFail      bool
	appendsFail    bool
	delayedAppends int
	appendDelay    time.Duration
	pendingAppends sync.WaitGroup
}

// Conn returns a new client of the log.
func (l *Log) Conn() *Conn { return &Conn{log: l, changed: make(chan struct{})} }

// SetDisconnected disconnects this client from the log, or reconnects it.
func (c *Conn) SetDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if disconnected == c.disconnected {
		return
	}
	c.disconnected = disconnected
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetHanging makes each call hang without effect until its context is done.
func (c *Conn) SetHanging(hanging bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hanging = hanging
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Conn) isHanging() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hanging
}

// SetReadsFail makes reads fail; appends still work.
func (c *Conn) SetReadsFail(fail bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsFail = fail
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Conn) readsFailing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readsFail
}

// SetAppendsFail makes appends fail without effect; reads still work.
func (c *Conn) SetAppendsFail(fail bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendsFail = fail
}

func (c *Conn) appendsFailing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appendsFail
}

// LoseAnswers makes the next n appends take effect and fail with an unknown result.
func (c *Conn) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAnswers = n
}

// FailAppends makes the next n appends fail with an unknown result and without effect.
func (c *Conn) FailAppends(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAppends = n
}

// DelayAppends makes the next n appends fail with an unknown result at once, and
// take effect only after a delay.
func (c *Conn) DelayAppends(n int, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedAppends = n
	c.appendDelay = delay
}

// SetDelay adds a delay to every call.
func (c *Conn) SetDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = delay
}

// WaitForDelayedAppends waits until all delayed appends have taken effect.
func (c *Conn) WaitForDelayedAppends() { c.pendingAppends.Wait() }

func (c *Conn) state() (changed <-chan struct{}, disconnected bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed, c.disconnected, c.delay
}

// Append implements platform.Log.
func (c *Conn) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	_, disconnected, delay := c.state()
	if disconnected || c.appendsFailing() {
		return 0, unavailable()
	}
	if c.isHanging() {
		<-ctx.Done()
		return 0, unknownResult(name, ctx.Err())
	}
	if err := pause(ctx, delay/2); err != nil {
		return 0, unknownResult(name, err)
	}
	if c.appendLater(name, data) || c.countDown(&c.failedAppends) {
		return 0, unknownResult(name, unavailable())
	}
	offset, ok := c.log.append(name, data)
	if !ok {
		return 0, unavailable()
	}
	if c.countDown(&c.lostAnswers) {
		return 0, unknownResult(name, unavailable())
	}
	if err := pause(ctx, delay/2); err != nil {
		return 0, unknownResult(name, err)
	}
	return offset, nil
}

func (c *Conn) countDown(counter *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}

func (c *Conn) appendLater(name string, data []byte) bool {
	if !c.countDown(&c.delayedAppends) {
		return false
	}
	c.mu.Lock()
	delay := c.appendDelay
	c.mu.Unlock()
	c.pendingAppends.Go(func() {
		time.Sleep(delay)
		c.log.append(name, data)
	})
	return true
}

// Read implements platform.Log.
func (c *Conn) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (platform.ReadResult, error) {
	faultsChanged, disconnected, delay := c.state()
	if disconnected || c.readsFailing() {
		return platform.ReadResult{}, unavailable()
	}
	if c.isHanging() {
		<-ctx.Done()
		return platform.ReadResult{}, ctx.Err()
	}
	if err := pause(ctx, delay); err != nil {
		return platform.ReadResult{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, changed, err := c.log.readNow(name, from, limit)
		if err != nil || len(result.Records) > 0 || wait <= 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-faultsChanged:
			if c.isHanging() {
				<-ctx.Done()
				return platform.ReadResult{}, ctx.Err()
			}
			return platform.ReadResult{}, unavailable()
		case <-ctx.Done():
			return platform.ReadResult{}, ctx.Err()
		case <-timer.C:
			return result, nil
		}
	}
}

func unknownResult(name string, cause error) error {
	return &platform.AppendUnknownError{Stream: name, Cause: cause}
}

func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
