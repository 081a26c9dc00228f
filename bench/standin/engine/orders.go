package engine

import (
	"bytes"
	"net/http"
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/control"
	"github.com/lagoonlane/lagoonlane/bench/standin/weightstore"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// loadReport is the load of the engine at a point in time.
type loadReport struct {
	at   time.Time
	load platform.EngineLoad
}

// recordLoad appends the current load to the reports and drops those that have been
// superseded for longer than ReportLag. The caller holds e.mu.
func (e *Engine) recordLoad() {
	load := platform.EngineLoad{
		Running: len(e.running), Waiting: len(e.waiting),
		CacheUsedTokens: e.cache.lru.Len() * BlockTokens, Versions: slices.Clone(e.versions),
	}
	for _, c := range e.running {
		load.BatchTokens += c.promptTokens + c.outputTokens
	}
	now := time.Now()
	e.reports = append(e.reports, loadReport{at: now, load: load})
	cutoff := now.Add(-e.options.ReportLag)
	for len(e.reports) > 1 && !e.reports[1].at.After(cutoff) {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, e.Load())
}

// Load returns the newest load report that is at least ReportLag old.
func (e *Engine) Load() platform.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-e.options.ReportLag)
	latest := loadReport{at: cutoff, load: platform.EngineLoad{Versions: slices.Clone(e.options.Versions)}}
	for _, candidate := range e.reports {
		if candidate.at.After(cutoff) {
			break
		}
		latest = candidate
	}
	latest.load.AgeMS = e.options.ReportLag.Milliseconds()
	return latest.load
}

// fencingConflict is the response to an order whose fencing number is below the
// highest one received.
type fencingConflict struct {
	Given   uint64 `json:"given"`
	Highest uint64 `json:"highest"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order platform.Order
	if err := control.ReadJSON(r, &order); err != nil {
		control.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.CheckFencing && order.Fencing < e.highestFencing {
		control.WriteJSON(w, http.StatusConflict, fencingConflict{Given: order.Fencing, Highest: e.highestFencing})
		return
	}
	e.highestFencing = max(e.highestFencing, order.Fencing)
	status, exists := e.orderStatuses[order.ID]
	if !exists {
		status = e.startOrder(order)
	}
	control.WriteJSON(w, http.StatusOK, status)
}

// startOrder executes an order, or starts the load that it requests, and returns
// its status. The caller holds e.mu.
func (e *Engine) startOrder(order platform.Order) platform.OrderStatus {
	status := platform.OrderStatus{State: platform.OrderDone}
	loaded := slices.Contains(e.versions, order.Version)
	switch {
	case order.Kind == platform.OrderUnload:
		e.versions = slices.DeleteFunc(e.versions, func(v string) bool { return v == order.Version })
		e.recordLoad()
	case order.Kind != platform.OrderLoad:
		status = platform.OrderStatus{State: platform.OrderFailed, Detail: "unknown kind of order"}
	case loaded:
	case len(e.versions) >= e.options.MaxVersions:
		status = platform.OrderStatus{State: platform.OrderFailed, Detail: "no memory for another version"}
	case e.options.WeightStoreURL == "":
		e.versions = append(e.versions, order.Version)
		e.recordLoad()
	default:
		status.State = platform.OrderInProgress
		e.loads.Go(func() { e.loadVersion(order) })
	}
	e.orderStatuses[order.ID] = status
	return status
}

// loadVersion fetches the weights for an order and adds its version to the loaded ones.
func (e *Engine) loadVersion(order platform.Order) {
	err := e.fetchWeights(order)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.orderStatuses[order.ID] = platform.OrderStatus{State: platform.OrderFailed, Detail: err.Error()}
		return
	}
	if !slices.Contains(e.versions, order.Version) {
		e.versions = append(e.versions, order.Version)
	}
	e.orderStatuses[order.ID] = platform.OrderStatus{State: platform.OrderDone}
	e.recordLoad()
}

func (e *Engine) fetchWeights(order platform.Order) error {
	body := mustJSON(weightstore.FetchRequest{Artifact: order.Artifact, Reader: e.options.ID})
	req, err := http.NewRequestWithContext(
		e.ctx, http.MethodPost, e.options.WeightStoreURL+"/v1/fetch", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := e.options.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &platform.ProtocolError{Service: "weight store", Status: resp.StatusCode}
	}
	return nil
}
