package cell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
)

// Port numbers of the parts of a cell; the address tells the parts of a kind apart.
const (
	enginePort  = 8000
	servicePort = 8001
)

// failureVisibilityLag is how long after its death an engine is still listed to the baselines.
const failureVisibilityLag = 3 * time.Second

// Options of a cell.
type Options struct {
	// Speeds of the engines.
	Speeds []float64
	// ReportLag is the age of the engines' load reports.
	ReportLag time.Duration
	// MaxBatch of each engine.
	MaxBatch int
	// TokensPerEvent of each engine. More of them make a run cheaper.
	TokensPerEvent int
	// CheckFencing makes the engines check fencing numbers.
	CheckFencing bool
	// Version is loaded at the start.
	Version string
}

// EngineNode is an engine of a cell.
type EngineNode struct {
	*engine.Engine
	ID         string
	Address    string
	Speed      float64
	Generation string
	stop       context.CancelFunc
	done       chan struct{}

	mu       sync.Mutex
	killedAt time.Time
}

// Cell is the set of engines of a deployment on a network.
type Cell struct {
	Options Options
	Network *Network
	Engines []*EngineNode

	mu      sync.Mutex
	records map[string][]engine.Record
	servers []*networkServer
}

// Start starts the engines of a cell.
func Start(options Options) (*Cell, error) {
	c := &Cell{Options: options, Network: NewNetwork(), records: map[string][]engine.Record{}}
	index := engine.NewPrefixIndex()
	for i, speed := range options.Speeds {
		if err := c.startEngine(i, speed, index); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func (c *Cell) startEngine(i int, speed float64, index *engine.PrefixIndex) error {
	node := &EngineNode{
		ID: fmt.Sprintf("engine-%d", i+1), Address: fmt.Sprintf("10.0.1.%d:%d", i+1, enginePort),
		Speed: speed, Generation: fmt.Sprintf("g%g", speed), done: make(chan struct{}),
	}
	node.Engine = engine.New(engine.Options{
		ID: node.ID, Speed: speed, Versions: []string{c.Options.Version}, MaxBatch: c.Options.MaxBatch,
		ReportLag: c.Options.ReportLag, CheckFencing: c.Options.CheckFencing,
		TokensPerEvent: c.Options.TokensPerEvent, Index: index, Observe: c.record,
	})
	if err := c.serve(node.Address, &http.Server{Handler: node.Engine}); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	node.stop = stop
	go func() {
		defer close(node.done)
		node.Run(ctx)
	}()
	c.Engines = append(c.Engines, node)
	return nil
}

// Kill ends an engine and refuses its connections from then on.
func (c *Cell) Kill(node *EngineNode) {
	c.Network.Cut(node.Address)
	node.stop()
	<-node.done
	node.mu.Lock()
	defer node.mu.Unlock()
	node.killedAt = time.Now()
}

// failureVisible reports whether the instance list shows the engine's death, by its lag.
func (e *EngineNode) failureVisible() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.killedAt.IsZero() && time.Since(e.killedAt) > failureVisibilityLag
}

func (c *Cell) record(record engine.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[record.User] = append(c.records[record.User], record)
}

// Records returns the engines' work by request id.
func (c *Cell) Records() map[string][]engine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records
}

// Client returns a client on the network of the cell.
func (c *Cell) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.Network.Dial}}
}

// Close ends the engines and all that was served, and waits for it.
func (c *Cell) Close() {
	for _, node := range c.Engines {
		node.stop()
		<-node.done
	}
	for _, server := range c.servers {
		server.close()
	}
}

// networkServer is a server on the network.
type networkServer struct {
	server *http.Server
	done   chan struct{}
}

func (c *Cell) serve(address string, server *http.Server) error {
	listener, err := c.Network.Listen(address)
	if err != nil {
		return err
	}
	registered := &networkServer{server: server, done: make(chan struct{})}
	go registered.run(listener)
	c.servers = append(c.servers, registered)
	return nil
}

func (n *networkServer) run(listener net.Listener) {
	defer close(n.done)
	// Serve ends by close, which is no failure.
	_ = n.server.Serve(listener)
}

func (n *networkServer) close() {
	// A server whose connections are closed can't fail to close.
	_ = n.server.Close()
	<-n.done
}
