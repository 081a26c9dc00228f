// Package service is a stand-in for a plain HTTP service, such as a ledger or an
// order desk. It counts the runs of each operation.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/control"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// HeaderOperation is the header with the id of the operation to run. Without it the
// id is taken from the field "operation" of a JSON body.
const HeaderOperation = "X-Operation"

const maxBodyBytes = 8 << 20

// Options configure a plain service.
type Options struct {
	Name    string
	Version string
	// Latency is the duration of an operation.
	Latency time.Duration
	// MaxConcurrent is the maximum number of concurrent operations; others wait. 0
	// means unlimited.
	MaxConcurrent int
}

// Switches are settings of a running service, set by POST /control.
type Switches struct {
	// LatencyMS replaces the latency if it isn't 0, in milliseconds.
	LatencyMS int `json:"latency_ms"`
	// Fail responds with status 500 without running the operation.
	Fail bool `json:"fail"`
	// LoseAnswers is the number of following operations that run, but whose connection
	// is closed before the response.
	LoseAnswers int `json:"lose_answers"`
}

// Server is the plain service. It implements http.Handler.
type Server struct {
	mux     *http.ServeMux
	options Options
	slots   chan struct{}

	mu       sync.Mutex
	runs     map[string]int
	running  int
	waiting  int
	switches Switches
}

// New returns a plain service without any runs.
func New(options Options) *Server {
	s := &Server{mux: http.NewServeMux(), options: options, runs: map[string]int{}}
	if options.MaxConcurrent > 0 {
		s.slots = make(chan struct{}, options.MaxConcurrent)
	}
	s.mux.HandleFunc("GET /runs", s.handleRuns)
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("/", s.handleOperation)
	return s
}

// ServeHTTP serves operations and the stand-in's own endpoints.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set replaces the switches.
func (s *Server) Set(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

// Runs returns the number of runs by operation id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, s.Runs())
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := platform.EngineLoad{Running: s.running, Waiting: s.waiting, Versions: []string{s.options.Version}}
	s.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, load)
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

// Answer is the response body of an operation.
type Answer struct {
	Service   string `json:"service"`
	Version   string `json:"version"`
	Operation string `json:"operation"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Run is the ordinal number of this run of the operation, from 1; 0 if the operation
	// has no id.
	Run int `json:"run"`
	// BodyBytes is the size of the request body.
	BodyBytes int `json:"body_bytes"`
}

func (s *Server) handleOperation(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	release := s.acquireSlot()
	defer release()
	switches := s.currentSwitches()
	if switches.Fail {
		control.WriteError(w, http.StatusInternalServerError, "service is failing")
		return
	}
	answer := Answer{
		Service: s.options.Name, Version: s.options.Version, Operation: operationID(r, body),
		Method: r.Method, Path: r.URL.Path, BodyBytes: len(body),
	}
	// The operation takes effect here, even if the caller disconnects before the response.
	answer.Run = s.countRun(answer.Operation)
	latency := s.options.Latency
	if switches.LatencyMS > 0 {
		latency = time.Duration(switches.LatencyMS) * time.Millisecond
	}
	time.Sleep(latency)
	if s.consumeLostAnswer() {
		control.Abort()
	}
	w.Header().Set("X-Run", strconv.Itoa(answer.Run))
	control.WriteJSON(w, http.StatusOK, answer)
}

// acquireSlot waits for a free slot and returns the function that releases it.
func (s *Server) acquireSlot() func() {
	s.adjustCounts(0, 1)
	if s.slots != nil {
		s.slots <- struct{}{}
	}
	s.adjustCounts(1, -1)
	return func() {
		s.adjustCounts(-1, 0)
		if s.slots != nil {
			<-s.slots
		}
	}
}

// adjustCounts adds to the numbers of running and waiting operations.
func (s *Server) adjustCounts(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

func (s *Server) currentSwitches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// countRun counts a run of an operation and returns its number of runs. It returns 0
// for an operation without an id.
func (s *Server) countRun(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if operation == "" {
		return 0
	}
	s.runs[operation]++
	return s.runs[operation]
}

// consumeLostAnswer reports whether the current response must be lost, and
// decrements the number of those that remain.
func (s *Server) consumeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.LoseAnswers == 0 {
		return false
	}
	s.switches.LoseAnswers--
	return true
}

type operationBody struct {
	Operation string `json:"operation"`
}

// operationID returns the id of the operation, or "" if the request has none.
func operationID(r *http.Request, body []byte) string {
	if id := r.Header.Get(HeaderOperation); id != "" {
		return id
	}
	var parsed operationBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return ""
	}
	return parsed.Operation
}
