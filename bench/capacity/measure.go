package capacity

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// Load is the load on a deployment during one measurement.
type Load struct {
	RequestsPerSecond float64
	// Tokens is the number of output tokens of each answer.
	Tokens int
	// ChangesPerSecond is the rate of configuration changes.
	ChangesPerSecond float64
}

const (
	requestTimeout = 30 * time.Second
	// warmupTime is the time between the start of a load and the start of the measurement.
	warmupTime = 2 * time.Second
)

// Roles lists the measured roles.
var Roles = []platform.Role{platform.RoleEntry, platform.RoleSidecar}

// Measure applies a load and measures each role over the window. It returns a
// LoadError if a request failed or a change couldn't be prepared.
func Measure(ctx context.Context, d *deploy.Deployment, load Load, window time.Duration) (map[platform.Role]Point, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	traffic := &traffic{deployment: d, load: load}
	var loops sync.WaitGroup
	loops.Go(func() { traffic.sendChats(loadCtx) })
	loops.Go(func() { traffic.sendChanges(loadCtx) })
	defer loops.Wait()
	defer stopLoad()
	time.Sleep(warmupTime)

	before, err := readUsageByRole(d)
	if err != nil {
		return nil, err
	}
	countsBefore := traffic.counts()
	started := time.Now()
	time.Sleep(window)
	after, err := readUsageByRole(d)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(started).Seconds()
	rates := traffic.counts()
	for i := range rates {
		rates[i] = (rates[i] - countsBefore[i]) / seconds
	}
	points := map[platform.Role]Point{}
	for _, role := range Roles {
		points[role] = Point{
			Rates:         rates,
			CPU:           (after[role].CPU - before[role].CPU).Seconds() / seconds,
			ResidentBytes: after[role].ResidentBytes,
		}
	}
	return points, traffic.failure()
}

func readUsageByRole(d *deploy.Deployment) (map[platform.Role]Usage, error) {
	usageByRole := map[platform.Role]Usage{}
	for _, role := range Roles {
		usage, err := ReadUsage(d, role)
		if err != nil {
			return nil, err
		}
		usageByRole[role] = usage
	}
	return usageByRole, nil
}

// traffic generates the requests and changes of one measurement and counts them.
type traffic struct {
	deployment *deploy.Deployment
	load       Load
	requests   atomic.Int64
	tokens     atomic.Int64
	changes    atomic.Int64
	lastError  atomic.Pointer[LoadError]
}

// LoadError reports that part of a load failed, which invalidates the measurement.
type LoadError struct{ Detail string }

func (e *LoadError) Error() string { return "load of a measurement: " + e.Detail }

func (t *traffic) failure() error {
	if err := t.lastError.Load(); err != nil {
		return errors.WithStack(err)
	}
	return nil
}

func (t *traffic) counts() [rateCount]float64 {
	return [rateCount]float64{float64(t.requests.Load()), float64(t.tokens.Load()), float64(t.changes.Load())}
}

// callAtRate starts calls at a rate per second until ctx is done, and waits for all of
// them. A rate of 0 starts none.
func callAtRate(ctx context.Context, rate float64, call func(n int)) {
	if rate <= 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			calls.Go(func() { call(n) })
		}
	}
}

func (t *traffic) sendChats(ctx context.Context) {
	d := t.deployment
	client := &caller.Client{HTTP: http.DefaultClient, Key: d.AccountKeys[d.Spec.Accounts[0]]}
	urls := d.EntryURLs()
	callAtRate(ctx, t.load.RequestsPerSecond, func(n int) {
		result := client.Chat(context.WithoutCancel(ctx), caller.Chat{
			URL: urls[n%len(urls)], Model: d.Spec.ModelRoute, Prompt: fmt.Sprintf("question %d", n),
			MaxTokens: t.load.Tokens, Stream: true, Timeout: requestTimeout,
		})
		if result.Outcome != caller.OutcomeWhole {
			t.lastError.Store(&LoadError{Detail: string(result.Outcome) + " " + result.Detail})
		}
		t.requests.Add(1)
		t.tokens.Add(int64(t.load.Tokens))
	})
}

// sendChanges repeatedly changes the weight of a client account.
func (t *traffic) sendChanges(ctx context.Context) {
	path, err := t.deployment.ConfigurationFile()
	if err != nil {
		t.lastError.Store(&LoadError{Detail: err.Error()})
		return
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.lastError.Store(&LoadError{Detail: err.Error()})
		return
	}
	callAtRate(ctx, t.load.ChangesPerSecond, func(n int) {
		changed := strings.Replace(string(text), "weight = 1", fmt.Sprintf("weight = %d", n%7+2), 1)
		file := filepath.Join(t.deployment.Spec.Dir, fmt.Sprintf("change-%d.toml", n))
		if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
			t.lastError.Store(&LoadError{Detail: err.Error()})
			return
		}
		// Concurrent changes may conflict. A rejected change is appended to the log, too,
		// and so counts as load.
		_, _ = t.deployment.Ctl(context.WithoutCancel(ctx), "apply", file)
		t.changes.Add(1)
	})
}
