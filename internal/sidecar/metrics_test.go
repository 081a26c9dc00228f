package sidecar

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
)

func TestMetricsShowTheQueue(t *testing.T) {
	exported, err := telemetry.NewMetrics()
	qt.Assert(t, err, qt.IsNil)
	s, err := New(Options{
		BackendServers: []BackendServer{{ID: "s", Kind: KindService, Version: "v1", MaxConcurrency: 7, Backend: serviceOnly{newFakeEngine()}}},
		Config:         &config.Holder{},
		Logger:         zerolog.Nop(),
		Meter:          exported.Meter,
	})
	qt.Assert(t, err, qt.IsNil)
	reply, err := s.Reserve(t.Context(), &lanepb.ReserveRequest{DispatchId: "d", BackendServer: "s", Version: "v2"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.GetRefusal(), qt.IsNotNil)
	page := httptest.NewRecorder()
	exported.Handler.ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	qt.Assert(t, page.Body.String(), qt.Contains, `lagoonlane_sidecar_limit{backend_server="s"`)
	qt.Assert(t, page.Body.String(), qt.Contains, `reason="version"`)
}
