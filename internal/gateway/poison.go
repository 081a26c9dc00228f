package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

const (
	// answerBeginTime is how long after its first event an answer counts as begun. A crash up to then may
	// be caused by the prompt.
	answerBeginTime = 250 * time.Millisecond
	// crashProbeTimeout bounds the check whether a backend server still accepts connections. A server on a
	// running machine answers within milliseconds, also if its process has ended.
	crashProbeTimeout = 100 * time.Millisecond
)

const reasonNoEvidence = "the evidence about prompts has not been read yet"

// partIDs returns the ids of the prompt parts.
func (i RequestInfo) partIDs() []string {
	ids := make([]string, len(i.Parts))
	for i, part := range i.Parts {
		ids[i] = part.ID
	}
	return ids
}

// checkPrompt refuses a call with a prompt part that crashes engines, and one whose parts aren't known to be harmless as
// the evidence of earlier processes hasn't been read yet.
func (g *Gateway) checkPrompt(call *call) *Failure {
	if call.engine != nil && len(call.info.Parts) > 1 && !g.options.Poison.Known() {
		return unavailable(KindNotReady, defaultRetryAfter, reasonNoEvidence)
	}
	position, left, blocked := g.options.Poison.Blocked(call.prompt)
	if !blocked {
		return nil
	}
	return unavailable(KindPoisoned, left, "engines crash on a part of the prompt: "+call.info.Parts[position].ID)
}

// checkCrash records the crash of an engine that ended while it was about to begin its answer. A broken
// connection alone is no crash: engines also reset single connections.
func (g *Gateway) checkCrash(ctx context.Context, call *call, p *callProgress, server fleet.Server, last verdict) {
	if g.options.Poison == nil || last != verdictFailed || p.brokenBy != CutBackendServer || p.begun || call.engine == nil || ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	err := g.options.Upstream.Probe(ctx, server.Address)
	crashed := errors.Is(err, syscall.ECONNREFUSED)
	g.logger.Info().Str("request_id", call.info.ID).Str("backend_server", server.ID).Str("address", server.Address).
		Bool("crashed", crashed).Err(err).Msg("check of a backend server after a broken answer")
	if crashed {
		g.options.Poison.RecordCrash(server.Incarnation().String(), call.prompt)
	}
}
