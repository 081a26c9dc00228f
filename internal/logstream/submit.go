package logstream

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// submitTimeout bounds Submit.
const submitTimeout = 10 * time.Second

// Append appends a record and returns its offset. It sets the author and the time of the record.
// An appended record need not take effect: that is decided when it is applied, see WaitFor.
// Append returns *LogUnavailableError if the record was definitely not appended,
// *ResultUnknownError if it may have been, and *EncodeError if it can't be encoded.
func (c *Client) Append(ctx context.Context, record *configpb.Record) (uint64, error) {
	record.Author = c.options.Author
	record.AppendedUnixMs = time.Now().UnixMilli()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		return 0, errors.WithStack(&EncodeError{Cause: err})
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := c.options.Log.Append(ctx, platform.StreamConfig, data)
	c.metrics.recordAppend(ctx, record, err)
	if err != nil {
		return 0, appendError(err, record)
	}
	c.applyOwnRecord(offset, data)
	return offset, nil
}

// appendError converts the error of an append. AppendUnknownError takes precedence, since it may
// be caused by an unavailability that began after the append took effect.
func appendError(err error, record *configpb.Record) error {
	var unknown *platform.AppendUnknownError
	var unavailable *platform.UnavailableError
	if !errors.As(err, &unknown) && errors.As(err, &unavailable) {
		return errors.WithStack(&LogUnavailableError{Cause: err})
	}
	return errors.WithStack(&ResultUnknownError{OperationID: record.GetCommand().GetOperationId(), Cause: err})
}

// Submit appends a command and returns the decision on it, which is the same in every process.
// If the response to the append is lost, Submit reads the log to find out whether the command
// was appended. It appends the command again, with the same operation id, only after reading
// the log to its end without finding it.
//
// Submit returns *ConflictError, *InvalidError or *OperationReusedError if the command had no
// effect and never will, *LogUnavailableError if it was definitely not appended, and
// *ResultUnknownError if ctx was done, or 10 s have passed, before its effect was known.
func (c *Client) Submit(ctx context.Context, command *configpb.Command) (*configpb.AuditEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	var firstErr error
	for {
		offset, err := c.Append(ctx, &configpb.Record{Body: &configpb.Record_Command{Command: command}})
		if err == nil {
			return c.awaitDecision(ctx, command, offset)
		}
		var unavailable *LogUnavailableError
		if errors.As(err, &unavailable) && firstErr == nil {
			return nil, err
		}
		if firstErr == nil {
			firstErr = err
		}
		entry, found := c.findDecision(ctx, command)
		if found {
			return c.checkDecision(command, entry)
		}
		if ctx.Err() != nil {
			return nil, firstErr
		}
	}
}

// findDecision reads the log until it finds the decision on a command. It returns false after
// reading the log to its end without finding one, or when ctx is done.
func (c *Client) findDecision(ctx context.Context, command *configpb.Command) (*configpb.AuditEntry, bool) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := c.catchUp(ctx)
		entry, found := c.holder.Current().GetOperations()[command.GetOperationId()]
		if found {
			return entry, true
		}
		sleep(ctx, delay)
		if err == nil {
			return nil, false
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return nil, false
}

// awaitDecision waits until the record at an offset is applied and returns the decision on it.
func (c *Client) awaitDecision(ctx context.Context, command *configpb.Command, offset uint64) (*configpb.AuditEntry, error) {
	for {
		changed := c.holder.Changed()
		state := c.holder.Current()
		if entry, found := state.GetOperations()[command.GetOperationId()]; found {
			return c.checkDecision(command, entry)
		}
		if state.GetOffset() >= offset {
			return nil, errors.WithStack(&ResultUnknownError{OperationID: command.GetOperationId(), Offset: offset})
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.WithStack(&ResultUnknownError{OperationID: command.GetOperationId(), Offset: offset, Cause: ctx.Err()})
		}
	}
}

// checkDecision returns a typed error for a decision other than acceptance of this command.
func (c *Client) checkDecision(command *configpb.Command, entry *configpb.AuditEntry) (*configpb.AuditEntry, error) {
	entity, action := config.CommandTarget(command)
	operator := cmp.Or(command.GetOperator(), c.options.Author)
	if entry.GetEntity() != entity || entry.GetAction() != action || entry.GetOperator() != operator {
		return nil, errors.WithStack(&OperationReusedError{First: entry})
	}
	switch entry.GetResult() {
	case configpb.AuditResult_AUDIT_RESULT_ACCEPTED:
		return entry, nil
	case configpb.AuditResult_AUDIT_RESULT_CONFLICT:
		winner, _ := config.AuditAt(c.holder.Current(), entry.GetWinnerOffset())
		return entry, errors.WithStack(&ConflictError{Entry: entry, Winner: winner})
	}
	return entry, errors.WithStack(&InvalidError{Entry: entry})
}
