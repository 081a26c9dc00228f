package logstream

import (
	"context"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Puller pulls records of the configuration stream from one peer. Twirp clients of lanepb.Peer
// implement it.
type Puller interface {
	Pull(ctx context.Context, request *lanepb.PullRequest) (*lanepb.PullResponse, error)
}
