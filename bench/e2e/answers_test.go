package e2e

import (
	"net/http"
	"strconv"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/caller"
)

// TestEachCallerGetsItsOwnWholeAnswer runs 200 concurrent callers against two entries. Half of
// their chats are streamed, and each caller also sends a ledger operation.
func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	const callers = 200
	s := newSite(t)
	urls := s.EntryURLs()
	chats := &history{}
	operations := &history{}
	var all sync.WaitGroup
	for i := range callers {
		url := urls[i%len(urls)]
		all.Go(func() {
			id := "caller-" + strconv.Itoa(i)
			chats.add(id, s.client.Chat(t.Context(), caller.Chat{
				URL: url, Model: "assistant", Prompt: "question of " + id, MaxTokens: 1 + i%40,
				Stream: i%4 < 2, Timeout: 4 * operationTimeout,
			}))
			operations.add(id, s.client.Operate(t.Context(), s.operation(url, http.MethodPost, id, "key-"+id)))
		})
	}
	all.Wait()
	s.c.Assert(chats.counts(), qt.DeepEquals, map[caller.Outcome]int{caller.OutcomeWhole: callers}, qt.Commentf("%v", chats.results))
	s.c.Assert(operations.counts(), qt.DeepEquals, map[caller.Outcome]int{caller.OutcomeWhole: callers}, qt.Commentf("%v", operations.results))
	operations.check(s.c, s.runs())
}
