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
	grown   chan struct{}
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
	return s.from(s.first, len(s.records))
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) notify() {
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *stream) from(offset uint64, limit int) []platform.Record {
	var records []platform.Record
	for o := offset; o < s.next() && len(records) < limit; o++ {
		records = append(records, platform.Record{Offset: o, Data: s.records[o-s.first]})
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

// tryRead returns the available records, and a channel that is closed when the stream changes.
func (l *Log) tryRead(name string, from uint64, limit int) (platform.ReadResult, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.ReadResult{}, nil, unavailable()
	}
	s := l.stream(name)
	if from < s.first {
		return platform.ReadResult{}, nil, &platform.TruncatedError{Stream: name, From: from, First: s.first}
	}
	return platform.ReadResult{Records: s.from(from, limit), First: s.first, Next: s.next()}, s.grown, nil
}

func unavailable() error {
	return &platform.UnavailableError{Service: serviceName, Cause: &OutageError{}}
}

// Conn is one process's client of the log, with its own faults. It implements platform.Log.
type Conn struct {
	log *Log

	mu        sync.Mutex
	cut       chan struct{}
	isCut     bool
	loseNext  int
	failNext  int
	delay     time.Duration
	silent    bool
	readCut   bool
	appendCut bool
	lateNext  int
	lateDelay time.Duration
	late      sync.WaitGroup
}

// Conn returns a new client of the log.
func (l *Log) Conn() *Conn { return &Conn{log: l, cut: make(chan struct{})} }

// SetCut disconnects this client from the log, or reconnects it.
func (c *Conn) SetCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cut == c.isCut {
		return
	}
	c.isCut = cut
	close(c.cut)
	c.cut = make(chan struct{})
}

// SetSilent makes each call hang without effect until its context is done.
func (c *Conn) SetSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
	close(c.cut)
	c.cut = make(chan struct{})
}

func (c *Conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// SetReadCut makes reads fail; appends still work.
func (c *Conn) SetReadCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readCut = cut
	close(c.cut)
	c.cut = make(chan struct{})
}

func (c *Conn) isReadCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readCut
}

// SetAppendCut makes appends fail without effect; reads still work.
func (c *Conn) SetAppendCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendCut = cut
}

func (c *Conn) isAppendCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appendCut
}

// LoseAnswers makes the next n appends take effect and fail with an unknown result.
func (c *Conn) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseNext = n
}

// LoseAppends makes the next n appends fail with an unknown result and without effect.
func (c *Conn) LoseAppends(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failNext = n
}

// DelayAppends makes the next n appends fail with an unknown result at once, and
// take effect only after a delay.
func (c *Conn) DelayAppends(n int, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateNext = n
	c.lateDelay = delay
}

// SetDelay adds a delay to every call.
func (c *Conn) SetDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = delay
}

// Wait waits until all delayed appends have taken effect.
func (c *Conn) Wait() { c.late.Wait() }

func (c *Conn) state() (cut <-chan struct{}, isCut bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut, c.isCut, c.delay
}

// Append implements platform.Log.
func (c *Conn) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	_, isCut, delay := c.state()
	if isCut || c.isAppendCut() {
		return 0, unavailable()
	}
	if c.isSilent() {
		<-ctx.Done()
		return 0, unknown(name, ctx.Err())
	}
	if err := pause(ctx, delay/2); err != nil {
		return 0, unknown(name, err)
	}
	if c.takeLate(name, data) || c.take(&c.failNext) {
		return 0, unknown(name, unavailable())
	}
	offset, ok := c.log.append(name, data)
	if !ok {
		return 0, unavailable()
	}
	if c.take(&c.loseNext) {
		return 0, unknown(name, unavailable())
	}
	if err := pause(ctx, delay/2); err != nil {
		return 0, unknown(name, err)
	}
	return offset, nil
}

func (c *Conn) take(counter *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}

func (c *Conn) takeLate(name string, data []byte) bool {
	if !c.take(&c.lateNext) {
		return false
	}
	c.mu.Lock()
	delay := c.lateDelay
	c.mu.Unlock()
	c.late.Go(func() {
		time.Sleep(delay)
		c.log.append(name, data)
	})
	return true
}

// Read implements platform.Log.
func (c *Conn) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (platform.ReadResult, error) {
	cut, isCut, delay := c.state()
	if isCut || c.isReadCut() {
		return platform.ReadResult{}, unavailable()
	}
	if c.isSilent() {
		<-ctx.Done()
		return platform.ReadResult{}, ctx.Err()
	}
	if err := pause(ctx, delay); err != nil {
		return platform.ReadResult{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, grown, err := c.log.tryRead(name, from, limit)
		if err != nil || len(result.Records) > 0 || wait <= 0 {
			return result, err
		}
		select {
		case <-grown:
		case <-cut:
			if c.isSilent() {
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

func unknown(name string, cause error) error {
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
