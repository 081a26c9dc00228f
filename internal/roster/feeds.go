package roster

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/feed"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// readers is the number of entries that read the store in a large roster: more than one, so that
	// the loss of a reader delays nothing.
	readers = 4
	// minEntriesWithFollowers is the number of entries from which on the others don't read the store.
	minEntriesWithFollowers = 2 * readers
	// maxPassedBytes is the size of the largest record that entries fetch from each other. Larger ones are read
	// from the store, whose link is faster than those of entries.
	maxPassedBytes = 16 << 10
)

// HasFollowers reports whether the roster is so large that some entries don't read the store.
func (r *Roster) HasFollowers() bool { return r.Membership().Entries > minEntriesWithFollowers }

// IsReader reports whether this entry reads the store for others: those with the lowest ids do. In a
// small roster all entries do.
func (r *Roster) IsReader() bool {
	membership := r.Membership()
	return membership.Entries <= minEntriesWithFollowers || membership.Rank < readers
}

// receiveFeeds takes over what another entry knows of the store, as of askedAt on the clock that counts
// suspension, and obtains the records that this one lacks.
func (r *Roster) receiveFeeds(ctx context.Context, address string, states map[string]feed.State, askedAt time.Time) {
	for _, f := range r.options.Feeds {
		state, ok := states[f.Topic()]
		if !ok {
			continue
		}
		from, lacks := f.Lacks(state)
		switch {
		case !lacks:
			f.ReceiveState(state, askedAt)
		case state.Bytes > maxPassedBytes && f.RequestRead():
		default:
			r.receivePage(ctx, address, f, from, askedAt)
		}
	}
}

// receivePage fetches the records of a topic from an offset on from another entry.
func (r *Roster) receivePage(ctx context.Context, address string, f *feed.Feed, from uint64, askedAt time.Time) {
	if !r.beginTransfer(f.Topic()) {
		return
	}
	defer r.endTransfer(f.Topic())
	page, err := r.fetchFeed(ctx, address, f.Topic(), from)
	if err != nil {
		r.options.Logger.Info().Str("peer", address).Str("topic", f.Topic()).Uint64("offset", from).Dur("took_ms", steady.Since(askedAt)).Err(err).Msg("fetching records of another entry failed")
		return
	}
	f.ReceivePage(page, askedAt)
	r.options.Logger.Info().Str("peer", address).Str("topic", f.Topic()).Uint64("offset", from).Int("records", len(page.Records)).Int("largest_bytes", page.State.Bytes).
		Uint64("end", page.State.End).Int64("age_ms", page.State.AgeMS).Dur("took_ms", steady.Since(askedAt)).Str("outcome", "received").Msg("records of another entry")
}

func (r *Roster) fetchFeed(ctx context.Context, address, topic string, from uint64) (feed.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	query := url.Values{"topic": {topic}, "from": {strconv.FormatUint(from, 10)}}
	data, err := r.send(ctx, http.MethodGet, address, PathFeed+"?"+query.Encode(), nil)
	if err != nil {
		return feed.Page{}, err
	}
	var page feed.Page
	return page, errors.Wrap(json.Unmarshal(data, &page), "decoding a page of records")
}

func (r *Roster) serveFeed(w http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	for _, f := range r.options.Feeds {
		if f.Topic() != request.URL.Query().Get("topic") {
			continue
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(f.Since(from)); err != nil {
			r.options.Logger.Debug().Err(err).Msg("sending records failed")
		}
		return
	}
	http.Error(w, "no such topic", http.StatusNotFound)
}
