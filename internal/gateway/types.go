// Package gateway owns the path of a caller's HTTP request to a backend server and of
// its answer back: it matches, authenticates and admits the request, places it, sends
// it, and answers it once and whole. It knows no names of headers (see Codec) and
// keeps nothing that it can't lose.
package gateway

import (
	"net/http"
	"time"
)

// PromptPart is one leading part of a prompt. A part is only of use to an engine that
// holds all parts before it too.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo is what the headers of a request say.
type RequestInfo struct {
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// Patience is how long the caller waits for the answer, if HasPatience is set.
	Patience    time.Duration
	HasPatience bool
	// PromptTokens and MaxOutputTokens are known if HasTokens is set.
	PromptTokens    int
	MaxOutputTokens int
	HasTokens       bool
	// OutputHint is the caller's estimate of the output tokens; 0: none.
	OutputHint int
	Parts      []PromptPart
	// LastEventID is set when a caller takes up a broken stream.
	LastEventID string
}

// Dispatch is what a backend server is told beside the caller's request.
type Dispatch struct {
	// Remaining is the time until the backend server should stop.
	Remaining time.Duration
	// ServerID is the only backend server that may run the request.
	ServerID string
	// Account is the client account's name; empty without accounts.
	Account string
	// LastEventID is the last event that the caller has; empty: from the start.
	LastEventID string
}

// ServerLoad is what a backend server says of its load with an answer.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
}

// AnswerInfo is what the headers of a backend server's answer say.
type AnswerInfo struct {
	RequestID string
	// NotRun says that the request has not run and won't.
	NotRun bool
	// Stamped says that the answer carries the backend server's signature.
	Stamped bool
	// Closing says that the backend server closes the connection.
	Closing bool
	// Encoded says that the body isn't the backend server's own.
	Encoded bool
	Load    ServerLoad
	HasLoad bool
	// KeepAlive is how long the connection stays open when idle; 0: not told.
	KeepAlive time.Duration
}

// Codec translates between HTTP headers and the gateway.
type Codec interface {
	// DecodeRequest fails if a header that must be there is missing or malformed.
	DecodeRequest(h http.Header) (RequestInfo, error)
	// EncodeDispatch returns the headers for the backend server.
	EncodeDispatch(caller http.Header, d Dispatch) http.Header
	DecodeAnswer(h http.Header) AnswerInfo
	// EncodeAnswer returns the headers of a backend server's answer for the caller.
	EncodeAnswer(server http.Header) http.Header
	// EncodeRefusal sets the headers of an answer of our own.
	EncodeRefusal(h http.Header, requestID string)
}
