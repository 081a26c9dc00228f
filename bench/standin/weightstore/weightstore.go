// Package weightstore is a stand-in for the platform's weight store. It serves named
// artifacts in order of arrival, under one rate limit for all readers.
package weightstore

import (
	"net/http"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/control"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// Options configure a weight store.
type Options struct {
	// BytesPerSecond is the rate limit over all readers together. 0 means unlimited.
	BytesPerSecond uint64
	Artifacts      []platform.Artifact
}

// Switches are settings of a running store, set by POST /control.
type Switches struct {
	// Down rejects all requests except POST /control with status 503.
	Down bool `json:"down"`
	// BytesPerSecond replaces the rate limit if it isn't 0.
	BytesPerSecond uint64 `json:"bytes_per_second"`
}

// FetchRequest is the body of POST /v1/fetch.
type FetchRequest struct {
	Artifact string `json:"artifact"`
	Reader   string `json:"reader"`
}

// Server is the weight store. It implements http.Handler.
type Server struct {
	mux            *http.ServeMux
	mu             sync.Mutex
	bytesPerSecond uint64
	down           bool
	artifacts      map[string]platform.Artifact
	// deliveredAt is when all queued bytes will have been delivered.
	deliveredAt time.Time
}

// New returns a store that holds the artifacts of its options.
func New(options Options) *Server {
	s := &Server{mux: http.NewServeMux(), bytesPerSecond: options.BytesPerSecond, artifacts: map[string]platform.Artifact{}}
	for _, artifact := range options.Artifacts {
		s.artifacts[artifact.Name] = artifact
	}
	s.mux.HandleFunc("GET /v1/budget", s.requireUp(s.budget))
	s.mux.HandleFunc("GET /v1/artifacts/{name}", s.requireUp(s.artifact))
	s.mux.HandleFunc("PUT /v1/artifacts/{name}", s.requireUp(s.put))
	s.mux.HandleFunc("POST /v1/fetch", s.requireUp(s.fetch))
	s.mux.HandleFunc("POST /control", s.control)
	return s
}

// ServeHTTP serves the HTTP API of the store.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// requireUp wraps a handler so that it responds with 503 during an outage.
func (s *Server) requireUp(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			control.WriteError(w, http.StatusServiceUnavailable, "weight store is down")
			return
		}
		next(w, r)
	}
}

// Put adds or replaces an artifact.
func (s *Server) Put(artifact platform.Artifact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.artifacts[artifact.Name] = artifact
}

func (s *Server) findArtifact(name string) (platform.Artifact, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	artifact, ok := s.artifacts[name]
	return artifact, ok
}

func (s *Server) budget(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	queued := max(0, time.Until(s.deliveredAt).Seconds()) * float64(s.bytesPerSecond)
	budget := platform.WeightBudget{BytesPerSecond: s.bytesPerSecond, QueuedBytes: uint64(queued)}
	s.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, budget)
}

func (s *Server) artifact(w http.ResponseWriter, r *http.Request) {
	artifact, ok := s.findArtifact(r.PathValue("name"))
	if !ok {
		control.WriteError(w, http.StatusNotFound, "no artifact %q", r.PathValue("name"))
		return
	}
	control.WriteJSON(w, http.StatusOK, artifact)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var artifact platform.Artifact
	if err := control.ReadJSON(r, &artifact); err != nil || artifact.Name != r.PathValue("name") {
		control.WriteError(w, http.StatusBadRequest, "artifact with the name of the path is needed: %v", err)
		return
	}
	s.Put(artifact)
	control.WriteJSON(w, http.StatusOK, artifact)
}

// fetch responds when the whole artifact has been delivered under the rate limit.
func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	var request FetchRequest
	if err := control.ReadJSON(r, &request); err != nil {
		control.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	artifact, ok := s.findArtifact(request.Artifact)
	if !ok {
		control.WriteError(w, http.StatusNotFound, "no artifact %q", request.Artifact)
		return
	}
	timer := time.NewTimer(time.Until(s.reserve(artifact.SizeBytes)))
	defer timer.Stop()
	select {
	case <-timer.C:
		control.WriteJSON(w, http.StatusOK, artifact)
	case <-r.Context().Done():
	}
}

// reserve queues a transfer of size bytes and returns the time of its completion.
func (s *Server) reserve(size uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.deliveredAt.Before(now) {
		s.deliveredAt = now
	}
	if s.bytesPerSecond > 0 {
		s.deliveredAt = s.deliveredAt.Add(time.Duration(float64(size) / float64(s.bytesPerSecond) * float64(time.Second)))
	}
	return s.deliveredAt
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if err := control.ReadJSON(r, &switches); err != nil {
		control.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	s.mu.Lock()
	s.down = switches.Down
	if switches.BytesPerSecond > 0 {
		s.bytesPerSecond = switches.BytesPerSecond
	}
	s.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, switches)
}
