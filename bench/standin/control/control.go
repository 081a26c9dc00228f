// Package control owns the small HTTP helpers that all stand-ins share: JSON
// answers, and the POST /control switch board.
package control

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

const maxControlBytes = 1 << 20

// BadRequestError says that a stand-in was asked for something outside its protocol.
type BadRequestError struct{ Detail string }

func (e *BadRequestError) Error() string { return "bad request: " + e.Detail }

// WriteJSON answers with a status and a JSON value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left misses its answer; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// errorBody is the body of a failed request.
type errorBody struct {
	Error string `json:"error"`
}

// WriteError answers with a status and a reason.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	WriteJSON(w, status, errorBody{Error: fmt.Sprintf(format, args...)})
}

// ReadJSON decodes a request body strictly.
func ReadJSON(r *http.Request, value any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return &BadRequestError{Detail: err.Error()}
	}
	return nil
}

// Abort breaks the connection of the request in progress, so that its answer is lost.
func Abort() { panic(http.ErrAbortHandler) }
