package operatorapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// maxBodyBytes is the maximum size of an operator's request body.
const maxBodyBytes = 1 << 20

// Item is one entity with its revision. A change of the entity must expect this revision.
type Item struct {
	Entity   string          `json:"entity"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// List is the response to a query for all entities of a kind.
type List struct {
	// Offset is the log offset of the configuration that was read.
	Offset uint64 `json:"offset"`
	Items  []Item `json:"items"`
}

// Intent is the body of a request to plan a move.
type Intent struct {
	ID          string    `json:"id"`
	Pool        string    `json:"pool"`
	FromVersion string    `json:"from_version"`
	ToVersion   string    `json:"to_version"`
	Routes      []string  `json:"routes,omitempty"`
	FinishBy    time.Time `json:"finish_by"`
}

// Status is the response to a query for the state of one process.
type Status struct {
	// Offset is the log offset of the configuration in force.
	Offset uint64 `json:"offset"`
	// Ready is true if the process has loaded a complete configuration.
	Ready bool `json:"ready"`
	// LogDown is true while the process can't read the log.
	LogDown   bool     `json:"log_down"`
	Tiers     int      `json:"tiers"`
	Accounts  int      `json:"accounts"`
	Routes    int      `json:"routes"`
	Versions  int      `json:"versions"`
	Contained []string `json:"contained,omitempty"`
	Moves     []Item   `json:"active_moves,omitempty"`
	Leases    []Item   `json:"leases,omitempty"`
}

// NewItem returns an item with the JSON encoding of an entity.
func NewItem(entity string, revision uint64, value proto.Message) (Item, error) {
	data, err := Marshal(value)
	if err != nil {
		return Item{}, err
	}
	return Item{Entity: entity, Revision: revision, Value: data}, nil
}

// Marshal encodes a message as JSON with the field names of the .proto files.
func Marshal(message proto.Message) ([]byte, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encoding an entity")
	}
	return data, nil
}

// ReadMessage decodes the JSON body of a request into a protobuf message. It returns
// *BadRequestError.
func ReadMessage(r *http.Request, message proto.Message) error {
	data, err := readBody(r)
	if err != nil {
		return err
	}
	if err := protojson.Unmarshal(data, message); err != nil {
		return errors.WithStack(&BadRequestError{Field: "body", Cause: err})
	}
	return nil
}

// ReadJSON decodes the JSON body of a request and rejects unknown fields. It returns
// *BadRequestError.
func ReadJSON(r *http.Request, value any) error {
	data, err := readBody(r)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.WithStack(&BadRequestError{Field: "body", Cause: err})
	}
	return nil
}

// readBody reads a request body of at most maxBodyBytes.
func readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err != nil {
		return nil, errors.WithStack(&BadRequestError{Field: "body", Cause: err})
	}
	return data, nil
}

// WriteMessage writes a protobuf message as the JSON response.
func WriteMessage(w http.ResponseWriter, message proto.Message) {
	data, err := Marshal(message)
	if err != nil {
		WriteProblem(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// WriteJSON writes a value as the JSON response.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ETag returns the entity tag of a revision.
func ETag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// ExpectedRevision returns the revision that a change expects: the value of If-Match, or 0 for
// "If-None-Match: *". It returns *PreconditionRequiredError if neither is present and with
// *BadRequestError if If-Match is not a revision.
func ExpectedRevision(r *http.Request) (uint64, error) {
	match := r.Header.Get("If-Match")
	if match == "" && r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	if match == "" {
		return 0, errors.WithStack(&PreconditionRequiredError{})
	}
	revision, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return 0, errors.WithStack(&BadRequestError{Field: "If-Match", Cause: err})
	}
	return revision, nil
}
