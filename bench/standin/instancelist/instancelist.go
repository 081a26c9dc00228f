// Package instancelist is a stand-in for the platform's instance list. Changes
// become visible after a configurable lag.
package instancelist

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/control"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// Switches are settings of a running list, set by POST /control.
type Switches struct {
	// Down rejects requests for the list with status 503.
	Down bool `json:"down"`
	// LagMS is the delay until a change becomes visible, in milliseconds.
	LagMS int `json:"lag_ms"`
}

// pendingChange is a change that isn't visible yet. A nil instance is a removal.
type pendingChange struct {
	at       time.Time
	id       string
	instance *platform.Instance
}

// Server is the instance list. It implements http.Handler.
type Server struct {
	mux      *http.ServeMux
	mu       sync.Mutex
	visible  map[string]platform.Instance
	pending  []pendingChange
	switches Switches
}

// New returns a list in which the given instances are visible from the start.
func New(lag time.Duration, instances []platform.Instance) *Server {
	s := &Server{
		mux:      http.NewServeMux(),
		visible:  map[string]platform.Instance{},
		switches: Switches{LagMS: int(lag.Milliseconds())},
	}
	for _, instance := range instances {
		s.visible[instance.ID] = instance
	}
	s.mux.HandleFunc("GET /v1/instances", s.list)
	s.mux.HandleFunc("PUT /v1/instances/{id}", s.put)
	s.mux.HandleFunc("DELETE /v1/instances/{id}", s.remove)
	s.mux.HandleFunc("POST /control", s.control)
	return s
}

// ServeHTTP serves the HTTP API of the list.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set replaces the switches.
func (s *Server) Set(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

// Put adds or replaces an instance. The change becomes visible after the lag.
func (s *Server) Put(instance platform.Instance) { s.enqueue(instance.ID, &instance) }

// Remove removes an instance. The change becomes visible after the lag.
func (s *Server) Remove(id string) { s.enqueue(id, nil) }

func (s *Server) enqueue(id string, instance *platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingChange{at: time.Now(), id: id, instance: instance})
}

// applyPending applies the changes that are at least as old as the lag. The caller
// holds s.mu.
func (s *Server) applyPending() {
	cutoff := time.Now().Add(-time.Duration(s.switches.LagMS) * time.Millisecond)
	for len(s.pending) > 0 && !s.pending[0].at.After(cutoff) {
		next := s.pending[0]
		s.pending = s.pending[1:]
		if next.instance == nil {
			delete(s.visible, next.id)
			continue
		}
		s.visible[next.id] = *next.instance
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.switches.Down
	s.applyPending()
	instances := make([]platform.Instance, 0, len(s.visible))
	for _, instance := range s.visible {
		instances = append(instances, instance)
	}
	s.mu.Unlock()
	if down {
		control.WriteError(w, http.StatusServiceUnavailable, "instance list is down")
		return
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	etag := entityTag(instances)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	control.WriteJSON(w, http.StatusOK, instances)
}

func entityTag(instances []platform.Instance) string {
	hash := fnv.New64a()
	// Instances always encode, and hash writes never fail.
	_ = json.NewEncoder(hash).Encode(instances)
	return fmt.Sprintf("%q", strconv.FormatUint(hash.Sum64(), 16))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if err := control.ReadJSON(r, &instance); err != nil {
		control.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	if instance.ID != r.PathValue("id") {
		control.WriteError(w, http.StatusBadRequest, "id %q is not that of the path", instance.ID)
		return
	}
	s.Put(instance)
	control.WriteJSON(w, http.StatusOK, instance)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.Remove(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
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
