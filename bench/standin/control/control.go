// Package control holds the HTTP helpers that all stand-ins share: JSON
// responses, strict decoding of request bodies, and aborted connections.
package control

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

const maxControlBytes = 1 << 20

// BadRequestError reports a request body that can't be decoded.
type BadRequestError struct{ Detail string }

func (e *BadRequestError) Error() string { return "bad request: " + e.Detail }

// WriteJSON writes a response with the given status and value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// errorBody is the response body of a failed request.
type errorBody struct {
	Error string `json:"error"`
}

// WriteError writes a JSON error response with the given status and a formatted reason.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	WriteJSON(w, status, errorBody{Error: fmt.Sprintf(format, args...)})
}

// ReadJSON decodes a request body of up to 1 MiB into value. It returns a
// BadRequestError for malformed JSON and for unknown fields.
func ReadJSON(r *http.Request, value any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return &BadRequestError{Detail: err.Error()}
	}
	return nil
}

// Abort closes the connection of the current request before its response is
// complete. It panics with http.ErrAbortHandler and must be called in the handler.
func Abort() { panic(http.ErrAbortHandler) }
