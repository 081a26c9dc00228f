package keeper

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/rendezvous"
)

const (
	// PathRecord is the endpoint of the processes that hold a record for others.
	PathRecord = "/lane/v1/prompt-evidence"
	// savedCopies is the number of processes that a record is saved at. More are asked for it, as others may have been
	// chosen when it was saved.
	savedCopies = 3
	askedPeers  = 8
	// peerTimeout bounds one call to a process.
	peerTimeout = 250 * time.Millisecond
	// maxTransferBytes bounds a record on its way, and maxHolderBytes the memory of all that a holder is receiving.
	maxTransferBytes = 256 << 10
	maxHolderBytes   = 4 << 20
	// receiveTimeout bounds the time for receiving a record.
	receiveTimeout = 5 * time.Second
)

// Holder holds the evidence of other processes in memory. It is an http.Handler for PathRecord.
type Holder struct {
	tracker *poison.Tracker
	memory  *membudget.Budget
	logger  zerolog.Logger
}

// NewHolder returns a Holder without evidence. now returns the time on a clock that counts suspension.
func NewHolder(now func() time.Time, logger zerolog.Logger) *Holder {
	return &Holder{tracker: poison.New(poison.Options{Now: now, Logger: logger}), memory: membudget.New(maxHolderBytes), logger: logger}
}

// Register mounts the endpoint on a mux.
func (h *Holder) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathRecord, h.serveRecord)
	mux.HandleFunc("POST "+PathRecord, h.serveSave)
}

func (h *Holder) serveRecord(w http.ResponseWriter, _ *http.Request) {
	record, err := h.tracker.Record(time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(record); err != nil {
		h.logger.Debug().Err(err).Msg("sending the evidence about prompts failed")
	}
}

func (h *Holder) serveSave(w http.ResponseWriter, r *http.Request) {
	// An error means that the connection has no deadlines or is closed, which the read reports.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(receiveTimeout))
	memory := h.memory.NewReservation()
	defer memory.Release()
	data, err := memory.ReadAll(r.Body, r.ContentLength, maxTransferBytes)
	if err != nil {
		http.Error(w, "the record can't be read: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	if _, err := h.tracker.Restore(data, time.Time{}); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Peers is a Log of which several processes hold copies. Each merges what it gets, so that nothing is in conflict.
type Peers struct {
	Client *http.Client
	// Addresses returns the addresses of all processes that are holders.
	Addresses func() []string
	// URL returns the URL of a process.
	URL func(address string) string
}

// UnreachableError reports that no holder could be reached.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string { return "no holder can be reached: " + e.Cause.Error() }

// Unwrap returns the cause of one of them.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports that a holder responded with an unexpected HTTP status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return "holder returned status " + http.StatusText(e.Status) }

// Load implements Log. It returns *UnreachableError.
func (p *Peers) Load(ctx context.Context) ([]Copy, Position, error) {
	copies, err := p.callAll(ctx, p.chosen(askedPeers), http.MethodGet, nil)
	return copies, Position{}, err
}

// Save implements Log. It returns *UnreachableError.
func (p *Peers) Save(ctx context.Context, record []byte, _ Position) error {
	_, err := p.callAll(ctx, p.chosen(savedCopies), http.MethodPost, record)
	return err
}

// chosen returns the addresses of up to n holders, the same ones in all processes that know the same holders.
func (p *Peers) chosen(n int) []string {
	const key = "evidence about prompts"
	addresses := p.Addresses()
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Score(key, b, 1), rendezvous.Score(key, a, 1)), cmp.Compare(a, b))
	})
	addresses = slices.Compact(addresses)
	return addresses[:min(len(addresses), n)]
}

// callAll calls some holders at the same time, and returns the responses of those that could be reached.
func (p *Peers) callAll(ctx context.Context, addresses []string, method string, body []byte) ([]Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var (
		mu        sync.Mutex
		calls     sync.WaitGroup
		responses []Copy
		lastErr   error
	)
	for i, address := range addresses {
		calls.Go(func() {
			data, err := p.call(ctx, address, method, body)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			responses = append(responses, Copy{Record: data, Outdated: i >= savedCopies})
		})
	}
	calls.Wait()
	if len(responses) == 0 && lastErr != nil {
		return nil, errors.WithStack(&UnreachableError{Cause: lastErr})
	}
	return responses, nil
}

func (p *Peers) call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, p.URL(address)+PathRecord, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request to a holder")
	}
	response, err := p.Client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call of a holder")
	}
	defer response.Body.Close()
	data, err := bounded.ReadAll(response.Body, maxTransferBytes)
	if err != nil {
		return nil, errors.Wrap(err, "response of a holder")
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		return nil, errors.WithStack(&StatusError{Status: response.StatusCode})
	}
	return data, nil
}
