package platform

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const logService = "append-only log"

// HTTPLog is the HTTP client of the append-only log. It implements Log.
type HTTPLog struct {
	base   string
	client *http.Client
	sender sender
}

// NewHTTPLog returns a client of the log at the URL base.
func NewHTTPLog(base string, client *http.Client) *HTTPLog {
	return &HTTPLog{base: base, client: client, sender: newSender(client)}
}

func (l *HTTPLog) recordsURL(stream string) string {
	return l.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	req, err := newRequest(logService, func() (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodPost, l.recordsURL(stream), bytes.NewReader(data))
	})
	if err != nil {
		return 0, err
	}
	resp, err := l.sender.send(req)
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return 0, errors.WithStack(&UnavailableError{Service: logService, Cause: err})
	}
	if err != nil {
		return 0, errors.WithStack(&AppendUnknownError{Stream: stream, Cause: err})
	}
	defer resp.Body.Close()
	return appendResult(stream, resp)
}

// appendResult decodes the response to an append. The log guarantees that the record was not
// appended if the status is 503 or any 4xx, such as 429.
func appendResult(stream string, resp *http.Response) (uint64, error) {
	switch {
	case resp.StatusCode == http.StatusOK:
		var answer appendAnswer
		if err := decodeJSON(logService, resp, maxAnswerBytes, &answer); err != nil {
			return 0, errors.WithStack(&AppendUnknownError{Stream: stream, Cause: err})
		}
		if answer.Offset == 0 {
			cause := &ProtocolError{Service: logService, Status: resp.StatusCode, Detail: "offset 0"}
			return 0, errors.WithStack(&AppendUnknownError{Stream: stream, Cause: cause})
		}
		return answer.Offset, nil
	case resp.StatusCode == http.StatusServiceUnavailable,
		resp.StatusCode >= 400 && resp.StatusCode < 500:
		return 0, errors.WithStack(&UnavailableError{Service: logService, Cause: protocolError(logService, resp)})
	}
	return 0, errors.WithStack(&AppendUnknownError{Stream: stream, Cause: protocolError(logService, resp)})
}

type readAnswer struct {
	Records []readRecord `json:"records"`
	First   uint64       `json:"first"`
	Next    uint64       `json:"next"`
}

type readRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Read implements Log.
func (l *HTTPLog) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (ReadResult, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := newRequest(logService, func() (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, l.recordsURL(stream)+"?"+query.Encode(), nil)
	})
	if err != nil {
		return ReadResult{}, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return ReadResult{}, errors.WithStack(&UnavailableError{Service: logService, Cause: err})
	}
	defer resp.Body.Close()
	return readResult(stream, from, resp)
}

func readResult(stream string, from uint64, resp *http.Response) (ReadResult, error) {
	var answer readAnswer
	switch {
	case resp.StatusCode == http.StatusOK:
		if err := decodeJSON(logService, resp, maxAnswerBytes, &answer); err != nil {
			return ReadResult{}, err
		}
		return convertRecords(from, answer)
	case resp.StatusCode == http.StatusGone:
		if err := decodeJSON(logService, resp, maxAnswerBytes, &answer); err != nil {
			return ReadResult{}, err
		}
		return ReadResult{}, errors.WithStack(&TruncatedError{Stream: stream, From: from, First: answer.First})
	case resp.StatusCode >= http.StatusInternalServerError, resp.StatusCode == http.StatusTooManyRequests:
		return ReadResult{}, errors.WithStack(&UnavailableError{Service: logService, Cause: protocolError(logService, resp)})
	}
	return ReadResult{}, protocolError(logService, resp)
}

// convertRecords converts the records of a response. It returns *ProtocolError if they are out of
// order or have gaps.
func convertRecords(from uint64, answer readAnswer) (ReadResult, error) {
	result := ReadResult{First: answer.First, Next: answer.Next}
	for i, record := range answer.Records {
		if record.Offset != from+uint64(i) {
			detail := "record " + strconv.FormatUint(record.Offset, 10) + " is out of order"
			return ReadResult{}, errors.WithStack(&ProtocolError{
				Service: logService, Status: http.StatusOK, Detail: detail,
			})
		}
		result.Records = append(result.Records, Record(record))
	}
	return result, nil
}
