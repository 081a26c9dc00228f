// Package membership polls the platform's instance list and caches it, with one poller per
// process. During an outage of the platform it keeps the last list that was read. It never adds
// instances that were not listed.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

const (
	// PollInterval is the mean time between two polls.
	PollInterval = time.Second
	// pollJitter is the largest relative deviation from PollInterval.
	pollJitter = 0.2
	// pollTimeout bounds the duration of one poll.
	pollTimeout = 2 * time.Second
)

// Poller polls the instance list and caches the last one read.
type Poller struct {
	source platform.Instances
	logger zerolog.Logger

	mu     sync.Mutex
	list   []platform.Instance
	loaded bool
	failed bool
}

// New returns a Poller that has not read a list yet.
func New(source platform.Instances, logger zerolog.Logger) *Poller {
	return &Poller{source: source, logger: logger}
}

// Run polls until ctx is done.
func (p *Poller) Run(ctx context.Context) error {
	for {
		p.poll(ctx)
		jitter := 1 + pollJitter*(2*rand.Float64()-1)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Duration(float64(PollInterval) * jitter)):
		}
	}
}

func (p *Poller) poll(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	list, err := p.source.List(pollCtx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if !p.failed && ctx.Err() == nil {
			p.logger.Warn().Err(err).Msg("instance list is unavailable; keeping the last list")
		}
		p.failed = true
		return
	}
	p.failed = false
	p.loaded = true
	p.list = list
}

// List returns the last list read, which the caller must not modify. Before the first
// successful poll it returns *platform.UnavailableError.
func (p *Poller) List(context.Context) ([]platform.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		return nil, &platform.UnavailableError{Service: "instance list", Cause: &NotLoadedError{}}
	}
	return p.list, nil
}

// Ready reports whether a list has been read.
func (p *Poller) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}

// AddressesExcept returns the addresses of the listed instances except own.
func (p *Poller) AddressesExcept(own string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, instance := range p.list {
		if instance.Address != own {
			addresses = append(addresses, instance.Address)
		}
	}
	return addresses
}

// AddressesByRole returns the addresses of the listed instances with a role.
func (p *Poller) AddressesByRole(role platform.Role) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, instance := range p.list {
		if instance.Role == role {
			addresses = append(addresses, instance.Address)
		}
	}
	return addresses
}

// NotLoadedError reports that no instance list has been read yet.
type NotLoadedError struct{}

func (*NotLoadedError) Error() string { return "the instance list was not read yet" }
