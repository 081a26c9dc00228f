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
	// attempts is how often a request is sent; a change keeps its operation id.
	attempts       = 4
	retryDelay     = 500 * time.Millisecond
	requestTimeout = 75 * time.Second
	operationBytes = 8
	// maxAnswerBytes bounds an answer: the longest lists are some MiB.
	maxAnswerBytes = 16 << 20
)

// client speaks to the operator API of an entry.
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

// request is one request, which is sent again under the same operation id.
type request struct {
	method    string
	path      string
	body      []byte
	operation string
	// revision is set for a change of one entity.
	revision *uint64
}

// get reads into a value.
func (c *client) get(ctx context.Context, path string, into any) error {
	data, err := c.send(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	return decode(data, into)
}

// list reads all entities of a kind.
func (c *client) list(ctx context.Context, kind string) (operatorapi.List, error) {
	list := operatorapi.List{}
	err := c.get(ctx, kind, &list)
	return list, err
}

// lookup reads one entity, and returns revision 0 when there is none.
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

// put changes one entity from a revision.
func (c *client) put(ctx context.Context, path string, revision uint64, entity proto.Message) (*configpb.AuditEntry, error) {
	body, err := operatorapi.Marshal(entity)
	if err != nil {
		return nil, err
	}
	return c.change(ctx, request{method: http.MethodPut, path: path, body: body, revision: &revision})
}

// remove deletes one entity, whatever its revision is now.
func (c *client) remove(ctx context.Context, path string) (*configpb.AuditEntry, error) {
	item := operatorapi.Item{}
	if err := c.get(ctx, path, &item); err != nil {
		return nil, err
	}
	return c.change(ctx, request{method: http.MethodDelete, path: path, revision: &item.Revision})
}

// change sends a change and returns its audit entry.
func (c *client) change(ctx context.Context, r request) (*configpb.AuditEntry, error) {
	r.operation = newOperation()
	data, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	entry := &configpb.AuditEntry{}
	return entry, decodeMessage(data, entry)
}

// send sends a request until it has an answer, a few times at most.
func (c *client) send(ctx context.Context, r request) ([]byte, error) {
	for attempt := 1; ; attempt++ {
		data, err := c.sendOnce(ctx, r)
		var problem *ProblemError
		final := errors.As(err, &problem) && !problem.retry()
		if err == nil || final || attempt == attempts || ctx.Err() != nil {
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
		return nil, errors.WithStack(&NoAnswerError{Operation: r.operation, Cause: err})
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, errors.WithStack(&NoAnswerError{Operation: r.operation, Cause: err})
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
	if r.operation != "" {
		req.Header.Set("Idempotency-Key", r.operation)
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

func newOperation() string {
	buffer := make([]byte, operationBytes)
	rand.Read(buffer) // It never fails: without random numbers the program ends.
	return hex.EncodeToString(buffer)
}
