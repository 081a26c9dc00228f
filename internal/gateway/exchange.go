package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/eventstream"
	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

// maxReplyBytes limits an answer that is buffered before it is sent to the caller.
const maxReplyBytes = 8 << 20

// sendResult is the result of one send to a backend server.
type sendResult struct {
	verdict    verdict
	err        error
	firstEvent time.Duration
	events     int
	// begun is set once the backend server has survived the beginning of its answer.
	begun   bool
	load    ServerLoad
	hasLoad bool
}

// reply is a buffered answer of a backend server.
type reply struct {
	status int
	header http.Header
	body   []byte
	info   AnswerInfo
}

// forwardable reports whether a failed answer of a backend server may be forwarded to the caller
// unchanged. Statuses that promise that the request has not run may only be issued by the
// gateway, after the request is known not to have run.
func (r *reply) forwardable() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return r.info.Signed
}

// AnswerError reports why an answer of a backend server is not forwarded.
type AnswerError struct {
	Status  int
	Problem string
	// Cause is the error from reading the rest of the answer; may be nil.
	Cause error
}

func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer with status %d: %s", e.Status, e.Problem)
}

// Unwrap returns Cause.
func (e *AnswerError) Unwrap() error { return e.Cause }

// exchange sends a request to a backend server and relays its answer.
func (g *Gateway) exchange(ctx context.Context, call *call, p *callProgress, placed *placement) sendResult {
	request := &upstream.Request{
		ID:     call.info.ID,
		Method: call.method,
		Target: call.target,
		Host:   call.host,
		Body:   call.body,
		Header: g.options.Codec.EncodeDispatch(call.header, Dispatch{
			Remaining:   steady.Until(call.deadline),
			ServerID:    placed.server.ID,
			Account:     call.accountName(),
			LastEventID: p.relay.resumeFrom(),
		}),
	}
	p.sends++
	if !p.counted {
		p.counted = true
		g.retryBudget.countRequest(call.service, steady.Now())
	}
	sent := time.Now()
	ctx, stall := g.watchStall(ctx, call, p)
	defer func() { p.replacement = stall.stop() }()
	answer, err := g.options.Upstream.Do(ctx, placed.server.ID, placed.server.Address, request)
	var unsent *upstream.NotSentError
	if errors.As(err, &unsent) {
		p.sends--
		return sendResult{verdict: verdictUnsent, err: err}
	}
	if err != nil {
		return sendResult{verdict: verdictFailed, err: err}
	}
	info := g.options.Codec.DecodeAnswer(answer.Header)
	g.recordNotice(call, placed, answer, info)
	defer func() {
		if err := answer.Close(info.KeepAlive); err != nil {
			g.logger.Info().Str("request_id", call.info.ID).Str("backend_server", placed.server.ID).
				Func(g.recordBadBytes(call, err)).Msg("unexpected bytes after an answer; closing the connection")
		}
	}()
	result := g.handleAnswer(call, p, answer, info, sent, stall)
	result.load, result.hasLoad = info.Load, info.HasLoad
	return result
}

// handleAnswer classifies an answer, and relays a valid one to the caller.
func (g *Gateway) handleAnswer(call *call, p *callProgress, answer *upstream.Answer, info AnswerInfo, sent time.Time, stall *stallWatch) sendResult {
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case info.RequestID == "" && answer.Reused && (info.NotRun || answer.Status == http.StatusMisdirectedRequest):
		// It may be a copy of an earlier refusal.
		return g.discard(answer, verdictFailed, "a refusal without a request id on a reused connection")
	case answer.Status == http.StatusMisdirectedRequest:
		return g.discard(answer, verdictReplaced, "the address belongs to another backend server")
	case info.NotRun:
		return g.discard(answer, verdictRejected, "rejected without running the request")
	case success && (!info.Signed || info.Encoded || info.RequestID != call.info.ID):
		return g.discard(answer, verdictFailed, "not signed by the backend server, encoded, or for another request")
	case success && p.relay.started && !isEventStream(answer.Header):
		return g.discard(answer, verdictFailed, "no event stream, to resume one")
	case success && call.stream():
		return g.relayEvents(call, p, answer, sent, stall)
	}
	body, err := readAnswer(call, answer)
	if err != nil {
		return sendResult{verdict: verdictFailed, err: errors.Wrap(err, "read the answer's body")}
	}
	answered := &reply{status: answer.Status, header: answer.Header, body: body, info: info}
	if !success {
		p.lastReply = answered
		if p.relay.started {
			return sendResult{verdict: verdictFailed, err: &AnswerError{Status: answer.Status, Problem: "the backend server refused to resume the stream"}}
		}
		if answer.Status < http.StatusInternalServerError && answered.forwardable() {
			// A client error: another backend server would return the same.
			if err := p.relay.writeReply(answered); err != nil {
				return sendResult{verdict: verdictFailed, err: err}
			}
			p.status = answered.status
			return sendResult{verdict: verdictAnswered}
		}
		return sendResult{verdict: verdictFailed, err: &AnswerError{Status: answer.Status, Problem: "error status from the backend server"}}
	}
	firstEvent := time.Since(sent)
	if err := p.relay.writeReply(answered); err != nil {
		// The backend server answered completely, but the caller disconnected.
		return sendResult{verdict: verdictFailed, err: err, firstEvent: firstEvent}
	}
	p.status = answered.status
	return sendResult{verdict: verdictAnswered, firstEvent: firstEvent}
}

