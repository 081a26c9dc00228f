package main

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"

	"github.com/rs/zerolog"
)

// handledSignals maps each signal that signalHandler handles to its name in the log. The default
// action of each would terminate the process with all its running requests.
var handledSignals = map[os.Signal]string{
	syscall.SIGHUP:  "SIGHUP",
	syscall.SIGINT:  "SIGINT",
	syscall.SIGTERM: "SIGTERM",
}

// signalHandler handles the signals of the process from the start of main until its exit; the
// default actions are never restored. SIGHUP reloads the settings, the first SIGTERM or SIGINT
// starts a graceful shutdown, and all later signals are logged and ignored.
type signalHandler struct {
	stop context.CancelCauseFunc

	mu sync.Mutex
	// pending holds the distinct signals received before attach.
	pending  []os.Signal
	reload   func() error
	logger   zerolog.Logger
	stopping bool
}

// newSignalHandler returns a handler that is not registered for any signal, and a context that is
// cancelled by the first SIGTERM or SIGINT it handles.
func newSignalHandler() (context.Context, *signalHandler) {
	ctx, stop := context.WithCancelCause(context.Background())
	return ctx, &signalHandler{stop: stop}
}

// SignalError is the cancellation cause of the process's context after a signal.
type SignalError struct{ Name string }

func (e *SignalError) Error() string { return e.Name }

// installSignalHandler registers a handler for the handledSignals and returns it with the context
// of newSignalHandler.
func installSignalHandler() (context.Context, *signalHandler) {
	ctx, s := newSignalHandler()
	for sig := range handledSignals {
		// Each signal has its own goroutine, which runs until the process exits, so that a blocked
		// reload cannot delay a shutdown.
		received := make(chan os.Signal, 1)
		signal.Notify(received, sig)
		go func() {
			for range received {
				s.handle(sig)
			}
		}()
	}
	// Without this, the next log line would terminate the process if the reader of its output has
	// closed the pipe. With SIGPIPE ignored, the write returns an error instead.
	signal.Ignore(syscall.SIGPIPE)
	return ctx, s
}

// attach sets the logger and the reload function, and then handles the pending signals.
func (s *signalHandler) attach(logger zerolog.Logger, reload func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logger, s.reload = logger, reload
	for _, sig := range s.pending {
		s.apply(sig)
	}
	s.pending = nil
}

func (s *signalHandler) handle(received os.Signal) {
	if received != syscall.SIGHUP {
		// The context is cancelled before mu is locked, because a running reload may hold mu.
		s.stop(&SignalError{Name: handledSignals[received]})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.reload != nil:
		s.apply(received)
	case !slices.Contains(s.pending, received):
		s.pending = append(s.pending, received)
	}
}

// apply reloads or starts a shutdown, and logs the signal. The caller must hold mu.
func (s *signalHandler) apply(received os.Signal) {
	name := handledSignals[received]
	if s.stopping {
		s.logger.Info().Str("signal", name).Str("outcome", "ignored, the process is stopping").Msg("signal")
		return
	}
	if received != syscall.SIGHUP {
		s.stopping = true
		s.logger.Info().Str("signal", name).Str("outcome", "stopping").Msg("signal")
		return
	}
	if err := s.reload(); err != nil {
		s.logger.Error().Str("signal", name).Err(err).Str("outcome", "settings kept").Msg("reload")
		return
	}
	s.logger.Info().Str("signal", name).Str("outcome", "settings read").Msg("reload")
}
