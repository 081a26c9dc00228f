package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	adminPath = "/admin/v1/"
	// maxAttempts is how many times a request is sent. All attempts of a change carry the same
	// operation id.
	maxAttempts      = 4
	retryDelay       = 500 * time.Millisecond
	requestTimeout   = 75 * time.Second
	operationIDBytes = 8
	// maxResponseBytes bounds the body of a response. The longest lists take several MiB.
	maxResponseBytes = 16 << 20
)

// client calls the operator API of an entry.
type client struct {
	base string
	key  string
	http *http.Client
}

func newClient(base, key string) *client {
	return &client{base: strings.TrimRight(base, "/"), key: key, http: &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: bounded.MaxHeaderBytes},
	}}
}

// request is one API request. Retries reuse its operation id.
type request struct {
	method      string
	path        string
	body        []byte
	operationID string
	// revision is the expected revision of the changed entity: 0 if it must not exist, nil if the
	// request does not change a single entity.
	revision *uint64
}

// get reads a path and decodes the JSON response into a value.
func (c *client) get(ctx context.Context, path string, into any) error {
	data, err := c.send(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	return decode(data, into)
}

// list returns all entities of a kind.
func (c *client) list(ctx context.Context, kind string) (operatorapi.List, error) {
	list := operatorapi.List{}
	err := c.get(ctx, kind, &list)
	return list, err
}

// lookup reads one entity and returns its revision, or 0 if the entity does not exist.
func (c *client) lookup(ctx context.Context, path string, into proto.Message) (uint64, error) {
	item := operatorapi.Item{}
	err := c.get(ctx, path, &item)
	var problem *ProblemError
	if errors.As(err, &problem) && problem.Problem.Status == http.StatusNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return item.Revision, decodeMessage(item.Value, into)
}

// put creates or changes one entity, provided that its revision is still the given one.
func (c *client) put(ctx context.Context, path string, revision uint64, entity proto.Message) (*configpb.AuditEntry, error) {
	body, err := operatorapi.Marshal(entity)
	if err != nil {
		return nil, err
	}
	return c.change(ctx, request{method: http.MethodPut, path: path, body: body, revision: &revision})
}

// remove deletes one entity at its present revision.
func (c *client) remove(ctx context.Context, path string) (*configpb.AuditEntry, error) {
	item := operatorapi.Item{}
	if err := c.get(ctx, path, &item); err != nil {
		return nil, err
	}
	return c.change(ctx, request{method: http.MethodDelete, path: path, revision: &item.Revision})
}

// change sends a change under a new operation id and returns its audit entry.
func (c *client) change(ctx context.Context, r request) (*configpb.AuditEntry, error) {
	r.operationID = newOperationID()
	data, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	entry := &configpb.AuditEntry{}
	return entry, decodeMessage(data, entry)
}

// send sends a request up to maxAttempts times, with an increasing delay. It returns *ProblemError
// if the entry refused the request, and *NoAnswerError if no response arrived.
func (c *client) send(ctx context.Context, r request) ([]byte, error) {
	if c.key == "" {
		return nil, &UsageError{Text: "no operator key: set LAGOONLANE_OPERATOR_KEY"}
	}
	for attempt := 1; ; attempt++ {
		data, err := c.sendOnce(ctx, r)
		var problem *ProblemError
		final := errors.As(err, &problem) && !problem.retry()
		if err == nil || final || attempt == maxAttempts || ctx.Err() != nil {
			return data, err
		}
		select {
		case <-time.After(retryDelay * time.Duration(attempt)):
		case <-ctx.Done():
		}
	}
}

func (c *client) sendOnce(ctx context.Context, r request) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+adminPath+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, errors.WithStack(&UsageError{Text: err.Error()})
	}
	c.setHeader(req, r)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(&NoAnswerError{Operation: r.operationID, Cause: err})
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, errors.WithStack(&NoAnswerError{Operation: r.operationID, Cause: err})
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	problem := &ProblemError{}
	if json.Unmarshal(data, &problem.Problem) != nil || problem.Problem.Status == 0 {
		problem.Problem = operatorapi.Problem{Title: resp.Status, Status: resp.StatusCode, Outcome: operatorapi.OutcomeUnknown}
	}
	return nil, errors.WithStack(problem)
}

func (c *client) setHeader(req *http.Request, r request) {
	req.Header.Set("Authorization", "Bearer "+c.key)
	if len(r.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.operationID != "" {
		req.Header.Set("Idempotency-Key", r.operationID)
	}
	if r.revision == nil {
		return
	}
	if *r.revision == 0 {
		req.Header.Set("If-None-Match", "*")
		return
	}
	req.Header.Set("If-Match", operatorapi.ETag(*r.revision))
}

func decode(data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "decoding an answer")
	}
	return nil
}

func decodeMessage(data []byte, into proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "decoding an answer")
	}
	return nil
}

func newOperationID() string {
	buffer := make([]byte, operationIDBytes)
	rand.Read(buffer) // Read never returns an error; it crashes the program instead.
	return hex.EncodeToString(buffer)
}
