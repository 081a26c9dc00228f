// Package logserver is a stand-in for the platform's append-only log service. It
// models offsets, limited retention, a limit on appends per second, outages, slow
// responses and lost responses. It keeps its records in memory.
package logserver

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/control"
)

const (
	maxRecordBytes   = 16 << 20
	maxReadRecords   = 1000
	maxReadBytes     = 16 << 20
	maxWait          = time.Minute
	defaultRetention = 100_000
)

// Options configure a log.
type Options struct {
	// Retention is the number of records that each stream keeps. Default 100,000.
	Retention int
	// AppendsPerSecond is the rate limit over all streams together. 0 means unlimited.
	AppendsPerSecond float64
}

// Switches are settings of a running log, set by POST /control.
type Switches struct {
	// Down rejects reads and appends with status 503.
	Down bool `json:"down"`
	// SlowMS is an additional delay of each read and append, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of following appends that are stored, but whose
	// connection is closed before the response.
	LoseAnswers int `json:"lose_answers"`
	// Retention and AppendsPerSecond replace the options if they aren't 0.
	Retention        int     `json:"retention"`
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// stream holds the retained records of one stream. appended is closed, and
// replaced, at each append.
type stream struct {
	firstOffset uint64
	records     [][]byte
	appended    chan struct{}
}

func (s *stream) nextOffset() uint64 { return s.firstOffset + uint64(len(s.records)) }

// Server is the log service. It implements http.Handler.
type Server struct {
	mux      *http.ServeMux
	mu       sync.Mutex
	streams  map[string]*stream
	switches Switches
	// nextAppend is the earliest time at which the rate limit admits the next append.
	nextAppend time.Time
	appends    uint64
}

// New returns an empty log.
func New(options Options) *Server {
	if options.Retention == 0 {
		options.Retention = defaultRetention
	}
	s := &Server{
		mux:      http.NewServeMux(),
		streams:  map[string]*stream{},
		switches: Switches{Retention: options.Retention, AppendsPerSecond: options.AppendsPerSecond},
	}
	s.mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	s.mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("GET /stats", s.stats)
	return s
}

// ServeHTTP serves the HTTP API of the log.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set replaces the switches. A retention or rate of 0 keeps the previous value.
func (s *Server) Set(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if switches.Retention == 0 {
		switches.Retention = s.switches.Retention
	}
	if switches.AppendsPerSecond == 0 {
		switches.AppendsPerSecond = s.switches.AppendsPerSecond
	}
	s.switches = switches
}

// Appends returns the number of records appended since the start.
func (s *Server) Appends() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if err := control.ReadJSON(r, &switches); err != nil {
		control.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	s.Set(switches)
	control.WriteJSON(w, http.StatusOK, switches)
}

// Stats is the response to GET /stats.
type Stats struct {
	Appends uint64            `json:"appends"`
	Next    map[string]uint64 `json:"next"`
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	stats := Stats{Appends: s.appends, Next: map[string]uint64{}}
	for name, st := range s.streams {
		stats.Next[name] = st.nextOffset()
	}
	s.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, stats)
}

// waitAvailable writes a 503 response during an outage; otherwise it waits for the
// delay of SlowMS. It reports whether the handler should proceed.
func (s *Server) waitAvailable(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	down, slow := s.switches.Down, time.Duration(s.switches.SlowMS)*time.Millisecond
	s.mu.Unlock()
	if down {
		control.WriteError(w, http.StatusServiceUnavailable, "log is down")
		return false
	}
	return sleep(r, slow)
}

// sleep waits for a duration and reports whether it elapsed before the client
// disconnected.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// reserveAppend reserves an append under the rate limit and returns the time to
// wait before it.
func (s *Server) reserveAppend() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.AppendsPerSecond <= 0 {
		return 0
	}
	now := time.Now()
	if s.nextAppend.Before(now) {
		s.nextAppend = now
	}
	wait := s.nextAppend.Sub(now)
	s.nextAppend = s.nextAppend.Add(time.Duration(float64(time.Second) / s.switches.AppendsPerSecond))
	return wait
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	if !s.waitAvailable(w, r) || !sleep(r, s.reserveAppend()) {
		return
	}
	offset, loseAnswer := s.appendRecord(r.PathValue("stream"), data)
	if loseAnswer {
		control.Abort()
	}
	control.WriteJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
}

func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{firstOffset: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// appendRecord stores a record and drops those beyond the retention. loseAnswer is
// true if the response to this append must be lost.
func (s *Server) appendRecord(name string, data []byte) (offset uint64, loseAnswer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset = st.nextOffset()
	st.records = append(st.records, data)
	if extra := len(st.records) - s.switches.Retention; extra > 0 {
		st.records = st.records[extra:]
		st.firstOffset += uint64(extra)
	}
	close(st.appended)
	st.appended = make(chan struct{})
	s.appends++
	if s.switches.LoseAnswers > 0 {
		s.switches.LoseAnswers--
		return offset, true
	}
	return offset, false
}

type readResponse struct {
	Records []record `json:"records"`
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
}

type record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseUint(r.FormValue("from"), 10, 64)
	limit, errLimit := strconv.Atoi(r.FormValue("limit"))
	waitMS, errWait := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if errFrom != nil || errLimit != nil || errWait != nil || from == 0 || limit < 1 || waitMS < 0 {
		control.WriteError(w, http.StatusBadRequest, "from, limit and wait_ms are needed")
		return
	}
	if !s.waitAvailable(w, r) {
		return
	}
	deadline := time.Now().Add(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	for {
		answer, appended := s.readRecords(r.PathValue("stream"), from, min(limit, maxReadRecords))
		if from < answer.First {
			control.WriteJSON(w, http.StatusGone, answer)
			return
		}
		remaining := time.Until(deadline)
		if len(answer.Records) > 0 || remaining <= 0 {
			s.answerRead(w, answer)
			return
		}
		if !waitForAppend(r, appended, remaining) {
			return
		}
	}
}

// answerRead writes the response to a read, or 503 if an outage began while the
// read waited.
func (s *Server) answerRead(w http.ResponseWriter, answer readResponse) {
	s.mu.Lock()
	down := s.switches.Down
	s.mu.Unlock()
	if down {
		control.WriteError(w, http.StatusServiceUnavailable, "log is down")
		return
	}
	control.WriteJSON(w, http.StatusOK, answer)
}

// waitForAppend waits for an append or the timeout. It returns false if the client
// disconnected.
func waitForAppend(r *http.Request, appended <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-appended:
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	return true
}

// readRecords returns the records from an offset on, up to the limits of count and
// size, and a channel that is closed at the next append. It returns no records if
// the offset is before the retained ones.
func (s *Server) readRecords(name string, from uint64, limit int) (readResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	answer := readResponse{Records: []record{}, First: st.firstOffset, Next: st.nextOffset()}
	size := 0
	for offset := max(from, st.firstOffset); from >= st.firstOffset && offset < st.nextOffset(); offset++ {
		data := st.records[offset-st.firstOffset]
		size += len(data)
		if len(answer.Records) == limit || (len(answer.Records) > 0 && size > maxReadBytes) {
			break
		}
		answer.Records = append(answer.Records, record{Offset: offset, Data: data})
	}
	return answer, st.appended
}
