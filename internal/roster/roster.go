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

	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/feed"
	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// period is the mean time between two rounds of exchanges in a small roster. It is short
	// compared to the window of account limits.
	period = 150 * time.Millisecond
	// callTimeout bounds one exchange.
	callTimeout = 400 * time.Millisecond
	// maxCallsPerRound bounds the number of entries called in one round.
	maxCallsPerRound = 4
	// smallRosterSize is the number of other entries up to which every pair exchanges in every
	// round and entries relay reports of others. In a larger roster entries report only
	// themselves, and the period is largeRosterPeriods times as long, which bounds the load on
	// small machines and links.
	smallRosterSize    = 6
	largeRosterPeriods = 2
	// minAliveTimeout is the shortest time without a report after which an entry counts as dead.
	minAliveTimeout = 1500 * time.Millisecond
	// aliveRounds is the same timeout as a multiple of the time needed to call all entries once.
	aliveRounds = 2
	// knownTimeout is how long after its last report an entry still counts as a known entry, of
	// which a majority must be alive.
	knownTimeout = 20 * time.Second
	// maxRelayAge is the largest age of another entry's report that is still relayed.
	maxRelayAge = time.Second
	// maxVerificationAge is the time since the configuration was last verified as the newest
	// after which every other entry is called, in order to find a newer one.
	maxVerificationAge = time.Second
	// unresponsivePeriod is the time between two calls to an entry that doesn't respond.
	unresponsivePeriod = 2 * time.Second
	// maxMessageBytes bounds the size of a message.
	maxMessageBytes = 4 << 20
	// messageReadTimeout bounds the time for receiving a message.
	messageReadTimeout = 5 * time.Second
	// maxMembers bounds the entries that are learned from messages.
	maxMembers = 4096
)

// Configuration is the current configuration of this entry, as served to other entries.
type Configuration struct {
	Version int64
	// Raw is the configuration in its encoded form; nil if there is none.
	Raw []byte
	// VerifiedAt is when the configuration was last verified as the newest (steady clock).
	VerifiedAt time.Time
}

// Rollouts exchanges roll-out reports between entries. *rollout.Controller implements it.
type Rollouts interface {
	Reports() []rollout.Report
	HandleReports(id, boot string, reports []rollout.Report, at time.Time)
}

// Options configures a Roster. All fields except Rollouts, Poison, Backpressure, Feeds and MaxBufferedBytes
// are required.
type Options struct {
	ID      string
	Address string
	BootID  string
	Client  *http.Client
	Pool    *limit.Pool
	// Configuration returns the current configuration.
	Configuration func() Configuration
	// OnNewerConfiguration receives a newer configuration fetched from another entry.
	OnNewerConfiguration func(raw []byte)
	// OnVerified receives a time at which a version was verified as the newest.
	OnVerified func(version int64, at time.Time)
	// Rollouts may be nil.
	Rollouts Rollouts
	// Poison may be nil.
	Poison *poison.Tracker
	// Backpressure may be nil.
	Backpressure *backpressure.Tracker
	// Feeds are the topics of the store that entries pass on to each other.
	Feeds []*feed.Feed
	// MaxBufferedBytes limits the total size of the messages that are being received. 0 means the default of
	// membudget.
	MaxBufferedBytes int64
	Logger           zerolog.Logger
}

// member is the state kept for another entry.
type member struct {
	id      string
	address string
	bootID  string
	// uptime is the entry's uptime at reportedAt.
	uptime     time.Duration
	reportedAt time.Time
	lastCalled time.Time
	calling    bool
	// failed is set if the last call failed.
	failed   bool
	accounts map[string]limit.Use
	rollouts []rollout.Report
}

// Roster exchanges state with the other entries. It is safe for concurrent use.
type Roster struct {
	options   Options
	startedAt time.Time
	// messages bounds the memory of messages that are being received.
	messages *membudget.Budget

	mu      sync.Mutex
	members map[string]*member
	// transfers holds the topics of which records are being fetched, and configurationTopic.
	transfers map[string]bool
	// behindSince is when another entry first had a newer configuration than behindVersion.
	behindSince   time.Time
	behindVersion int64
	// listed is set once any entry, possibly this one, is known from the store or from another entry.
	listed bool
}

// New returns a Roster without other entries.
func New(options Options) *Roster {
	return &Roster{
		options: options, startedAt: time.Now(), messages: membudget.New(options.MaxBufferedBytes),
		members: map[string]*member{}, transfers: map[string]bool{},
	}
}

// AddEntry adds a registered entry or updates its address. The limits of client accounts take it into
// account at once.
func (r *Roster) AddEntry(id, address string) {
	r.mu.Lock()
	r.addMember(id, address)
	r.mu.Unlock()
	r.updatePool(time.Now())
}

// updatePool tells the pool the number of live entries. It does nothing until any entry is listed, so
// that this one doesn't take itself for the only one.
func (r *Roster) updatePool(now time.Time) {
	r.mu.Lock()
	listed := r.listed
	r.mu.Unlock()
	if listed {
		r.options.Pool.SetEntries(r.count(now))
	}
}

