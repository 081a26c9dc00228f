package roster

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// period is the time between two rounds of exchanges in a small deployment: short
	// against the window of account limits.
	period = 150 * time.Millisecond
	// callTimeout bounds one exchange.
	callTimeout = 400 * time.Millisecond
	// fanout bounds the entries that are called in one round.
	fanout = 4
	// smallRoster is the number of other entries up to which each pair exchanges in every
	// round and tells on what it heard of others. In a larger one each entry tells of itself
	// only, and rounds are rarer, so that small machines and links can bear it.
	smallRoster  = 6
	largePeriods = 2
	// aliveFor is how long an entry counts as alive after it was heard, at least.
	aliveFor = 1500 * time.Millisecond
	// aliveRounds is the same in times that it takes to call all entries once.
	aliveRounds = 2
	// knownFor is how long an entry counts as part of the whole after it was heard.
	knownFor = 20 * time.Second
	// relayFor is how old news of another entry may be to be told on.
	relayFor = time.Second
	// confirmSoon is the age of the configuration's confirmation from which on every
	// other entry is asked for a newer one.
	confirmSoon = time.Second
	// silentPeriod is the time between two calls to an entry that doesn't answer.
	silentPeriod = 2 * time.Second
	// maxMessageBytes bounds a message.
	maxMessageBytes = 4 << 20
)

// Configuration is this entry's configuration as others may take it over.
type Configuration struct {
	Version int64
	// Raw is the configuration as it was read; nil if there is none.
	Raw []byte
	// Confirmed is a moment (steady clock) up to which it was known to be the newest.
	Confirmed time.Time
}

// Rollouts exchanges what entries know of roll-outs. *rollout.Keeper is one.
type Rollouts interface {
	Reports() []rollout.Report
	HandleReports(id, boot string, reports []rollout.Report, at time.Time)
}

// Options configure a Roster. All but Rollouts are required.
type Options struct {
	ID      string
	Address string
	Boot    string
	Client  *http.Client
	Pool    *limit.Pool
	// Configuration returns the configuration in force.
	Configuration func() Configuration
	// Offer takes over a newer configuration of another entry.
	Offer func(raw []byte)
	// Confirm says that a version was known to be the newest one at a moment.
	Confirm func(version int64, at time.Time)
	// Rollouts may be nil.
	Rollouts Rollouts
	Logger   zerolog.Logger
}

// member is what is known of another entry.
type member struct {
	id      string
	address string
	boot    string
	// up is how long it had been running when it was heard.
	up      time.Duration
	heard   time.Time
	called  time.Time
	calling bool
	// lost says that the last call failed.
	lost     bool
	accounts map[string]limit.Use
	rollouts []rollout.Report
}

// Roster exchanges with the other entries. It is safe for concurrent use.
type Roster struct {
	options Options
	began   time.Time

	mu      sync.Mutex
	members map[string]*member
}

// New returns a roster that knows no other entry.
func New(options Options) *Roster {
	return &Roster{options: options, began: time.Now(), members: map[string]*member{}}
}

// Learn adds an entry that registered itself, or its new address.
func (r *Roster) Learn(id, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learn(id, address)
}

func (r *Roster) learn(id, address string) *member {
	if id == r.options.ID {
		return nil
	}
	m := r.members[id]
	if m == nil {
		m = &member{id: id}
		r.members[id] = m
	}
	m.address = address
	return m
}

// Entries returns the number of entries that are alive, this one included.
func (r *Roster) Entries() int {
	n, _ := r.count(time.Now())
	return n
}

// count returns the number of entries that are alive, and whether they are most of
// those known; this one included.
func (r *Roster) count(now time.Time) (alive int, quorate bool) {
	known := 1
	r.mu.Lock()
	defer r.mu.Unlock()
	alive = 1
	within := r.aliveWithin()
	for _, m := range r.members {
		// One that registered itself counts until a call to it fails.
		untried := m.heard.IsZero() && !m.lost
		if untried || now.Sub(m.heard) < within {
			alive++
		}
		if untried || now.Sub(m.heard) < knownFor {
			known++
		}
	}
	return alive, 2*alive > known
}

// aliveWithin returns how long an entry counts as alive after it was heard.
func (r *Roster) aliveWithin() time.Duration {
	if len(r.members) <= smallRoster {
		return aliveFor
	}
	return max(aliveFor, time.Duration(aliveRounds*len(r.members)/fanout)*largePeriods*period)
}

// Run exchanges with the other entries until ctx is done.
func (r *Roster) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(r.pause())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case now := <-timer.C:
			r.options.Pool.SetEntries(r.count(now))
			for _, m := range r.choose(now) {
				go r.call(ctx, m)
			}
		}
	}
}

// pause spreads the rounds, so that entries that start together don't call in step.
func (r *Roster) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean := period
	if len(r.members) > smallRoster {
		mean *= largePeriods
	}
	return time.Duration((0.8 + 0.4*rand.Float64()) * float64(mean))
}

// choose returns the entries to call in this round and marks them. Of each pair the
// one with the lower id calls, unless the other one hasn't been heard for a while.
func (r *Roster) choose(now time.Time) []*member {
	stale := steady.Since(r.options.Configuration().Confirmed) > confirmSoon
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*member
	for _, m := range r.members {
		silent := now.Sub(m.heard)
		switch {
		case m.calling:
		case silent > r.aliveWithin() && now.Sub(m.called) < silentPeriod:
		case stale, r.options.ID < m.id, silent > 3*period, len(r.members) > smallRoster:
			due = append(due, m)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].heard.Before(due[j].heard) })
	due = due[:min(len(due), fanout)]
	for _, m := range due {
		m.calling, m.called = true, now
	}
	return due
}

