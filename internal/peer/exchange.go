package peer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// exchangeWith performs one exchange with a neighbour and merges its response.
func (n *Node) exchangeWith(ctx context.Context, nb *neighbour) {
	callCtx, cancel := context.WithTimeout(ctx, n.options.Timeout)
	defer cancel()
	withAggregates := nb.isParent.Load()
	sentAt := time.Now()
	request := n.newRequest(nb.address, withAggregates)
	response, err := nb.client.Exchange(callCtx, request)
	n.metrics.recordExchange(ctx, proto.Size(request), err == nil)
	if err != nil {
		n.options.Logger.Debug().Err(err).Str("peer", nb.address).Msg("exchange failed")
		return
	}
	n.options.Records.ObservePeerOffset(response.GetConfigOffset())
	n.mergeContainments(response.GetContainments(), nb.address)
	n.mergeFloors(response.GetFloors())
	if withAggregates && response.GetSums() {
		n.mergeAggregates(nb.address, response.GetAccountUse(), response.GetEvidence())
		n.mergePrompts(nb.address, response.GetPrompts(), sentAt)
	}
}

func (n *Node) newRequest(to string, withAggregates bool) *lanepb.ExchangeRequest {
	request := &lanepb.ExchangeRequest{
		From:         n.options.ID,
		Address:      n.options.Address,
		BootId:       n.options.BootID,
		ConfigOffset: n.options.Config.Current().GetOffset(),
		Containments: n.containmentNotices(),
		Floors:       n.floorNotices(),
		Sums:         withAggregates,
	}
	if withAggregates {
		request.AccountUse, request.Evidence = n.outgoingAggregates(to)
		request.Prompts = n.outgoingPrompts(to)
	}
	return request
}

// Exchange implements lanepb.Peer.
func (n *Node) Exchange(_ context.Context, request *lanepb.ExchangeRequest) (*lanepb.ExchangeResponse, error) {
	from := request.GetAddress()
	n.options.Records.ObservePeerOffset(request.GetConfigOffset())
	n.mergeContainments(request.GetContainments(), from)
	n.mergeFloors(request.GetFloors())
	response := &lanepb.ExchangeResponse{
		From:         n.options.ID,
		ConfigOffset: n.options.Config.Current().GetOffset(),
		Containments: n.containmentNotices(),
		Floors:       n.floorNotices(),
		Sums:         request.GetSums(),
	}
	if request.GetSums() {
		n.mergeAggregates(from, request.GetAccountUse(), request.GetEvidence())
		response.AccountUse, response.Evidence = n.outgoingAggregates(from)
		n.mergePrompts(from, request.GetPrompts(), time.Now())
		response.Prompts = n.outgoingPrompts(from)
	}
	return response, nil
}

// Pull implements lanepb.Peer. It returns records of the configuration stream.
func (n *Node) Pull(_ context.Context, request *lanepb.PullRequest) (*lanepb.PullResponse, error) {
	limit := min(int(request.GetMaxRecords()), maxPullRecords)
	if limit <= 0 {
		limit = maxPullRecords
	}
	return n.options.Records.Records(request.GetFromOffset(), limit), nil
}
