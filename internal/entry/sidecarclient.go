package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/prefix"
	"github.com/lagoonlane/lagoonlane/internal/routing"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	dispatchPath = "/lane/v1/dispatch"
	resumePath   = "/lane/v1/resume"
	// controlTimeout bounds the control calls that a sidecar answers without queueing.
	controlTimeout = 2 * time.Second
)

// laneClients caches one Twirp client per sidecar address.
type laneClients struct {
	client *http.Client
	url    func(address string) string

	mu    sync.Mutex
	lanes map[string]lanepb.Lane
}

func newLaneClients(client *http.Client, url func(string) string) *laneClients {
	return &laneClients{client: client, url: url, lanes: map[string]lanepb.Lane{}}
}

// lane returns the client for a sidecar address.
func (l *laneClients) lane(address string) lanepb.Lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	lane, ok := l.lanes[address]
	if !ok {
		lane = lanepb.NewLaneProtobufClient(l.url(address), l.client)
		l.lanes[address] = lane
	}
	return lane
}

// retain drops the clients of sidecars that are not in listed.
func (l *laneClients) retain(listed map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address := range l.lanes {
		if !listed[address] {
			delete(l.lanes, address)
		}
	}
}

// slot identifies a dispatch slot at a sidecar, requested or granted. bootID is empty until a
// grant or a claim sets it.
type slot struct {
	target     routing.Target
	dispatchID string
	bootID     string
}

// reserve requests a dispatch slot and waits until it is granted. It returns *RefusedError or
// *UnreachableError; in both cases nothing was dispatched.
func (e *Entry) reserve(ctx context.Context, c *call, version string, s slot) (slot, error) {
	request := &lanepb.ReserveRequest{
		DispatchId:    s.dispatchID,
		RequestId:     c.id,
		BackendServer: s.target.BackendServer,
		BootId:        s.bootID,
		Account:       c.account.GetName(),
		AccountWeight: max(c.account.GetWeight(), 1),
		Tier:          c.tier.GetName(),
		TierRank:      c.tier.GetRank(),
		BudgetMs:      budgetMS(c.deadline),
		Route:         c.route.GetName(),
		Version:       version,
		PromptTokens:  c.promptTokens,
		OutputTokens:  c.outputTokens,
		Prefixes:      c.prefixes(version),
		Idempotent:    c.idempotent,
		ConfigOffset:  c.state.GetOffset(),
	}
	reserveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.reservations.add(s, cancel)
	defer e.reservations.remove(s)
	response, err := e.lanes.lane(s.target.Address).Reserve(reserveCtx, request)
	e.table.Acknowledge(s.target.BackendServer, s.dispatchID)
	if ctx.Err() == nil && !e.table.Usable(s.target.BackendServer) {
		e.release(s)
		return s, errors.WithStack(&RefusedError{Reason: lanepb.RefusalReason_REFUSAL_REASON_DRAINING, Detail: "the backend server is leaving"})
	}
	if err != nil {
		return s, errors.WithStack(&UnreachableError{Cause: err})
	}
	e.observe(response.GetLoad())
	if grant := response.GetGrant(); grant != nil {
		s.bootID = grant.GetBootId()
		return s, nil
	}
	refusal := response.GetRefusal()
	return s, errors.WithStack(&RefusedError{
		Reason:     refusal.GetReason(),
		RetryAfter: time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond,
		Detail:     refusal.GetDetail(),
	})
}

// budgetMS returns the time left until a deadline in milliseconds, at least 1.
func budgetMS(deadline time.Time) uint32 {
	return uint32(max(time.Until(deadline).Milliseconds(), 1))
}

// prefixes returns the prefix hashes of the prompt, scoped to the pool and the version.
func (c *call) prefixes(version string) []uint64 {
	return prefix.Scoped(c.route.GetPool()+"/"+version, c.prefixHashes)
}

// dispatch sends the body under a grant and returns the frame stream of the answer.
func (e *Entry) dispatch(ctx context.Context, c *call, s slot) (io.ReadCloser, error) {
	var header bytes.Buffer
	err := frame.WriteHeader(&header, &lanepb.DispatchHeader{
		DispatchId:    s.dispatchID,
		BootId:        s.bootID,
		BackendServer: s.target.BackendServer,
		Method:        c.method,
		Path:          c.path,
		Headers:       c.headers,
		Stream:        c.stream,
	})
	if err != nil {
		return nil, err
	}
	size := int64(header.Len() + len(c.body))
	body := opaqueReader{io.MultiReader(&header, bytes.NewReader(c.body))}
	return e.lanes.post(ctx, s.target.Address+dispatchPath, body, size)
}

// opaqueReader hides the concrete type of a reader, so that net/http can't set GetBody and send
// the body a second time.
type opaqueReader struct{ io.Reader }

// resume requests the frames of an answer starting at a sequence number.
func (e *Entry) resume(ctx context.Context, s slot, fromSequence uint64) (io.ReadCloser, error) {
	body, err := proto.Marshal(&lanepb.ResumeRequest{
		DispatchId:    s.dispatchID,
		BootId:        s.bootID,
		FromSequence:  fromSequence,
		BackendServer: s.target.BackendServer,
	})
	if err != nil {
		return nil, errors.Wrap(err, "resume request")
	}
	return e.lanes.post(ctx, s.target.Address+resumePath, bytes.NewReader(body), int64(len(body)))
}

// post sends a request to an address and path, and returns the response stream. Closing the stream
// cancels the request.
func (l *laneClients) post(ctx context.Context, endpoint string, body io.Reader, size int64) (io.ReadCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url(endpoint), body)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "lane request")
	}
	request.ContentLength = size
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := l.client.Do(request)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "lane call")
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		cancel()
		return nil, errors.WithStack(&StatusError{Status: response.StatusCode})
	}
	return &cancelingBody{ReadCloser: response.Body, cancel: cancel}, nil
}

// cancelingBody is a response body that cancels its request when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close cancels the request and closes the body.
func (b *cancelingBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// revoke bars a dispatch unless the sidecar has already received it, and returns the resulting
// state.
func (e *Entry) revoke(ctx context.Context, s slot) (lanepb.DispatchState, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := e.lanes.lane(s.target.Address).Revoke(ctx, &lanepb.RevokeRequest{DispatchId: s.dispatchID, BootId: s.bootID})
	if err != nil {
		return 0, errors.WithStack(&UnreachableError{Cause: err})
	}
	return response.GetState(), nil
}

// enquire returns the state of a dispatch without changing it.
func (e *Entry) enquire(ctx context.Context, s slot) (lanepb.DispatchState, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := e.lanes.lane(s.target.Address).Enquire(ctx, &lanepb.EnquireRequest{DispatchId: s.dispatchID, BootId: s.bootID})
	if err != nil {
		return 0, errors.WithStack(&UnreachableError{Cause: err})
	}
	return response.GetState(), nil
}

// release returns an unused slot in the background.
func (e *Entry) release(s slot) {
	e.runDetached(func(ctx context.Context) {
		_, _ = e.revoke(ctx, s)
	})
}

// cancel stops a running dispatch in the background.
func (e *Entry) cancel(s slot) {
	e.runDetached(func(ctx context.Context) {
		request := &lanepb.CancelRequest{DispatchId: s.dispatchID, BootId: s.bootID}
		_, _ = e.lanes.lane(s.target.Address).Cancel(ctx, request)
	})
}

// runDetached runs fn in the background with controlTimeout, independent of the request's context.
// Drain waits for it.
func (e *Entry) runDetached(fn func(ctx context.Context)) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		fn(ctx)
	}()
}

func newDispatchID() string { return uuid.NewString() }
