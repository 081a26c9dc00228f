package logstream

import (
	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// maxRecentRecords bounds the number of records kept for peers.
	maxRecentRecords = 1024
	// maxRecentBytes bounds their total size.
	maxRecentBytes = 1 << 20
)

// recentRecords are the latest applied records, without gaps.
type recentRecords struct {
	records []*lanepb.LogRecord
	bytes   int
}

func (r *recentRecords) add(record *lanepb.LogRecord) {
	r.records = append(r.records, record)
	r.bytes += len(record.GetData())
	for len(r.records) > maxRecentRecords || r.bytes > maxRecentBytes {
		r.bytes -= len(r.records[0].GetData())
		r.records = r.records[1:]
	}
}

func (r *recentRecords) clear() {
	r.records = nil
	r.bytes = 0
}

// from returns up to limit records from an offset on, and false if they are no longer held.
func (r *recentRecords) from(offset uint64, limit int) ([]*lanepb.LogRecord, bool) {
	if len(r.records) == 0 || offset < r.records[0].GetOffset() {
		return nil, false
	}
	skip := offset - r.records[0].GetOffset()
	if skip >= uint64(len(r.records)) {
		return nil, true
	}
	rest := r.records[skip:]
	return rest[:min(limit, len(rest))], true
}

// Records returns the response to a peer's pull: the records from an offset on, or the whole
// state if those records are no longer held.
func (c *Client) Records(from uint64, limit int) *lanepb.PullResponse {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	state := c.holder.Current()
	response := &lanepb.PullResponse{ConfigOffset: state.GetOffset()}
	if from > state.GetOffset() {
		return response
	}
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	records, ok := c.recent.from(from, limit)
	if ok {
		response.Records = records
		return response
	}
	response.State = config.ToSnapshot(state).GetState()
	return response
}
