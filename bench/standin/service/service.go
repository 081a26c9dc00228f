// Package service is a stand-in for a plain service, such as a ledger or an
// order desk. It counts how often each operation was run.
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

// HeaderOperation names the operation that a call runs. Without it the field
// "operation" of a JSON body does.
const HeaderOperation = "X-Operation"

const maxBodyBytes = 4 << 20

// Options of a plain service.
type Options struct {
	Name    string
	Version string
	// Latency is how long an operation takes.
	Latency time.Duration
	// MaxConcurrent operations run at once; others wait. 0 is unlimited.
	MaxConcurrent int
}

// Switches change the service while it runs, by POST /control.
type Switches struct {
	// LatencyMS replaces the latency when not 0, in milliseconds.
	LatencyMS int `json:"latency_ms"`
	// Fail answers 500 without running the operation.
	Fail bool `json:"fail"`
	// LoseAnswers is the number of calls to come whose answers are lost after they took effect.
	LoseAnswers int `json:"lose_answers"`
}

// Server is the plain service. It is a http.Handler.
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

// New returns a plain service that has run nothing.
func New(options Options) *Server {
	s := &Server{mux: http.NewServeMux(), options: options, runs: map[string]int{}}
	if options.MaxConcurrent > 0 {
		s.slots = make(chan struct{}, options.MaxConcurrent)
	}
	s.mux.HandleFunc("GET /runs", s.showRuns)
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("/", s.handleOperation)
	return s
}

// ServeHTTP serves the protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set replaces the switches.
func (s *Server) Set(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

// Runs returns how often each operation was run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

func (s *Server) showRuns(w http.ResponseWriter, _ *http.Request) {
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

// Answer is what an operation answers.
type Answer struct {
	Service   string `json:"service"`
	Version   string `json:"version"`
	Operation string `json:"operation"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Run is 1 for the first run of the operation.
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
	// The operation takes effect at its start, whether or not its caller stays.
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

// acquireSlot takes a place to run, and returns the function that gives it back.
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

func (s *Server) countRun(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if operation == "" {
		return 0
	}
	s.runs[operation]++
	return s.runs[operation]
}

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