// addMember adds or updates an entry. It returns nil for this entry. The caller holds r.mu.
func (r *Roster) addMember(id, address string) *member {
	r.listed = true
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

// AliveEntries returns the number of live entries including this one.
func (r *Roster) AliveEntries() int {
	n, _ := r.count(time.Now())
	return n
}

// Alive returns the number of live entries including this one, and whether they are a majority of the
// known entries.
func (r *Roster) Alive() (alive int, hasQuorum bool) { return r.count(time.Now()) }

// count returns the number of live entries including this one, and whether they are a majority
// of the known entries.
func (r *Roster) count(now time.Time) (alive int, hasQuorum bool) {
	total := 1
	r.mu.Lock()
	defer r.mu.Unlock()
	alive = 1
	timeout := r.aliveTimeout()
	for _, m := range r.members {
		// A registered entry counts as alive until a call to it fails.
		untried := m.reportedAt.IsZero() && !m.failed
		if untried || now.Sub(m.reportedAt) < timeout {
			alive++
		}
		if untried || now.Sub(m.reportedAt) < knownTimeout {
			total++
		}
	}
	return alive, 2*alive > total
}

// aliveTimeout returns how long an entry counts as alive after its last report.
func (r *Roster) aliveTimeout() time.Duration {
	if len(r.members) <= smallRosterSize {
		return minAliveTimeout
	}
	return max(minAliveTimeout, time.Duration(aliveRounds*len(r.members)/maxCallsPerRound)*largeRosterPeriods*period)
}

// Run exchanges state with the other entries until ctx is done.
func (r *Roster) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(r.nextInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case now := <-timer.C:
			r.updatePool(now)
			for _, m := range r.selectPeers(now) {
				go r.call(ctx, m)
			}
		}
	}
}

// nextInterval returns the time to the next round, with jitter so that entries that start at the
// same time don't call in lockstep.
func (r *Roster) nextInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean := period
	if len(r.members) > smallRosterSize {
		mean *= largeRosterPeriods
	}
	return time.Duration((0.8 + 0.4*rand.Float64()) * float64(mean))
}

// selectPeers returns the entries to call in this round and marks them as being called. In a
// small roster only the entry with the lower id of a pair calls, unless there has been no report of
// the other one for three periods or the configuration needs verification.
func (r *Roster) selectPeers(now time.Time) []*member {
	needsVerification := steady.Since(r.options.Configuration().VerifiedAt) > maxVerificationAge
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*member
	for _, m := range r.members {
		silence := now.Sub(m.reportedAt)
		switch {
		case m.calling:
		case silence > r.aliveTimeout() && now.Sub(m.lastCalled) < unresponsivePeriod:
		case needsVerification, r.options.ID < m.id, silence > 3*period, len(r.members) > smallRosterSize:
			due = append(due, m)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].reportedAt.Before(due[j].reportedAt) })
	due = due[:min(len(due), maxCallsPerRound)]
	for _, m := range due {
		m.calling, m.lastCalled = true, now
	}
	return due
}

func (r *Roster) call(ctx context.Context, m *member) {
	sentAt, sentSteady := time.Now(), steady.Now()
	address := r.addressOf(m)
	reply, err := r.exchange(ctx, m.id, address)
	r.mu.Lock()
	m.calling = false
	changed := m.failed != (err != nil)
	m.failed = err != nil
	r.mu.Unlock()
	switch {
	case !changed || ctx.Err() != nil:
	case err != nil:
		r.options.Logger.Info().Str("dependency", "entry").Str("peer", m.id).Err(err).Msg("dependency lost")
	default:
		r.options.Logger.Info().Str("dependency", "entry").Str("peer", m.id).Msg("dependency regained")
	}
	if err != nil {
		return
	}
	r.mergeMessage(reply, sentAt)
	r.handlePoison(reply, sentSteady)
	r.options.Backpressure.HandleReport(reply.Backpressure, sentSteady)
	r.receiveFeeds(ctx, address, reply.Feeds, sentSteady)
	current := r.options.Configuration()
	switch {
	case reply.Version > current.Version:
		r.fetchConfiguration(ctx, address, current.Version, reply.Version)
	case reply.Version == current.Version && reply.VerifiedAgeMS >= 0:
		// The reply was created after sentSteady, so the resulting time is never too late.
		r.options.OnVerified(reply.Version, sentSteady.Add(-milliseconds(reply.VerifiedAgeMS)))
	}
}

// handlePoison takes over what another entry knows of prompts. Its first message names all that it knows but for what
// doesn't fit.
func (r *Roster) handlePoison(msg *message, at time.Time) {
	r.options.Poison.HandleReport(msg.ID, msg.Poison, at)
	if msg.KnowsPoison {
		r.options.Poison.MarkKnown()
	}
}

// addressOf returns the address of an entry under the lock, as other calls may update it.
func (r *Roster) addressOf(m *member) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return m.address
}

func (r *Roster) exchange(ctx context.Context, peer, address string) (*message, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(r.newMessage(peer))
	if err != nil {
		return nil, errors.Wrap(err, "encoding roster message")
	}
	data, err := r.send(ctx, http.MethodPost, address, PathExchange, body)
	if err != nil {
		return nil, err
	}
	var reply message
	return &reply, errors.Wrap(json.Unmarshal(data, &reply), "decoding roster message")
}

