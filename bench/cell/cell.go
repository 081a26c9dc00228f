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

// Ports of backend servers. Servers of the same kind differ in their IP address.
const (
	enginePort  = 8000
	servicePort = 8001
)

// failureVisibilityLag is how long the baseline routers still select an engine after
// it was killed.
const failureVisibilityLag = 3 * time.Second

// Options configure a cell.
type Options struct {
	// Speeds holds the speed of each engine; there are as many engines as elements.
	Speeds []float64
	// ReportLag is the age of the engines' load reports.
	ReportLag time.Duration
	// MaxBatch is the batch size of each engine.
	MaxBatch int
	// TokensPerEvent is the number of tokens in one event of a stream. Larger values
	// make a run cheaper to compute.
	TokensPerEvent int
	// CheckFencing makes the engines reject orders with outdated fencing numbers.
	CheckFencing bool
	// Version is the model version that all engines load at the start.
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

// Cell holds the engines of a deployment, the network, and the servers on it.
type Cell struct {
	Options Options
	Network *Network
	Engines []*EngineNode

	mu      sync.Mutex
	records map[string][]engine.Record
	servers []*networkServer
}

// Start returns a cell with running engines. It returns an error if an address is in
// use.
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
		TokensPerEvent: c.Options.TokensPerEvent, PrefixIndex: index, OnCallEnd: c.record,
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

// Kill stops an engine, closes its connections and refuses new ones.
func (c *Cell) Kill(node *EngineNode) {
	c.Network.Disconnect(node.Address)
	node.stop()
	<-node.done
	node.mu.Lock()
	defer node.mu.Unlock()
	node.killedAt = time.Now()
}

// failureVisible reports whether the engine was killed more than
// failureVisibilityLag ago.
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

// Records returns the engines' records by request id. It must be called after the
// run, because the map isn't copied.
func (c *Cell) Records() map[string][]engine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records
}

// Client returns an HTTP client that connects over the network of the cell.
func (c *Cell) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.Network.Dial}}
}

// Close stops all engines and servers and waits for them.
func (c *Cell) Close() {
	for _, node := range c.Engines {
		node.stop()
		<-node.done
	}
	for _, server := range c.servers {
		server.close()
	}
}

// networkServer is an HTTP server on the cell's network.
type networkServer struct {
	server *http.Server
	done   chan struct{}
}

func (c *Cell) serve(address string, server *http.Server) error {
	listener, err := c.Network.Listen(address)
	if err != nil {
		return err
	}
	srv := &networkServer{server: server, done: make(chan struct{})}
	go srv.run(listener)
	c.servers = append(c.servers, srv)
	return nil
}

func (n *networkServer) run(listener net.Listener) {
	defer close(n.done)
	// Serve returns http.ErrServerClosed after close.
	_ = n.server.Serve(listener)
}

func (n *networkServer) close() {
	// Closing an in-memory listener never fails.
	_ = n.server.Close()
	<-n.done
}
