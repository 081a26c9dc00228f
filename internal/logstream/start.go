package logstream

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// loadSnapshot replaces the state by the newest usable snapshot in the log, unless the records
// that follow the current state are still retained. It returns *NoSnapshotError if the log
// contains neither a usable snapshot nor its first record.
func (c *Client) loadSnapshot(ctx context.Context) error {
	first, next, err := c.logBounds(ctx)
	if err != nil {
		return err
	}
	if current := c.Offset(); current > 0 && current+1 >= first {
		return nil
	}
	state, err := c.newestSnapshot(ctx, first, next)
	if err != nil {
		return err
	}
	if state != nil {
		c.replaceState(state)
	}
	if c.Offset()+1 < first {
		return errors.WithStack(&NoSnapshotError{First: first})
	}
	return nil
}

// logBounds returns the first offset that the log retains and its next offset.
func (c *Client) logBounds(ctx context.Context) (first, next uint64, err error) {
	from := c.Offset() + 1
	for {
		result, err := c.read(ctx, from, 1, 0)
		if err == nil {
			return result.First, result.Next, nil
		}
		var truncated *platform.TruncatedError
		if !errors.As(err, &truncated) || truncated.First <= from {
			return 0, 0, err
		}
		from = truncated.First
	}
}

// newestSnapshot searches the log backwards for a snapshot whose following records are all
// retained. It returns nil if there is none.
func (c *Client) newestSnapshot(ctx context.Context, first, next uint64) (*configpb.State, error) {
	for end := next; end > first; {
		begin := first
		if end-first > maxReadRecords {
			begin = end - maxReadRecords
		}
		state, err := c.snapshotWithin(ctx, first, begin, end)
		if state != nil || err != nil {
			return state, err
		}
		end = begin
	}
	return nil, nil
}

// snapshotWithin returns the newest usable snapshot of the records in [begin, end).
func (c *Client) snapshotWithin(ctx context.Context, first, begin, end uint64) (*configpb.State, error) {
	var newest *configpb.State
	for from := begin; from < end; {
		result, err := c.read(ctx, from, int(end-from), 0)
		if err != nil {
			return nil, err
		}
		if len(result.Records) == 0 {
			break
		}
		for _, record := range result.Records {
			if state := c.usableSnapshot(record, max(first, result.First)); state != nil {
				newest = state
			}
			from = record.Offset + 1
		}
	}
	return newest, nil
}

// usableSnapshot returns the state of a snapshot record, or nil if the record isn't a snapshot
// or the log doesn't retain all records that follow the state.
func (c *Client) usableSnapshot(record platform.Record, first uint64) *configpb.State {
	decoded := &configpb.Record{}
	if proto.Unmarshal(record.Data, decoded) != nil || decoded.GetSnapshot() == nil {
		return nil
	}
	state := config.FromSnapshot(decoded.GetSnapshot())
	if state.GetOffset()+1 < first || state.GetOffset() >= record.Offset {
		return nil
	}
	return state
}
