package platform

import (
	"context"
	"net/http"
	"net/url"
)

const weightsService = "weight store"

// HTTPWeights is the HTTP client of the weight store. It implements Weights.
type HTTPWeights struct {
	base   string
	client *http.Client
}

// NewHTTPWeights returns a client of the weight store at the URL base.
func NewHTTPWeights(base string, client *http.Client) *HTTPWeights {
	return &HTTPWeights{base: base, client: client}
}

// Budget implements Weights. It returns *UnavailableError or *ProtocolError.
func (w *HTTPWeights) Budget(ctx context.Context) (WeightBudget, error) {
	var budget WeightBudget
	err := w.get(ctx, "/v1/budget", "", "", &budget)
	return budget, err
}

// Artifact implements Weights. It returns *NotFoundError, *UnavailableError or *ProtocolError.
func (w *HTTPWeights) Artifact(ctx context.Context, name string) (Artifact, error) {
	var artifact Artifact
	err := w.get(ctx, "/v1/artifacts/"+url.PathEscape(name), "artifact", name, &artifact)
	return artifact, err
}

func (w *HTTPWeights) get(ctx context.Context, path, kind, name string, into any) error {
	req, err := newRequest(weightsService, func() (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, w.base+path, nil)
	})
	if err != nil {
		return err
	}
	return getJSON(w.client, weightsService, req, kind, name, maxAnswerBytes, into)
}
