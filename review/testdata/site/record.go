package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// sent and answers are kept by request id; arrivals in order.
	sent     map[string]time.Time
	answers  map[string]answer
	arrivals []arrival
	runs     map[string][]arrival
}

type answer struct {
	at     time.Time
	status int
	whole  bool
	note   string
}

type arrival struct {
	engine, id string
	at         time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now(), sent: map[string]time.Time{}, answers: map[string]answer{}, runs: map[string][]arrival{}}, err
}

// line writes one line. The caller holds r.mu.
func (r *recorder) line(at time.Time, format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  "+format+"\n", append([]any{at.Sub(r.start).Seconds()}, args...)...)
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(time.Now(), format, args...)
}

func (r *recorder) requestSent(id, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.sent[id] = now
	r.line(now, "sent      %s to %s", id, to)
}

func (r *recorder) answered(id string, status int, whole bool, note string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.answers[id] = answer{now, status, whole, note}
	r.line(now, "answered  %s status %d whole %v %s", id, status, whole, note)
}

func (r *recorder) arrival(engine, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := arrival{engine, id, time.Now()}
	r.arrivals = append(r.arrivals, a)
	r.line(a.at, "arrives   %s at %s", id, engine)
}

func (r *recorder) run(engine, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := arrival{engine, id, time.Now()}
	r.runs[id] = append(r.runs[id], a)
	r.line(a.at, "runs      %s at %s", id, engine)
}

func (r *recorder) ended(engine, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(time.Now(), "run ends  %s at %s", id, engine)
}
