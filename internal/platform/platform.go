// Package platform defines the interfaces to external services and their HTTP clients: the
// append-only log, the instance list, the weight store, model engines and plain services. Each
// adapter maps one interface to one protocol, returns typed errors and makes no decisions.
package platform

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Streams of the append-only log that lagoonlane uses.
const (
	// StreamConfig carries configpb.Record messages.
	StreamConfig = "lagoonlane.config"
	// StreamClaims carries configpb.ClaimBatch messages.
	StreamClaims = "lagoonlane.claims"
)

// Record is one record of a log stream. Offsets start at 1 and have no gaps.
type Record struct {
	Offset uint64
	Data   []byte
}

// ReadResult holds consecutive records of one stream.
type ReadResult struct {
	Records []Record
	// First is the oldest retained offset.
	First uint64
	// Next is the offset of the next append.
	Next uint64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends one record and returns its offset. It returns *UnavailableError if the
	// record was certainly not appended, and *AppendUnknownError if it may have been.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns up to limit records from offset from on. If there are none, it waits up to
	// wait and then returns an empty result. It returns *TruncatedError if offset from is no
	// longer retained.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (ReadResult, error)
}

// Role is the kind of process that a listed instance runs.
type Role string

// Roles in the instance list.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the life-cycle state of a listed instance.
type InstanceState string

// States in the instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// BackendServer describes one backend server of a listed instance.
type BackendServer struct {
	ID string `json:"id"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	Pool string `json:"pool"`
	// Generation is the hardware generation, such as "g2"; empty for a plain service.
	Generation string `json:"generation,omitempty"`
	// Version is the version of a plain service. It is empty for an engine, whose sidecar
	// reports the loaded versions.
	Version string `json:"version,omitempty"`
}

// Instance is one item of the instance list. The list lags behind the actual state.
type Instance struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Address is the ip:port at which the process accepts calls of other lagoonlane processes.
	Address        string          `json:"address"`
	DataCentre     string          `json:"data_centre"`
	State          InstanceState   `json:"state"`
	BackendServers []BackendServer `json:"backend_servers,omitempty"`
}

// Instances is the platform's instance list.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}

// WeightBudget describes the capacity of the weight store.
type WeightBudget struct {
	// BytesPerSecond is the total rate limit of all readers.
	BytesPerSecond uint64 `json:"bytes_per_second"`
	// QueuedBytes is the number of bytes that readers have already requested.
	QueuedBytes uint64 `json:"queued_bytes"`
}

// Artifact is one stored set of weights.
type Artifact struct {
	Name      string `json:"name"`
	SizeBytes uint64 `json:"size_bytes"`
}

// Weights is the weight store. Engines fetch weights from it; lagoonlane only queries it to plan.
type Weights interface {
	Budget(ctx context.Context) (WeightBudget, error)
	// Artifact returns *NotFoundError if no artifact has the name.
	Artifact(ctx context.Context, name string) (Artifact, error)
}

// Call is one request to a backend server.
type Call struct {
	// ID is the dispatch id, which identifies the call for Resume and Cancel.
	ID      string
	Method  string
	Path    string
	Header  http.Header
	Body    io.Reader
	Version string
}

// Answer is the response of a backend server. The caller must close Body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// EngineLoad is an engine's report of its load, which may be outdated.
type EngineLoad struct {
	Running         int      `json:"running"`
	Waiting         int      `json:"waiting"`
	BatchTokens     int      `json:"batch_tokens"`
	CacheUsedTokens int      `json:"cache_used_tokens"`
	Versions        []string `json:"versions"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// OrderKind is the operation that an order requests.
type OrderKind string

// Kinds of orders to engines.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// Order is a request to an engine to load or unload a version.
type Order struct {
	ID       string    `json:"id"`
	Kind     OrderKind `json:"kind"`
	Version  string    `json:"version"`
	Artifact string    `json:"artifact"`
	// Fencing is the fencing number of the lease under which the order is sent. Not every
	// engine checks it.
	Fencing uint64 `json:"fencing"`
}

// OrderState is the progress of an order.
type OrderState string

// States of an order.
const (
	OrderInProgress OrderState = "in-progress"
	OrderDone       OrderState = "done"
	OrderFailed     OrderState = "failed"
)

// OrderStatus is an engine's response to an order.
type OrderStatus struct {
	State  OrderState `json:"state"`
	Detail string     `json:"detail,omitempty"`
}

// Backend is a backend server: a plain service, or an engine as far as it has the same interface.
type Backend interface {
	// Do sends the call. It returns *NotSentError if no byte of the call can have reached the
	// backend server, and *BrokenCallError if some may have.
	Do(ctx context.Context, call Call) (*Answer, error)
}

// Engine is a model engine.
type Engine interface {
	Backend
	// Resume returns the response body of a call from a byte offset on.
	Resume(ctx context.Context, id string, fromByte uint64) (*Answer, error)
	Cancel(ctx context.Context, id string) error
	Load(ctx context.Context) (EngineLoad, error)
	// Order sends an order, or queries the state of an order that was already sent with the same
	// id. It returns *FencedError from engines that check fencing numbers.
	Order(ctx context.Context, order Order) (OrderStatus, error)
}
