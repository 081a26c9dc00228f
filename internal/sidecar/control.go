package sidecar

import (
	"context"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Revoke bars a dispatch id unless its dispatch was started. An id that hasn't been seen
// yet is barred too. BARRED in the response guarantees that the request has not run and
// will not run.
func (s *Sidecar) Revoke(_ context.Context, request *lanepb.RevokeRequest) (*lanepb.RevokeResponse, error) {
	response := &lanepb.RevokeResponse{BootId: s.bootID}
	if request.GetBootId() != s.bootID {
		response.State = lanepb.DispatchState_DISPATCH_STATE_OTHER_BOOT
		return response, nil
	}
	now := time.Now()
	state, d := s.table.revoke(request.GetDispatchId(), now)
	if d != nil && d.ticket != nil && state == lanepb.DispatchState_DISPATCH_STATE_BARRED {
		d.server.queue.Withdraw(now, d.ticket)
	}
	response.State = state
	return response, nil
}

// Enquire returns the state of a dispatch without changing it.
func (s *Sidecar) Enquire(_ context.Context, request *lanepb.EnquireRequest) (*lanepb.EnquireResponse, error) {
	response := &lanepb.EnquireResponse{BootId: s.bootID}
	if request.GetBootId() != s.bootID {
		response.State = lanepb.DispatchState_DISPATCH_STATE_OTHER_BOOT
		return response, nil
	}
	response.State = s.table.enquire(request.GetDispatchId(), time.Now())
	return response, nil
}

// Cancel stops a dispatch whose caller has disconnected. A non-idempotent request that was
// started runs to completion.
func (s *Sidecar) Cancel(_ context.Context, request *lanepb.CancelRequest) (*lanepb.CancelResponse, error) {
	response := &lanepb.CancelResponse{}
	if request.GetBootId() != s.bootID {
		return response, nil
	}
	d := s.table.get(request.GetDispatchId())
	if d == nil || d.ticket == nil {
		return response, nil
	}
	s.withdraw(d)
	if cancel := s.table.view(d).cancel; cancel != nil && d.idempotent {
		cancel(&CancelledError{})
	}
	return response, nil
}

// Loads returns the load of the named backend servers, or of all if none is named. Unknown
// ids are omitted.
func (s *Sidecar) Loads(_ context.Context, request *lanepb.LoadRequest) (*lanepb.LoadResponse, error) {
	ids := request.GetBackendServers()
	if len(ids) == 0 {
		ids = s.serverIDs
	}
	response := &lanepb.LoadResponse{ConfigOffset: s.config.Current().GetOffset()}
	for _, id := range ids {
		if target := s.servers[id]; target != nil {
			response.Loads = append(response.Loads, s.load(target))
		}
	}
	return response, nil
}
