package platform

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

const instancesService = "instance list"

// HTTPInstances is the HTTP client of the instance list. It implements Instances. It caches the
// list and sends its entity tag, so that the response for an unchanged list has no body.
type HTTPInstances struct {
	base   string
	client *http.Client

	mu   sync.Mutex
	etag string
	list []Instance
}

// NewHTTPInstances returns a client of the instance list at the URL base.
func NewHTTPInstances(base string, client *http.Client) *HTTPInstances {
	return &HTTPInstances{base: base, client: client}
}

// List implements Instances. It returns *UnavailableError or *ProtocolError.
func (i *HTTPInstances) List(ctx context.Context) ([]Instance, error) {
	req, err := newRequest(instancesService, func() (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, i.base+"/v1/instances", nil)
	})
	if err != nil {
		return nil, err
	}
	etag, cached := i.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := i.client.Do(req)
	if err != nil {
		return nil, errors.WithStack(&UnavailableError{Service: instancesService, Cause: err})
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return cached, nil
	}
	var list []Instance
	if err := decodeResult(instancesService, resp, "", "", maxAnswerBytes, &list); err != nil {
		return nil, err
	}
	i.cache(resp.Header.Get("ETag"), list)
	return slices.Clone(list), nil
}

func (i *HTTPInstances) cached() (etag string, list []Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.etag, slices.Clone(i.list)
}

func (i *HTTPInstances) cache(etag string, list []Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.etag, i.list = etag, list
}
