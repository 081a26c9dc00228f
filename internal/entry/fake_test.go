package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

const (
	testPeerKey = "key of the processes in tests"
	testKey     = "key-of-the-depot"
)

// fakeLane is a sidecar whose replies the test configures.
type fakeLane struct {
	lanepb.Lane
	id string

	mu sync.Mutex
	// refusal is the response to Reserve; nil means a grant.
	refusal *lanepb.Refusal
	// frames are the answer to a dispatch. If breakAfter is positive, the connection is closed
	// after that number of frames.
	frames     []*lanepb.Frame
	breakAfter int
	// dispatchFrames, if set, answers the dispatch in place of frames.
	dispatchFrames []*lanepb.Frame
	// framesFor, if set, returns the answer to a dispatch with a body.
	framesFor     func(body string) []*lanepb.Frame
	frameInterval time.Duration
	barred        map[string]bool
	dispatched    map[string]int
	bodies        []string
	headers       []*lanepb.DispatchHeader
	reserves      []*lanepb.ReserveRequest
	canceled      []string
	resumes       int
	// blockReserve, if set, blocks Reserve until it is closed.
	blockReserve chan struct{}
	// sentBytes counts the bytes of the chunks that were written.
	sentBytes atomic.Int64
}

func newFakeLane(id string, frames ...*lanepb.Frame) *fakeLane {
	return &fakeLane{id: id, frames: frames, barred: map[string]bool{}, dispatched: map[string]int{}}
}

func (f *fakeLane) load() *lanepb.Load {
	return &lanepb.Load{BackendServer: f.id, BootId: "boot-" + f.id, Versions: []string{"v1", "v2"}, Sequence: uint64(time.Now().UnixNano())}
}

