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

// handledSignals are the signals that signalHandler takes, by their names in the log. The
// default action of each would end the process and all that it runs.
var handledSignals = map[os.Signal]string{
	syscall.SIGHUP:  "SIGHUP",
	syscall.SIGINT:  "SIGINT",
	syscall.SIGTERM: "SIGTERM",
}

// signalHandler owns the signals of the process from the start of main to its exit; they are
// never given back to the runtime. SIGHUP reads the settings again; the first SIGTERM or
// SIGINT begins a graceful stop; whatever comes after that is logged and ignored.
type signalHandler struct {
	stop context.CancelCauseFunc

	mu sync.Mutex
	// early are signals that came before attach, each once.
	early    []os.Signal
	reload   func() error
	logger   zerolog.Logger
	stopping bool
}

// newSignals returns a handler that no signal reaches by itself, and a context that ends with the
// first SIGTERM or SIGINT.
func newSignals() (context.Context, *signalHandler) {
	ctx, stop := context.WithCancelCause(context.Background())
	return ctx, &signalHandler{stop: stop}
}

// SignalError is the cause with which a signal ends the process's context.
type SignalError struct{ Name string }

func (e *SignalError) Error() string { return e.Name }

// takeSignals returns the handler of all signals of the process, and a context as newSignals does.
func takeSignals() (context.Context, *signalHandler) {
	ctx, s := newSignals()
	for one := range handledSignals {
		// Each has a goroutine of its own, which ends with the process: a reload that hangs
		// must not hold up a stop.
		received := make(chan os.Signal, 1)
		signal.Notify(received, one)
		go func() {
			for range received {
				s.handle(one)
			}
		}()
	}
	// A process without a reader of its log must not end at the next line: writes fail instead.
	signal.Ignore(syscall.SIGPIPE)
	return ctx, s
}

// attach sets where signals are logged and how settings are read again, and acts on the
// signals that came before.
func (s *signalHandler) attach(logger zerolog.Logger, reload func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logger, s.reload = logger, reload
	for _, one := range s.early {
		s.act(one)
	}
	s.early = nil
}

func (s *signalHandler) handle(received os.Signal) {
	if received != syscall.SIGHUP {
		// First of all: a reload under way may hold mu.
		s.stop(&SignalError{Name: handledSignals[received]})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.reload != nil:
		s.act(received)
	case !slices.Contains(s.early, received):
		s.early = append(s.early, received)
	}
}

// act does what a signal asks for, and logs it. The caller holds mu.
func (s *signalHandler) act(received os.Signal) {
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