func (r *Roster) send(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "creating roster request")
	}
	response, err := r.options.Client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "sending roster request")
	}
	defer response.Body.Close()
	data, err := bounded.ReadAll(response.Body, maxMessageBytes)
	if err != nil {
		return nil, errors.Wrap(err, "reading roster response")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&StatusError{Status: response.StatusCode})
	}
	return data, nil
}

// StatusError reports that another entry responded with an unexpected HTTP status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return "entry returned status " + http.StatusText(e.Status) }

// newMessage returns the message that this entry sends to another one.
func (r *Roster) newMessage(peer string) message {
	now := time.Now()
	configuration := r.options.Configuration()
	msg := message{
		ID: r.options.ID, Address: r.options.Address, BootID: r.options.BootID,
		Version: configuration.Version, VerifiedAgeMS: -1, Poison: r.options.Poison.Report(peer), KnowsPoison: r.options.Poison.Known(), Backpressure: r.options.Backpressure.Report(),
		Reports: []entryReport{{
			ID: r.options.ID, Address: r.options.Address, BootID: r.options.BootID,
			UptimeMS: now.Sub(r.startedAt).Milliseconds(), Accounts: r.options.Pool.Report(now),
		}},
	}
	if !configuration.VerifiedAt.IsZero() {
		msg.VerifiedAgeMS = steady.Since(configuration.VerifiedAt).Milliseconds() + 1
	}
	if r.options.Rollouts != nil {
		msg.Reports[0].Rollouts = r.options.Rollouts.Reports()
	}
	if len(r.options.Feeds) > 0 {
		msg.Feeds = map[string]feed.State{}
		for _, f := range r.options.Feeds {
			msg.Feeds[f.Topic()] = f.State()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.members) > smallRosterSize {
		return msg
	}
	for _, m := range r.members {
		if age := now.Sub(m.reportedAt); age < maxRelayAge {
			msg.Reports = append(msg.Reports, entryReport{ID: m.id, Address: m.address, BootID: m.bootID, UptimeMS: m.uptime.Milliseconds(), AgeMS: age.Milliseconds(), Accounts: m.accounts, Rollouts: m.rollouts})
		}
	}
	return msg
}

// mergeMessage merges the reports in a message and forwards newer ones to Rollouts.
func (r *Roster) mergeMessage(msg *message, now time.Time) {
	newer := r.mergeReports(msg, now)
	if r.options.Rollouts == nil {
		return
	}
	// Called without r.mu: HandleReports may call Membership while it holds a lock of its own.
	for _, report := range newer {
		r.options.Rollouts.HandleReports(report.ID, report.BootID, report.Rollouts, now.Add(-milliseconds(report.AgeMS)))
	}
}

// mergeReports updates the members and returns the reports that are newer than the stored ones.
func (r *Roster) mergeReports(msg *message, now time.Time) []entryReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newer []entryReport
	for _, report := range msg.Reports {
		reportedAt := now.Add(-milliseconds(report.AgeMS))
		m := r.members[report.ID]
		if report.ID == r.options.ID || (m != nil && !reportedAt.After(m.reportedAt)) || (m == nil && len(r.members) >= maxMembers) {
			continue
		}
		m = r.addMember(report.ID, report.Address)
		m.reportedAt, m.bootID, m.uptime, m.accounts, m.rollouts = reportedAt, report.BootID, milliseconds(report.UptimeMS), report.Accounts, report.Rollouts
		r.options.Pool.ApplyPeerUse(report.ID, report.BootID, reportedAt.Add(-milliseconds(report.UptimeMS)), report.Accounts, reportedAt)
		newer = append(newer, report)
	}
	return newer
}

// Register mounts the endpoints for other entries on a mux.
func (r *Roster) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathExchange, r.serveExchange)
	mux.HandleFunc("GET "+PathConfiguration, r.serveConfiguration)
	mux.HandleFunc("GET "+PathFeed, r.serveFeed)
}

func (r *Roster) serveExchange(w http.ResponseWriter, request *http.Request) {
	// An error means that the connection has no deadlines or is closed, which the read reports.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(messageReadTimeout))
	memory := r.messages.NewReservation()
	defer memory.Release()
	data, err := memory.ReadAll(request.Body, request.ContentLength, maxMessageBytes)
	if err != nil {
		http.Error(w, "the message can't be read: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	var msg message
	if err := json.Unmarshal(data, &msg); err != nil {
		http.Error(w, "the message can't be decoded: "+err.Error(), http.StatusBadRequest)
		return
	}
	r.mergeMessage(&msg, time.Now())
	r.handlePoison(&msg, steady.Now())
	r.options.Backpressure.HandleReport(msg.Backpressure, steady.Now())
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.newMessage(msg.ID)); err != nil {
		r.options.Logger.Debug().Str("peer", msg.ID).Err(err).Msg("sending the exchange response failed")
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
		r.options.Logger.Debug().Err(err).Msg("sending the configuration failed")
	}
}
