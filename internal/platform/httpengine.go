package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

const engineService = "model engine"

// HTTPEngine is the HTTP client of a model engine. It implements Engine.
type HTTPEngine struct {
	HTTPService
	client *http.Client
}

// NewHTTPEngine returns a client of the model engine at the URL base.
func NewHTTPEngine(base string, client *http.Client) *HTTPEngine {
	return &HTTPEngine{HTTPService: *NewHTTPService(base, client), client: client}
}

func (e *HTTPEngine) callURL(id string) string { return e.base + "/v1/calls/" + url.PathEscape(id) }

// Resume implements Engine. It returns *NotFoundError if the call is unknown to the engine or its
// response is no longer retained.
func (e *HTTPEngine) Resume(ctx context.Context, id string, fromByte uint64) (*Answer, error) {
	target := e.callURL(id) + "?from_byte=" + strconv.FormatUint(fromByte, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.WithStack(&NotSentError{Cause: err})
	}
	req.Header.Set("Accept-Encoding", "identity")
	resp, err := e.sender.send(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.Header.Get(HeaderCallID) == id {
		return newAnswer(resp), nil
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone {
		return nil, errors.WithStack(&NotFoundError{Kind: "call", Name: id})
	}
	return nil, protocolError(engineService, resp)
}

// Cancel implements Engine. A call that is unknown to the engine counts as cancelled.
func (e *HTTPEngine) Cancel(ctx context.Context, id string) error {
	req, err := newRequest(engineService, func() (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodDelete, e.callURL(id), nil)
	})
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return errors.WithStack(&UnavailableError{Service: engineService, Cause: err})
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
		return nil
	}
	return protocolError(engineService, resp)
}

// Load implements Engine. It returns *UnavailableError or *ProtocolError.
func (e *HTTPEngine) Load(ctx context.Context) (EngineLoad, error) {
	req, err := newRequest(engineService, func() (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/v1/load", nil)
	})
	if err != nil {
		return EngineLoad{}, err
	}
	var load EngineLoad
	err = getJSON(e.client, engineService, req, "", "", maxReportBytes, &load)
	return load, err
}

type fencedAnswer struct {
	Given   uint64 `json:"given"`
	Highest uint64 `json:"highest"`
}

// Order implements Engine. It returns *FencedError, *NotSentError, *BrokenCallError or
// *ProtocolError. Orders are idempotent by id, so the call may be retried.
func (e *HTTPEngine) Order(ctx context.Context, order Order) (OrderStatus, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return OrderStatus{}, errors.WithStack(&NotSentError{Cause: err})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return OrderStatus{}, errors.WithStack(&NotSentError{Cause: err})
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.sender.send(req)
	if err != nil {
		return OrderStatus{}, errors.WithStack(err)
	}
	defer resp.Body.Close()
	return orderResult(resp)
}

func orderResult(resp *http.Response) (OrderStatus, error) {
	switch resp.StatusCode {
	case http.StatusOK:
		var status OrderStatus
		err := decodeJSON(engineService, resp, maxReportBytes, &status)
		return status, err
	case http.StatusConflict:
		var fenced fencedAnswer
		if err := decodeJSON(engineService, resp, maxReportBytes, &fenced); err != nil {
			return OrderStatus{}, err
		}
		return OrderStatus{}, errors.WithStack(&FencedError{Given: fenced.Given, Highest: fenced.Highest})
	}
	return OrderStatus{}, protocolError(engineService, resp)
}
