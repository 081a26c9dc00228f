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
	// operationIDHeader holds the operation id, which is the same for all retries of an operation.
	operationIDHeader = "Idempotency-Key"
	// operationIDBytes is the number of random bytes in an operation id that the server generates.
	operationIDBytes = 16
	// maxOperationIDBytes limits the length of an operation id that a client sends.
	maxOperationIDBytes = 128
)

// Submitter appends a command to the log and returns the decision on it, which is made when the
// command is replayed. *logstream.Client implements it.
type Submitter interface {
	Submit(ctx context.Context, command *configpb.Command) (*configpb.AuditEntry, error)
}

// Options are the options of Register.
type Options struct {
	// Log appends the commands. Required.
	Log Submitter
	// Config is the configuration in force. Required.
	Config config.View
	// Planner plans moves. If it is nil, requests for a plan fail.
	Planner Planner
	// Operators are those that may use the API.
	Operators []settings.Operator
}

type server struct{ options Options }

// Register adds the handlers of the operator API's write operations to a mux.
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

// submit sets the operator and the operation id of a command, submits it and writes the decision as
// the response.
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

// submitWithRevision is like submit, but requires the expected revision in the request.
func (s *server) submitWithRevision(w http.ResponseWriter, r *http.Request, operator string, command *configpb.Command) {
	revision, err := operatorapi.ExpectedRevision(r)
	if err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	command.ExpectedRevision = revision
	s.submit(w, r, operator, command)
}

// operationID returns the operation id of a request, or a new one if the request has none. It
// returns *operatorapi.BadRequestError for an id that is too long.
func operationID(r *http.Request) (string, error) {
	id := r.Header.Get(operationIDHeader)
	if len(id) > maxOperationIDBytes {
		return "", &operatorapi.BadRequestError{Field: operationIDHeader}
	}
	if id == "" {
		return newID(), nil
	}
	return id, nil
}

func newID() string {
	buffer := make([]byte, operationIDBytes)
	_, _ = rand.Read(buffer)
	return hex.EncodeToString(buffer)
}
