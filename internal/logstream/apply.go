package logstream

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// applyRecords applies consecutive records. It returns *GapError for a record that doesn't
// follow the current state; the records before it have been applied then.
func (c *Client) applyRecords(records []platform.Record) error {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	for _, record := range records {
		if err := c.applyRecord(record.Offset, record.Data); err != nil {
			return err
		}
	}
	return c.applyPending()
}

// applyOwnRecord applies a record appended by this process once all earlier records are applied.
func (c *Client) applyOwnRecord(offset uint64, data []byte) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.pending[offset] = data
	if err := c.applyPending(); err != nil {
		c.options.Logger.Error().Err(err).Msg("applying own record failed")
	}
}

// applyPending applies the pending records that follow the current state. The caller holds applyMu.
func (c *Client) applyPending() error {
	for {
		offset := c.Offset()
		data, ok := c.pending[offset+1]
		if !ok {
			c.dropPending(offset)
			return nil
		}
		if err := c.applyRecord(offset+1, data); err != nil {
			return err
		}
	}
}

func (c *Client) dropPending(applied uint64) {
	for offset := range c.pending {
		if offset <= applied {
			delete(c.pending, offset)
		}
	}
}

// applyRecord applies a record unless it was already applied. It returns *GapError if earlier
// records are missing. The caller holds applyMu.
func (c *Client) applyRecord(offset uint64, data []byte) error {
	state := c.holder.Current()
	if offset <= state.GetOffset() {
		return nil
	}
	if offset != state.GetOffset()+1 {
		return &GapError{Have: state.GetOffset(), Got: offset}
	}
	record := c.decode(offset, data)
	next, entry := config.Apply(state, offset, record)
	c.recent.add(&lanepb.LogRecord{Offset: offset, Data: recordForPeers(record, data)})
	c.trackRecord(next, record)
	c.holder.Set(next)
	c.logDecision(entry)
	return nil
}

// recordForPeers returns the data of a record that is kept for peers. The state in a snapshot is
// omitted, since applying a snapshot record ignores it.
func recordForPeers(record *configpb.Record, data []byte) []byte {
	base := record.GetSnapshot().GetState().GetOffset()
	if record.GetSnapshot() == nil {
		return data
	}
	trimmed, err := proto.Marshal(&configpb.Record{
		Author:         record.GetAuthor(),
		AppendedUnixMs: record.GetAppendedUnixMs(),
		Body:           &configpb.Record_Snapshot{Snapshot: &configpb.Snapshot{State: &configpb.State{Offset: base}}},
	})
	if err != nil {
		return data
	}
	return trimmed
}

// decode decodes a record. Data that can't be decoded yields an empty record, so that all
// processes ignore it in the same way.
func (c *Client) decode(offset uint64, data []byte) *configpb.Record {
	record := &configpb.Record{}
	if err := proto.Unmarshal(data, record); err != nil {
		c.options.Logger.Error().Err(err).Uint64("offset", offset).Msg("record can't be decoded; ignored")
		return &configpb.Record{}
	}
	return record
}

// replaceState replaces the current state by a newer one and reports whether it did.
func (c *Client) replaceState(state *configpb.State) bool {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if state.GetOffset() <= c.Offset() {
		return false
	}
	c.recent.clear()
	now := time.Now()
	for name, lease := range state.GetLeases() {
		c.trackRenewal(now, name, lease)
	}
	c.holder.Set(state)
	return true
}

func (c *Client) trackRecord(next *configpb.State, record *configpb.Record) {
	now := time.Now()
	if lease := record.GetLease(); lease != nil {
		c.trackRenewal(now, lease.GetName(), next.GetLeases()[lease.GetName()])
	}
	if snapshot := record.GetSnapshot(); snapshot != nil {
		c.snapshot.update(next.GetOffset(), snapshot.GetState().GetOffset(), record.GetAppendedUnixMs(), now)
	}
}

func (c *Client) logDecision(entry *configpb.AuditEntry) {
	if entry == nil {
		return
	}
	c.options.Logger.Debug().
		Uint64("offset", entry.GetOffset()).
		Str("operator", entry.GetOperator()).
		Str("entity", entry.GetEntity()).
		Str("action", entry.GetAction()).
		Stringer("result", entry.GetResult()).
		Msg("configuration record applied")
}

// updateLogBounds stores the first and next offsets reported by the log.
func (c *Client) updateLogBounds(result platform.ReadResult) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.firstOffset = max(c.firstOffset, result.First)
	c.nextOffset = max(c.nextOffset, result.Next)
	c.adaptSnapshotInterval(time.Now())
}
