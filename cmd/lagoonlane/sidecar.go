package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/poison/keeper"
	"github.com/lagoonlane/lagoonlane/internal/settings"
	"github.com/lagoonlane/lagoonlane/internal/sidecar"
)

func checkSidecar(path string) error {
	_, err := settings.LoadSidecar(path)
	return err
}

// runSidecar runs a sidecar until ctx is done, then drains it.
func runSidecar(ctx context.Context, signals *signalHandler, path string, logs io.Writer) error {
	file, err := settings.LoadSidecar(path)
	if err != nil {
		return err
	}
	p, err := newProcess("sidecar", file.Process, logs)
	if err != nil {
		return err
	}
	signals.attach(p.logger, func() error { return checkSidecar(path) })
	shared := newSharedState(p, file.Platform, nil)
	defer shared.close()
	sidecarRole, err := sidecar.New(sidecar.Options{
		ID:             file.Process.ID,
		BackendServers: sidecarBackends(file.BackendServers),
		Config:         shared.holder,
		Containment:    shared.node,
		Logger:         p.logger,
		Meter:          p.metrics.Meter,
	})
	if err != nil {
		return err
	}
	sidecarRole.Register(p.internal)
	keeper.NewHolder(time.Now, p.logger).Register(p.internal)
	shared.node.Register(p.internal)
	return p.serve(ctx, roleHooks{
		ready:      shared.stream.Ready,
		background: append(shared.background(), sidecarRole.Run),
		drain:      sidecarRole.Drain,
	})
}

func sidecarBackends(servers []settings.BackendServer) []sidecar.BackendServer {
	client := newPlatformClient()
	backends := make([]sidecar.BackendServer, 0, len(servers))
	for _, server := range servers {
		backends = append(backends, sidecar.BackendServer{
			ID:             server.ID,
			Kind:           server.Kind,
			Pool:           server.Pool,
			Version:        server.Version,
			MaxConcurrency: server.MaxConcurrency,
			Backend:        newBackend(server, client),
		})
	}
	return backends
}

func newBackend(server settings.BackendServer, client *http.Client) platform.Backend {
	if server.Kind == "engine" {
		return platform.NewHTTPEngine(server.Address, client)
	}
	return platform.NewHTTPService(server.Address, client)
}