func (r *Roster) call(ctx context.Context, m *member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked, askedSteady := time.Now(), steady.Now()
	address := r.addressOf(m)
	answer, err := r.exchange(ctx, address)
	r.mu.Lock()
	m.calling = false
	changed := m.lost != (err != nil)
	m.lost = err != nil
	r.mu.Unlock()
	switch {
	case !changed || ctx.Err() == context.Canceled:
	case err != nil:
		r.options.Logger.Info().Str("dependency", "entry").Str("peer", m.id).Err(err).Msg("dependency lost")
	default:
		r.options.Logger.Info().Str("dependency", "entry").Str("peer", m.id).Msg("dependency regained")
	}
	if err != nil {
		return
	}
	r.take(answer, asked)
	mine := r.options.Configuration()
	switch {
	case answer.Version > mine.Version:
		r.fetch(ctx, address)
	case answer.Version == mine.Version && answer.ConfirmedAgeMS >= 0:
		// The answer was made after the call, so this errs on the safe side.
		r.options.Confirm(answer.Version, askedSteady.Add(-milliseconds(answer.ConfirmedAgeMS)))
	}
}

// addressOf returns the address of an entry, which other calls may change meanwhile.
func (r *Roster) addressOf(m *member) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return m.address
}

func (r *Roster) exchange(ctx context.Context, address string) (*message, error) {
	body, err := json.Marshal(r.message())
	if err != nil {
		return nil, errors.Wrap(err, "roster message")
	}
	data, err := r.post(ctx, http.MethodPost, address, PathExchange, body)
	if err != nil {
		return nil, err
	}
	var answer message
	return &answer, errors.Wrap(json.Unmarshal(data, &answer), "roster message")
}

// fetch takes over the newer configuration of another entry.
func (r *Roster) fetch(ctx context.Context, address string) {
	raw, err := r.post(ctx, http.MethodGet, address, PathConfiguration, nil)
	if err != nil {
		r.options.Logger.Info().Str("peer", address).Err(err).Msg("another entry's configuration could not be read")
		return
	}
	r.options.Offer(raw)
}

func (r *Roster) post(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "roster request")
	}
	response, err := r.options.Client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "roster call")
	}
	defer response.Body.Close()
	data, err := bounded.ReadAll(response.Body, maxMessageBytes)
	if err != nil {
		return nil, errors.Wrap(err, "roster answer")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&StatusError{Status: response.StatusCode})
	}
	return data, nil
}

// StatusError says that another entry answered with an unexpected status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return "another entry answered " + http.StatusText(e.Status) }

// message returns what this entry tells the others.
func (r *Roster) message() message {
	now := time.Now()
	configuration := r.options.Configuration()
	told := message{
		ID: r.options.ID, Address: r.options.Address, Boot: r.options.Boot,
		Version: configuration.Version, ConfirmedAgeMS: -1,
		Uses: []entryUse{{
			ID: r.options.ID, Address: r.options.Address, Boot: r.options.Boot,
			UpMS: now.Sub(r.began).Milliseconds(), Accounts: r.options.Pool.Report(now),
		}},
	}
	if !configuration.Confirmed.IsZero() {
		told.ConfirmedAgeMS = steady.Since(configuration.Confirmed).Milliseconds() + 1
	}
	if r.options.Rollouts != nil {
		told.Uses[0].Rollouts = r.options.Rollouts.Reports()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.members) > smallRoster {
		return told
	}
	for _, m := range r.members {
		if age := now.Sub(m.heard); age < relayFor {
			told.Uses = append(told.Uses, entryUse{ID: m.id, Address: m.address, Boot: m.boot, UpMS: m.up.Milliseconds(), AgeMS: age.Milliseconds(), Accounts: m.accounts, Rollouts: m.rollouts})
		}
	}
	return told
}

// take learns from what another entry told.
func (r *Roster) take(told *message, now time.Time) {
	news := r.learnUses(told, now)
	if r.options.Rollouts == nil {
		return
	}
	// Without the lock held: whoever hears this may ask for this entry's standing.
	for _, use := range news {
		r.options.Rollouts.HandleReports(use.ID, use.Boot, use.Rollouts, now.Add(-milliseconds(use.AgeMS)))
	}
}

// learnUses learns of entries and returns what is newer than what was known of them.
func (r *Roster) learnUses(told *message, now time.Time) []entryUse {
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []entryUse
	for _, use := range told.Uses {
		heard := now.Add(-milliseconds(use.AgeMS))
		m := r.members[use.ID]
		if use.ID == r.options.ID || (m != nil && !heard.After(m.heard)) {
			continue
		}
		m = r.learn(use.ID, use.Address)
		m.heard, m.boot, m.up, m.accounts, m.rollouts = heard, use.Boot, milliseconds(use.UpMS), use.Accounts, use.Rollouts
		r.options.Pool.ApplyPeerUse(use.ID, use.Boot, heard.Add(-milliseconds(use.UpMS)), use.Accounts, heard)
		news = append(news, use)
	}
	return news
}

// Register serves the other entries on a mux.
func (r *Roster) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathExchange, r.serveExchange)
	mux.HandleFunc("GET "+PathConfiguration, r.serveConfiguration)
}

func (r *Roster) serveExchange(w http.ResponseWriter, request *http.Request) {
	var told message
	if err := json.NewDecoder(bounded.NewReader(request.Body, maxMessageBytes)).Decode(&told); err != nil {
		http.Error(w, "the message can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	r.take(&told, time.Now())
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.message()); err != nil {
		r.options.Logger.Debug().Str("peer", told.ID).Err(err).Msg("the peer left before the answer")
	}
}

func (r *Roster) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	raw := r.options.Configuration().Raw
	if raw == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(raw); err != nil {
		r.options.Logger.Debug().Err(err).Msg("the peer left before the answer")
	}
}
