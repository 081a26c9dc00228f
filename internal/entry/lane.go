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
	// controlTimeout bounds a call that has to be answered without waiting.
	controlTimeout = 2 * time.Second
)

// laneClients holds one twirp client for each sidecar.
type laneClients struct {
	client *http.Client
	url    func(address string) string

	mu    sync.Mutex
	lanes map[string]lanepb.Lane
}

func newLaneClients(client *http.Client, url func(string) string) *laneClients {
	return &laneClients{client: client, url: url, lanes: map[string]lanepb.Lane{}}
}

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

// retain drops the clients of sidecars that are no longer listed.
func (l *laneClients) retain(listed map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address := range l.lanes {
		if !listed[address] {
			delete(l.lanes, address)
		}
	}
}

// slot is a granted dispatch slot, or one that is asked for.
type slot struct {
	target     routing.Target
	dispatchID string
	bootID     string
}

// reserve asks for a dispatch slot and waits for it. It fails with
// *RefusedError or *UnreachableError; in either case nothing was dispatched.
func (e *Entry) reserve(ctx context.Context, one *call, version string, s slot) (slot, error) {
	request := &lanepb.ReserveRequest{
		DispatchId:    s.dispatchID,
		RequestId:     one.id,
		BackendServer: s.target.BackendServer,
		BootId:        s.bootID,
		Account:       one.account.GetName(),
		AccountWeight: max(one.account.GetWeight(), 1),
		Tier:          one.tier.GetName(),
		TierRank:      one.tier.GetRank(),
		BudgetMs:      budgetMS(one.deadline),
		Route:         one.route.GetName(),
		Version:       version,
		PromptTokens:  one.promptTokens,
		OutputTokens:  one.outputTokens,
		Prefixes:      one.prefixes(version),
		Idempotent:    one.idempotent,
		ConfigOffset:  one.state.GetOffset(),
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	e.reservations.add(s, cancel)
	defer e.reservations.remove(s)
	response, err := e.lanes.lane(s.target.Address).Reserve(waiting, request)
	e.table.Settle(s.target.BackendServer, s.dispatchID)
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

// budgetMS returns the time left until a deadline, at least 1 ms.
func budgetMS(deadline time.Time) uint32 {
	return uint32(max(time.Until(deadline).Milliseconds(), 1))
}

// prefixes returns the hashes of the call's prompt for a version.
func (c *call) prefixes(version string) []uint64 {
	return prefix.Scoped(c.route.GetPool()+"/"+version, c.prefixHashes)
}

// dispatch hands the body over under a grant and returns the frames of the answer.
func (e *Entry) dispatch(ctx context.Context, one *call, s slot) (io.ReadCloser, error) {
	var header bytes.Buffer
	err := frame.WriteHeader(&header, &lanepb.DispatchHeader{
		DispatchId:    s.dispatchID,
		BootId:        s.bootID,
		BackendServer: s.target.BackendServer,
		Method:        one.method,
		Path:          one.path,
		Headers:       one.headers,
		Stream:        one.stream,
	})
	if err != nil {
		return nil, err
	}
	size := int64(header.Len() + len(one.body))
	body := opaqueReader{io.MultiReader(&header, bytes.NewReader(one.body))}
	return e.lanes.post(ctx, s.target.Address+dispatchPath, body, size)
}

// opaqueReader hides the type of a reader, so that the HTTP client can't send a
// body a second time.
type opaqueReader struct{ io.Reader }

// resume asks for the frames of an answer from a sequence number on.
func (e *Entry) resume(ctx context.Context, s slot, from uint64) (io.ReadCloser, error) {
	body, err := proto.Marshal(&lanepb.ResumeRequest{
		DispatchId:    s.dispatchID,
		BootId:        s.bootID,
		FromSequence:  from,
		BackendServer: s.target.BackendServer,
	})
	if err != nil {
		return nil, errors.Wrap(err, "resume request")
	}
	return e.lanes.post(ctx, s.target.Address+resumePath, bytes.NewReader(body), int64(len(body)))
}

// post sends a request whose answer is a stream. Closing the stream ends the call.
func (l *laneClients) post(ctx context.Context, path string, body io.Reader, size int64) (io.ReadCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url(path), body)
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

type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the call.
func (b *cancelingBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// revoke bars a dispatch, unless it was handed over already.
func (e *Entry) revoke(ctx context.Context, s slot) (lanepb.DispatchState, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := e.lanes.lane(s.target.Address).Revoke(ctx, &lanepb.RevokeRequest{DispatchId: s.dispatchID, BootId: s.bootID})
	if err != nil {
		return 0, errors.WithStack(&UnreachableError{Cause: err})
	}
	return response.GetState(), nil
}

// enquire asks for the state of a dispatch and changes nothing.
func (e *Entry) enquire(ctx context.Context, s slot) (lanepb.DispatchState, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := e.lanes.lane(s.target.Address).Enquire(ctx, &lanepb.EnquireRequest{DispatchId: s.dispatchID, BootId: s.bootID})
	if err != nil {
		return 0, errors.WithStack(&UnreachableError{Cause: err})
	}
	return response.GetState(), nil
}

// release gives a slot back that will not be used, without waiting for it.
func (e *Entry) release(s slot) {
	e.runDetached(func(ctx context.Context) {
		_, _ = e.revoke(ctx, s)
	})
}

// cancel stops a running dispatch, without waiting for it.
func (e *Entry) cancel(s slot) {
	e.runDetached(func(ctx context.Context) {
		request := &lanepb.CancelRequest{DispatchId: s.dispatchID, BootId: s.bootID}
		_, _ = e.lanes.lane(s.target.Address).Cancel(ctx, request)
	})
}

// runDetached runs a short call that outlives its request. Drain waits for it.
func (e *Entry) runDetached(do func(ctx context.Context)) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		do(ctx)
	}()
}

func newDispatchID() string { return uuid.NewString() }
