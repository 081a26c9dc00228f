package roster

import (
	"context"
	"net/http"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// transferTimeout bounds the transfer of a configuration or of records. A large configuration takes 0.2 s
	// on the slowest link if nothing else does.
	transferTimeout = 1500 * time.Millisecond
	// fetchDelay is how long an entry waits for the store's copy of a newer configuration before it fetches that
	// of another entry.
	fetchDelay = time.Second
	// configurationTopic is the key of a transfer of the configuration in Roster.transfers.
	configurationTopic = ""
)

// beginTransfer reports whether a transfer of a topic may begin: one at a time, so that transfers neither slow each
// other down nor bring the same records twice.
func (r *Roster) beginTransfer(topic string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transfers[topic] {
		return false
	}
	r.transfers[topic] = true
	return true
}

func (r *Roster) endTransfer(topic string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.transfers, topic)
}

// fetchConfiguration fetches the newer configuration of another entry and passes it to OnNewerConfiguration, unless
// the store may still bring it in time.
func (r *Roster) fetchConfiguration(ctx context.Context, address string, current, newer int64) {
	if !r.needsFetch(current) || !r.beginTransfer(configurationTopic) {
		return
	}
	defer r.endTransfer(configurationTopic)
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	began := steady.Now()
	raw, err := r.send(ctx, http.MethodGet, address, PathConfiguration, nil)
	if err != nil {
		r.options.Logger.Info().Str("peer", address).Int64("configuration", current).Int64("newer", newer).Dur("took_ms", steady.Since(began)).Err(err).
			Msg("fetching the configuration of another entry failed")
		return
	}
	r.options.OnNewerConfiguration(raw)
}

// needsFetch reports whether a newer configuration is to be fetched from another entry: there is none yet, the
// store can't be read, or it has not brought the newer one within fetchDelay.
func (r *Roster) needsFetch(current int64) bool {
	for _, f := range r.options.Feeds {
		if f.StoreLost() {
			return true
		}
	}
	now := steady.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behindVersion != current || r.behindSince.IsZero() {
		r.behindVersion, r.behindSince = current, now
	}
	return current == 0 || now.Sub(r.behindSince) >= fetchDelay
}
