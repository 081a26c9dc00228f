// Package gateway handles a caller's HTTP request from arrival to the final answer: it matches,
// authenticates and admits the request, chooses a backend server, sends the request and relays
// the answer exactly once and complete. It is independent of header names (see Codec) and holds
// no state that must survive a restart.
package gateway

import (
	"net/http"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/backpressure"
)

// PromptPart is one leading part of a prompt. A cached part is useful to an engine only if it
// also has all preceding parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo holds the decoded headers of a request.
type RequestInfo struct {
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// Timeout is how long the caller waits for the answer; valid if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// PromptTokens and MaxOutputTokens are valid if HasTokens is set.
	PromptTokens    int
	MaxOutputTokens int
	HasTokens       bool
	// OutputHint is the caller's estimate of the output tokens; 0 if there is none.
	OutputHint int
	Parts      []PromptPart
	// LastEventID is set when a caller resumes a broken stream.
	LastEventID string
}

// Dispatch holds what is sent to a backend server in addition to the caller's request.
type Dispatch struct {
	// Remaining is the time until the backend server should stop working on the request.
	Remaining time.Duration
	// ServerID identifies the only backend server that may run the request.
	ServerID string
	// Account is the client account's name; empty without accounts.
	Account string
	// LastEventID is the id of the last event that the caller has; empty to start at the
	// beginning.
	LastEventID string
}

// ServerLoad is the load that a backend server reports with an answer.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the moment, relative to the usual time; 0 if the server doesn't say.
	Pace float64
}

// AnswerInfo holds the decoded headers of a backend server's answer.
type AnswerInfo struct {
	RequestID string
	// NotRun says that the request has not run and won't.
	NotRun bool
	// Signed says that the answer carries the backend server's signature.
	Signed bool
	// Closing says that the backend server closes the connection.
	Closing bool
	// Encoded says that the body has a content encoding, which backend servers don't apply.
	Encoded bool
	Load    ServerLoad
	HasLoad bool
	// KeepAlive is how long the backend server keeps the connection open when idle; 0 if
	// unknown.
	KeepAlive time.Duration
}

// Codec translates between HTTP headers and the types of this package.
type Codec interface {
	// DecodeRequest fails if a required header is missing or malformed.
	DecodeRequest(h http.Header) (RequestInfo, error)
	// EncodeDispatch returns the headers for the backend server.
	EncodeDispatch(caller http.Header, d Dispatch) http.Header
	DecodeAnswer(h http.Header) AnswerInfo
	// DecodeNotice returns what a backend server asks of its callers in an answer. It returns the
	// decodable part together with an error if a header is malformed.
	DecodeNotice(status int, h http.Header) (backpressure.Notice, error)
	// EncodeAnswer returns the headers for the caller from those of a backend server's answer.
	EncodeAnswer(server http.Header) http.Header
	// EncodeRefusal sets the headers of an answer that the gateway generates itself.
	EncodeRefusal(h http.Header, requestID string)
}