// discard drops an answer that isn't forwarded. It drains a short body so that the connection
// can be reused.
func (g *Gateway) discard(answer *upstream.Answer, v verdict, problem string) sendResult {
	return sendResult{verdict: v, err: &AnswerError{Status: answer.Status, Problem: problem, Cause: answer.Drain()}}
}

// readAnswer reads the body of an answer that is buffered.
func readAnswer(call *call, answer *upstream.Answer) ([]byte, error) {
	body, err := call.memory.ReadAll(answer, answer.Length, maxReplyBytes)
	var large *bounded.TooLargeError
	if errors.As(err, &large) {
		return nil, errors.WithStack(&upstream.ExcessError{Kind: upstream.ExcessBody, Read: answer.BytesRead(), Limit: large.Limit})
	}
	return body, err
}

// relayEvents forwards the events of a stream as they arrive.
func (g *Gateway) relayEvents(call *call, p *callProgress, answer *upstream.Answer, sent time.Time, stall *stallWatch) (result sendResult) {
	result = sendResult{verdict: verdictFailed}
	p.relay.holdHead(answer.Status, answer.Header)
	events := newEventReader(answer, call.memory, p.relay.flush)
	defer func() {
		// A stream that breaks off keeps the events before.
		if err := p.relay.flush(); err != nil && result.err == nil {
			result.err = err
		}
	}()
	limit := call.maxEvents()
	last := time.Time{}
	resumed := p.relay.started
	for count := 1; ; count++ {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil && resumed && count == 1 {
			event.data = eventstream.TrimByteOrderMark(event.data)
		}
		if err == nil && resumed && result.events == 0 {
			err = checkResumption(event)
		}
		if err == nil && limit > 0 && max(count, p.relay.events+1) > limit && !event.empty {
			p.tooManyEvents = true
			err = errors.WithStack(&upstream.ExcessError{Kind: upstream.ExcessEvents, Read: int64(count), Limit: int64(limit)})
		}
		if err != nil {
			result.err = err
			return result
		}
		order, err := p.relay.checkOrder(event)
		if order == eventNew {
			stall.recordProgress()
			now := time.Now()
			if result.events++; result.firstEvent == 0 {
				result.firstEvent = now.Sub(sent)
				p.rolloutSend.ObserveFirstEvent(result.firstEvent)
			} else {
				p.longestPause = max(p.longestPause, now.Sub(last))
				if begun := now.Sub(sent) - result.firstEvent; !result.begun && begun >= answerBeginTime {
					result.begun = true
					g.options.Poison.RecordAnswer(call.prompt, begun)
				}
			}
			last = now
		}
		if err == nil && order != eventDuplicate {
			err = p.relay.writeEvent(event)
		}
		if err != nil {
			result.err = err
			return result
		}
	}
	if result.events == 0 && (answer.EndsWithConnection || p.relay.lastEventID == "" && call.info.LastEventID == "") {
		// A stream without a length ends like this when its engine crashes.
		result.err = errors.Wrap(io.ErrUnexpectedEOF, "stream without events")
		return result
	}
	if err := p.relay.finish(); err != nil {
		result.err = err
		return result
	}
	p.status = answer.Status
	result.verdict = verdictAnswered
	if !result.begun {
		result.begun = true
		g.options.Poison.RecordAnswer(call.prompt, time.Since(sent)-result.firstEvent)
	}
	return result
}
