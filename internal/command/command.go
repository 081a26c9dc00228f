package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/settings"
)

const (
	// operationHeader names an operation over all its retries.
	operationHeader = "Idempotency-Key"
	// operationBytes is the length of an operation id that the server makes.
	operationBytes = 16
	// maxOperationBytes bounds an operation id.
	maxOperationBytes = 128
)

// Submitter appends commands and returns the fold's decision. *logstream.Client is one.
type Submitter interface {
	Submit(ctx context.Context, command *configpb.Command) (*configpb.AuditEntry, error)
}

// Options configure Register.
type Options struct {
	// Log takes the commands. Required.
	Log Submitter
	// Config is the configuration in force. Required.
	Config config.View
	// Planner makes plans of moves; nil: moves can't be planned here.
	Planner Planner
	// Operators may use the API.
	Operators []settings.Operator
}

type server struct{ options Options }

// Register adds the commands of the operator API to a mux.
func Register(mux *http.ServeMux, options Options) {
	s := &server{options: options}
	auth := operatorapi.NewAuthenticator(options.Operators)
	handle := func(pattern string, handler operatorapi.HandlerFunc) {
		mux.Handle(pattern, auth.RequireOperator(handler))
	}
	handle("PUT /admin/v1/tiers/{name}", s.putTier)
	handle("DELETE /admin/v1/tiers/{name}", s.deleteTier)
	handle("PUT /admin/v1/accounts/{name}", s.putAccount)
	handle("DELETE /admin/v1/accounts/{name}", s.deleteAccount)
	handle("PUT /admin/v1/routes/{name...}", s.putRoute)
	handle("DELETE /admin/v1/routes/{name...}", s.deleteRoute)
	handle("PUT /admin/v1/versions/{pool}/{name}", s.putVersion)
	handle("POST /admin/v1/moves/plan", s.planMove)
	handle("POST /admin/v1/moves", s.confirmMove)
	handle("POST /admin/v1/moves/{id}/reverse", s.reverseMove)
}

// submit fills in who, under which operation id and from which revision, and
// writes the decision.
func (s *server) submit(w http.ResponseWriter, r *http.Request, operator string, command *configpb.Command) {
	operation, err := operationID(r)
	if err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	command.Operator = operator
	command.OperationId = operation
	entry, err := s.options.Log.Submit(r.Context(), command)
	if err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	w.Header().Set("ETag", operatorapi.ETag(entry.GetOffset()))
	operatorapi.WriteMessage(w, entry)
}

// submitRevised is submit for a change that must name the revision it expects.
func (s *server) submitRevised(w http.ResponseWriter, r *http.Request, operator string, command *configpb.Command) {
	revision, err := operatorapi.ExpectedRevision(r)
	if err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	command.ExpectedRevision = revision
	s.submit(w, r, operator, command)
}

// operationID returns the operation id of a request, or a new one.
func operationID(r *http.Request) (string, error) {
	id := r.Header.Get(operationHeader)
	if len(id) > maxOperationBytes {
		return "", &operatorapi.BadRequestError{Field: operationHeader}
	}
	if id == "" {
		return newID(), nil
	}
	return id, nil
}

func newID() string {
	buffer := make([]byte, operationBytes)
	_, _ = rand.Read(buffer)
	return hex.EncodeToString(buffer)
}
