package entry

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// memoryLog is one stream of an append-only log. It can be unavailable or slow, and it can lose
// the responses of appends that took effect.
type memoryLog struct {
	delay func() time.Duration

	mu            sync.Mutex
	records       []platform.Record
	appended      chan struct{}
	downUntil     time.Time
	slowUntil     time.Time
	loseResponses int
}

func newMemoryLog(delay func() time.Duration) *memoryLog {
	return &memoryLog{delay: delay, appended: make(chan struct{})}
}

// delayOrFail simulates the latency of a call and returns an error while the log is down.
func (l *memoryLog) delayOrFail() error {
	l.mu.Lock()
	down, slow := time.Now().Before(l.downUntil), time.Now().Before(l.slowUntil)
	l.mu.Unlock()
	time.Sleep(l.delay())
	if slow {
		time.Sleep(time.Second)
	}
	if down {
		return &platform.UnavailableError{Service: "log", Cause: &injectedError{"log is down"}}
	}
	return nil
}

func (l *memoryLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	if err := l.delayOrFail(); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, platform.Record{Offset: offset, Data: data})
	close(l.appended)
	l.appended = make(chan struct{})
	if l.loseResponses > 0 {
		l.loseResponses--
		return 0, &platform.AppendUnknownError{Stream: stream, Cause: &injectedError{"answer lost"}}
	}
	return offset, nil
}

func (l *memoryLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (platform.ReadResult, error) {
	if err := l.delayOrFail(); err != nil {
		return platform.ReadResult{}, err
	}
	l.mu.Lock()
	appended := l.appended
	empty := int(from) > len(l.records)
	l.mu.Unlock()
	if empty {
		select {
		case <-appended:
		case <-time.After(wait):
		case <-ctx.Done():
			return platform.ReadResult{}, ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	result := platform.ReadResult{First: 1, Next: uint64(len(l.records) + 1)}
	for i := int(from) - 1; i < len(l.records) && len(result.Records) < limit; i++ {
		result.Records = append(result.Records, l.records[i])
	}
	return result, nil
}
