// Package query implements the read-only part of the operator API under /admin/v1/. It responds
// from the configuration in force in this process and never writes.
package query

import (
	"net/http"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/settings"
)

// LogState reports whether this process reads the log and whether the log is unavailable.
// *logstream.Client implements it.
type LogState interface {
	Ready() bool
	LogDown() bool
}

// Options configure Register.
type Options struct {
	// Config provides the configuration in force. Required.
	Config config.View
	// Log is reported in the status, unless it is nil.
	Log LogState
	// Operators are permitted to use the API.
	Operators []settings.Operator
}

type server struct{ options Options }

// Register adds the read-only requests of the operator API to a mux.
func Register(mux *http.ServeMux, options Options) {
	s := &server{options: options}
	auth := operatorapi.NewAuthenticator(options.Operators)
	handle := func(pattern string, handler operatorapi.HandlerFunc) {
		mux.Handle("GET /admin/v1/"+pattern, auth.RequireOperator(handler))
	}
	handle("status", s.status)
	handle("audit", s.audit)
	handle("config", s.config)
	handle("moves/{id}/watch", s.watchMove)
	for _, kind := range entityKinds {
		handle(kind.path, s.list(kind))
		handle(kind.path+"/"+kind.pattern, s.get(kind))
	}
}