func (f *fakeLane) Reserve(ctx context.Context, r *lanepb.ReserveRequest) (*lanepb.ReserveResponse, error) {
	if f.blockReserve != nil {
		select {
		case <-f.blockReserve:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserves = append(f.reserves, r)
	if f.refusal != nil {
		return &lanepb.ReserveResponse{Result: &lanepb.ReserveResponse_Refusal{Refusal: f.refusal}, Load: f.load()}, nil
	}
	grant := &lanepb.Grant{DispatchId: r.GetDispatchId(), BootId: "boot-" + f.id, ValidMs: 2000}
	return &lanepb.ReserveResponse{Result: &lanepb.ReserveResponse_Grant{Grant: grant}, Load: f.load()}, nil
}

func (f *fakeLane) Revoke(_ context.Context, r *lanepb.RevokeRequest) (*lanepb.RevokeResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dispatched[r.GetDispatchId()] > 0 {
		return &lanepb.RevokeResponse{State: lanepb.DispatchState_DISPATCH_STATE_FINISHED}, nil
	}
	f.barred[r.GetDispatchId()] = true
	return &lanepb.RevokeResponse{State: lanepb.DispatchState_DISPATCH_STATE_BARRED}, nil
}

func (f *fakeLane) Cancel(_ context.Context, r *lanepb.CancelRequest) (*lanepb.CancelResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceled = append(f.canceled, r.GetDispatchId())
	return &lanepb.CancelResponse{}, nil
}

func (f *fakeLane) Loads(context.Context, *lanepb.LoadRequest) (*lanepb.LoadResponse, error) {
	return &lanepb.LoadResponse{Loads: []*lanepb.Load{f.load()}}, nil
}

func (f *fakeLane) serveDispatch(w http.ResponseWriter, r *http.Request) {
	reader := bufio.NewReader(r.Body)
	header, err := frame.ReadHeader(reader)
	if err != nil {
		http.Error(w, "bad header", http.StatusBadRequest)
		return
	}
	body, _ := io.ReadAll(reader)
	f.mu.Lock()
	f.headers = append(f.headers, header)
	f.bodies = append(f.bodies, string(body))
	f.dispatched[header.GetDispatchId()]++
	barred, breakAfter := f.barred[header.GetDispatchId()], f.breakAfter
	f.mu.Unlock()
	if barred {
		f.send(w, 0, 1, []*lanepb.Frame{faultFrame(lanepb.Outcome_OUTCOME_NOT_RUN, lanepb.RefusalReason_REFUSAL_REASON_BARRED)})
		return
	}
	if breakAfter > 0 {
		f.send(w, 0, breakAfter, f.frames)
		panic(http.ErrAbortHandler)
	}
	if f.framesFor != nil {
		frames := f.framesFor(string(body))
		f.send(w, 0, len(frames), frames)
		return
	}
	if f.dispatchFrames != nil {
		f.send(w, 0, len(f.dispatchFrames), f.dispatchFrames)
		return
	}
	f.send(w, 0, len(f.frames), f.frames)
}

func (f *fakeLane) serveResume(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	request := &lanepb.ResumeRequest{}
	_ = proto.Unmarshal(body, request)
	f.mu.Lock()
	f.resumes++
	dispatched := f.dispatched[request.GetDispatchId()] > 0
	f.mu.Unlock()
	if !dispatched {
		http.Error(w, "not seen", http.StatusNotFound)
		return
	}
	f.send(w, int(request.GetFromSequence()), len(f.frames), f.frames)
}

func (f *fakeLane) send(w http.ResponseWriter, from, to int, frames []*lanepb.Frame) {
	out := frame.NewWriter(w)
	for _, next := range frames[from:to] {
		time.Sleep(f.frameInterval)
		if out.Write(next) != nil || out.Flush() != nil {
			return
		}
		f.sentBytes.Add(int64(len(next.GetChunk())))
	}
}

func (f *fakeLane) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(lanepb.LanePathPrefix, lanepb.NewLaneServer(f))
	mux.HandleFunc("POST "+dispatchPath, f.serveDispatch)
	mux.HandleFunc("POST "+resumePath, f.serveResume)
	return transport.RequireKey(testPeerKey, mux)
}

// headFrame returns the head frame of an answer.
func headFrame(status uint32, contentType string) *lanepb.Frame {
	headers := []*lanepb.Header{{Name: "Content-Type", Value: contentType}}
	return &lanepb.Frame{Part: &lanepb.Frame_Head{Head: &lanepb.Head{Status: status, Headers: headers}}}
}

// faultFrame returns a fault frame.
func faultFrame(outcome lanepb.Outcome, reason lanepb.RefusalReason) *lanepb.Frame {
	return &lanepb.Frame{Part: &lanepb.Frame_Fault{Fault: &lanepb.Fault{Outcome: outcome, Reason: reason, Detail: "injected by the test"}}}
}

// answerFrames returns the frames of a complete answer with one chunk per part.
func answerFrames(status uint32, contentType string, parts ...string) []*lanepb.Frame {
	frames := []*lanepb.Frame{headFrame(status, contentType)}
	total := 0
	for _, part := range parts {
		total += len(part)
		frames = append(frames, &lanepb.Frame{Part: &lanepb.Frame_Chunk{Chunk: []byte(part)}})
	}
	end := &lanepb.End{TotalFrames: uint64(len(parts) + 2), TotalBytes: uint64(total)}
	frames = append(frames, &lanepb.Frame{Part: &lanepb.Frame_End{End: end}})
	for i, f := range frames {
		f.Sequence = uint64(i)
	}
	return frames
}

// testState returns a configuration with an engine route, a service route, one account and two
// tiers.
func testState() *configpb.State {
	hash := sha256.Sum256([]byte(testKey))
	return &configpb.State{
		Offset: 7,
		Tiers: map[string]*configpb.Tier{
			"field":  {Name: "field", Rank: 0, DefaultTimeoutMs: 10_000},
			"report": {Name: "report", Rank: 2, DefaultTimeoutMs: 20_000},
		},
		Accounts: map[string]*configpb.ClientAccount{
			"depot": {Name: "depot", Keys: []*configpb.ApiKey{{Id: "k1", Sha256: hash[:]}}, Tiers: []string{"field"}},
		},
		Routes: map[string]*configpb.Route{
			"pegs": {Name: "pegs", Kind: configpb.BackendKind_BACKEND_KIND_ENGINE, Pool: "model", MaxBodyBytes: 4096, MaxTimeoutMs: 30_000,
				Shares: []*configpb.VersionShare{{Version: "v1", ShareBp: 10_000}}},
			"ledger": {Name: "ledger", Kind: configpb.BackendKind_BACKEND_KIND_SERVICE, Pool: "ledger", MaxBodyBytes: 4096, MaxTimeoutMs: 30_000,
				Operations: []*configpb.Operation{{Method: "GET", PathPrefix: "/next-loan", Idempotent: false}}},
		},
		Versions: map[string]*configpb.BackendVersion{
			"model/v1": {Pool: "model", Name: "v1", State: configpb.VersionState_VERSION_STATE_PROVEN},
		},
	}
}

// fixedList is an instance list that does not change.
type fixedList []platform.Instance

func (l fixedList) List(context.Context) ([]platform.Instance, error) { return l, nil }

// testCell is one entry with its public server and its sidecars.
type testCell struct {
	network *testNetwork
	entry   *Entry
	holder  *config.Holder
	client  *http.Client
	lanes   map[string]*testListener
}

// newTestCell starts an entry named "entry" with one sidecar per lane. A lane whose id starts with
// "l" serves a plain service, any other an engine.
func newTestCell(t *testing.T, configure func(*Options), lanes ...*fakeLane) *testCell {
	t.Helper()
	cell := &testCell{network: newTestNetwork(), holder: &config.Holder{}, lanes: map[string]*testListener{}}
	cell.holder.Set(testState())
	var list fixedList
	for _, lane := range lanes {
		address := "sidecar-" + lane.id + ":1"
		cell.lanes[lane.id] = cell.network.listen(address)
		startServer(t, transport.NewInternalServer(lane.handler()), cell.lanes[lane.id])
		backend := platform.BackendServer{ID: lane.id, Kind: "engine", Pool: "model"}
		if lane.id[0] == 'l' {
			backend = platform.BackendServer{ID: lane.id, Kind: "service", Pool: "ledger", Version: "v1"}
		}
		list = append(list, platform.Instance{ID: "i-" + lane.id, Role: platform.RoleSidecar, Address: address,
			State: platform.InstanceLive, BackendServers: []platform.BackendServer{backend}})
	}
	options := Options{ID: "entry", Config: cell.holder, Instances: list, Seed: 1, Logger: zerolog.Nop(),
		Client: transport.NewClient(testPeerKey, cell.network.dial)}
	if configure != nil {
		configure(&options)
	}
	var err error
	cell.entry, err = New(options)
	qt.Assert(t, err, qt.IsNil)
	cell.entry.readInstances(t.Context())
	mux := http.NewServeMux()
	cell.entry.Register(mux)
	startServer(t, transport.NewPublicServer(mux), cell.network.listen("entry:80"))
	cell.client = &http.Client{Transport: &http.Transport{DialContext: cell.network.dial}}
	t.Cleanup(func() {
		cell.client.CloseIdleConnections()
		options.Client.CloseIdleConnections()
	})
	return cell
}

// startServer serves on listener until the test ends.
func startServer(t *testing.T, server *http.Server, listener *testListener) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		listener.closeConns()
		// net/http keeps a connection that it closes early open for another half second.
		time.Sleep(time.Second)
		<-done
	})
}

// request returns a caller's request with the account's key.
func (c *testCell) request(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	var reader io.Reader
	if body != "" {
		reader = &opaqueReader{stringsReader(body)}
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://entry:80"+path, reader)
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	return r
}

// do sends a request and reads the response body.
func (c *testCell) do(t *testing.T, r *http.Request) (*http.Response, string, error) {
	t.Helper()
	response, err := c.client.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}
