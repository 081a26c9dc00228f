package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

// maxReplyBytes bounds an answer that is held whole before the caller gets it.
const maxReplyBytes = 8 << 20

// sendResult is what one send showed.
type sendResult struct {
	verdict    verdict
	err        error
	firstEvent time.Duration
	events     int
	load       ServerLoad
	hasLoad    bool
}

// reply is an answer of a backend server that is held whole.
type reply struct {
	status int
	header http.Header
	body   []byte
	info   AnswerInfo
}

// passable reports whether a caller may get a failure as the backend server gave it.
// The statuses that promise that a request has not run are the system's to give.
func (r *reply) passable() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return r.info.Stamped
}

// AnswerError says why an answer of a backend server is not passed on.
type AnswerError struct {
	Status  int
	Problem string
	// Cause is why its end was not read; may be nil.
	Cause error
}

func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer with status %d: %s", e.Status, e.Problem)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Cause }

// exchange sends a request and relays its answer.
func (g *Gateway) exchange(ctx context.Context, one *call, p *progress, at *placement) sendResult {
	request := &upstream.Request{
		ID:     one.info.ID,
		Method: one.method,
		Target: one.target,
		Host:   one.host,
		Body:   one.body,
		Header: g.options.Codec.EncodeDispatch(one.header, Dispatch{
			Remaining:   steady.Until(one.deadline),
			ServerID:    at.server.ID,
			Account:     one.accountName(),
			LastEventID: p.relay.resumeFrom(),
		}),
	}
	p.sends++
	if p.sends == 1 {
		g.retries.first(one.service, steady.Now())
	}
	sent := time.Now()
	ctx, stall := g.watchStall(ctx, one, p)
	defer func() { p.next = stall.stop() }()
	answer, err := g.options.Upstream.Do(ctx, at.server.ID, at.server.Address, request)
	var unsent *upstream.NotSentError
	if errors.As(err, &unsent) {
		p.sends--
		return sendResult{verdict: verdictUnsent, err: err}
	}
	if err != nil {
		return sendResult{verdict: verdictFailed, err: err}
	}
	info := g.options.Codec.DecodeAnswer(answer.Header)
	defer func() {
		if err := answer.Close(info.KeepAlive); err != nil {
			g.logger.Info().Str("request_id", one.info.ID).Str("backend_server", at.server.ID).
				Func(g.describeBad(one, err)).Msg("bytes after an answer; the connection is closed")
		}
	}()
	result := g.judge(one, p, answer, info, sent, stall)
	result.load, result.hasLoad = info.Load, info.HasLoad
	return result
}

// judge decides what an answer means, and relays a good one.
func (g *Gateway) judge(one *call, p *progress, answer *upstream.Answer, info AnswerInfo, sent time.Time, stall *stallWatch) sendResult {
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return g.discard(answer, verdictReplaced, "another backend server has the address")
	case info.NotRun:
		return g.discard(answer, verdictRejected, "not run")
	case success && (!info.Stamped || info.Encoded || info.RequestID != one.info.ID):
		return g.discard(answer, verdictFailed, "not the backend server's own answer to this request")
	case success && one.stream():
		return g.relayEvents(one, p, answer, sent, stall)
	}
	body, err := readAnswer(one, answer)
	if err != nil {
		return sendResult{verdict: verdictFailed, err: errors.Wrap(err, "answer's body")}
	}
	held := &reply{status: answer.Status, header: answer.Header, body: body, info: info}
	if !success {
		p.reply = held
		if p.relay.started {
			return sendResult{verdict: verdictFailed, err: &AnswerError{Status: answer.Status, Problem: "a resumed stream failed"}}
		}
		if answer.Status < http.StatusInternalServerError && held.passable() {
			// The request itself is at fault: another backend server would say the same.
			if err := p.relay.whole(held); err != nil {
				return sendResult{verdict: verdictFailed, err: err}
			}
			p.status = held.status
			return sendResult{verdict: verdictAnswered}
		}
		return sendResult{verdict: verdictFailed, err: &AnswerError{Status: answer.Status, Problem: "the backend server failed"}}
	}
	first := time.Since(sent)
	if err := p.relay.whole(held); err != nil {
		// The backend server did its part; the caller has left.
		return sendResult{verdict: verdictFailed, err: err, firstEvent: first}
	}
	p.status = held.status
	return sendResult{verdict: verdictAnswered, firstEvent: first}
}

// discard reads an answer that isn't passed on, if it is short, so that its connection
// can be kept.
func (g *Gateway) discard(answer *upstream.Answer, v verdict, why string) sendResult {
	return sendResult{verdict: v, err: &AnswerError{Status: answer.Status, Problem: why, Cause: answer.Drain()}}
}

// readAnswer reads the body of an answer that is held whole.
func readAnswer(one *call, answer *upstream.Answer) ([]byte, error) {
	body, err := one.hold.ReadAll(answer, answer.Length, maxReplyBytes)
	var large *bounded.TooLargeError
	if errors.As(err, &large) {
		return nil, errors.WithStack(&upstream.ExcessError{Kind: upstream.ExcessBody, Read: answer.BytesRead(), Limit: large.Limit})
	}
	return body, err
}

// relayEvents passes the events of a stream on as they come.
func (g *Gateway) relayEvents(one *call, p *progress, answer *upstream.Answer, sent time.Time, stall *stallWatch) sendResult {
	result := sendResult{verdict: verdictFailed}
	p.relay.open(answer.Status, answer.Header)
	events := newEventReader(answer, one.hold)
	limit := one.maxEvents()
	last := time.Time{}
	for read := 1; ; read++ {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil && limit > 0 && max(read, p.relay.events+1) > limit && !event.empty {
			p.overrun = true
			err = errors.WithStack(&upstream.ExcessError{Kind: upstream.ExcessEvents, Read: int64(read), Limit: int64(limit)})
		}
		if err != nil {
			result.err = err
			return result
		}
		news, err := p.relay.inOrder(event)
		if news == newsFresh {
			stall.progress()
			now := time.Now()
			if result.events++; result.firstEvent == 0 {
				result.firstEvent = now.Sub(sent)
				p.flight.ObserveFirstEvent(result.firstEvent)
			} else {
				p.longestPause = max(p.longestPause, now.Sub(last))
			}
			last = now
		}
		if err == nil && news != newsNone {
			err = p.relay.event(event, events.buffered() > 0)
		}
		if err != nil {
			result.err = err
			return result
		}
	}
	if err := p.relay.finish(); err != nil {
		result.err = err
		return result
	}
	p.status = answer.Status
	result.verdict = verdictAnswered
	return result
}
