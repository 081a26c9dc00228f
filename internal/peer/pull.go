package peer

import (
	"context"

	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// puller pulls records from the process at one address.
type puller struct{ client lanepb.Peer }

// Pull implements logstream.Puller.
func (p puller) Pull(ctx context.Context, request *lanepb.PullRequest) (*lanepb.PullResponse, error) {
	return p.client.Pull(ctx, request)
}

// Pullers returns a Puller for each neighbour.
func (n *Node) Pullers() []logstream.Puller {
	var pullers []logstream.Puller
	for address := range n.neighbours() {
		pullers = append(pullers, puller{lanepb.NewPeerProtobufClient(n.options.PeerURL(address), n.options.Client)})
	}
	return pullers
}
