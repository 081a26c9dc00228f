package entry

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// evidenceRecorder is an EvidenceSink that stores all observations.
type evidenceRecorder struct {
	mu           sync.Mutex
	observations []health.Observation
}

func (o *evidenceRecorder) Observe(observation health.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observations = append(o.observations, observation)
}

// observeChat runs one streamed chat completion and returns its observations. The caller starts to
// read after readAfter and cancels after leaveAfter.
func observeChat(t *testing.T, lane *fakeLane, leaveAfter, readAfter time.Duration) []health.Observation {
	sink := &evidenceRecorder{}
	cell := newTestCell(t, func(o *Options) { o.Evidence = sink }, lane)
	ctx, cancel := context.WithTimeout(t.Context(), leaveAfter)
	defer cancel()
	response, err := cell.client.Do(cell.request(t, "POST", chatPath, streamBody).WithContext(ctx))
	if err == nil {
		time.Sleep(readAfter)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	time.Sleep(10 * time.Minute)
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return sink.observations
}

func TestDispatchEvidence(t *testing.T) {
	whole := answerFrames(200, "text/event-stream", "data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n")
	long := answerFrames(200, "text/event-stream", append(slices.Repeat([]string{"data: 1\n\n"}, interTokenChunks), "data: [DONE]\n\n")...)
	cut := append(whole[:2:2], faultFrame(lanepb.Outcome_OUTCOME_FAILED, 0))
	tests := []struct {
		name   string
		frames []*lanepb.Frame
		gap    time.Duration
		leave  time.Duration
		read   time.Duration
		want   []health.Observation
	}{
		{name: "whole", frames: whole, gap: time.Second, leave: time.Hour,
			want: []health.Observation{{Partial: true, FirstToken: 2 * time.Second}, {InterToken: time.Second}}},
		{name: "long", frames: long, gap: 100 * time.Millisecond, leave: time.Hour,
			want: []health.Observation{{Partial: true, FirstToken: 200 * time.Millisecond}, {Partial: true, InterToken: 100 * time.Millisecond}, {}}},
		{name: "cut", frames: cut, gap: time.Second, leave: time.Hour,
			want: []health.Observation{{Partial: true, FirstToken: 2 * time.Second}, {Failed: true, BadAnswer: true}}},
		{name: "hangs until the deadline", frames: whole, gap: time.Minute, leave: time.Hour,
			want: []health.Observation{{Partial: true, FirstToken: firstTokenOverdue}, {Failed: true}}},
		{name: "caller reads late", frames: whole, gap: 10 * time.Millisecond, leave: time.Hour, read: 5 * time.Second,
			want: []health.Observation{{Partial: true, FirstToken: 20 * time.Millisecond}, {}}},
		{name: "caller never reads", frames: whole, gap: 10 * time.Millisecond, leave: time.Hour, read: 30 * time.Second,
			want: []health.Observation{{Partial: true, FirstToken: 20 * time.Millisecond}}},
		{name: "caller leaves", frames: whole, gap: time.Minute, leave: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				lane := newFakeLane("e1", test.frames...)
				lane.frameInterval = test.gap
				got := observeChat(t, lane, test.leave, test.read)
				for i := range test.want {
					test.want[i].Pool, test.want[i].Version, test.want[i].Route = "model", "v1", "pegs"
				}
				qt.Assert(t, got, qt.DeepEquals, test.want)
			})
		})
	}
}
