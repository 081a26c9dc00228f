package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

const maxResponseBytes = 1 << 20

// Process returns a process by its name, such as "entry-1", "engine-2", "sidecar-engine-2",
// "ledger-1", "sidecar-ledger-1" or NameLog, or nil if there is none.
func (d *Deployment) Process(name string) *Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byName[name]
}

// Processes returns all processes in the order in which they were added.
func (d *Deployment) Processes() []*Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.processes)
}

// URL returns the URL of a process. For an entry it is the one for callers and operators.
func (d *Deployment) URL(name string) string {
	p := d.Process(name)
	if p.Public != "" {
		return "http://" + p.Public
	}
	return "http://" + p.Address
}

// EntryURLs returns the URLs of all entries.
func (d *Deployment) EntryURLs() []string {
	var urls []string
	for i := range d.Spec.Entries {
		urls = append(urls, d.URL(entryName(i+1)))
	}
	return urls
}

// Ctl runs lagoonctl against the first entry and returns its standard output.
func (d *Deployment) Ctl(ctx context.Context, args ...string) (string, error) {
	return d.CtlAt(ctx, d.EntryURLs()[0], args...)
}

// CtlAt runs lagoonctl against an entry and returns its standard output, or *CommandError if it
// fails.
func (d *Deployment) CtlAt(ctx context.Context, url string, args ...string) (string, error) {
	program := filepath.Join(d.Spec.BinDir, "lagoonctl")
	return runCommand(ctx, d.Spec.Dir, d.CtlEnv(url), program, args...)
}

// CtlEnv returns the environment variables with which lagoonctl connects to an entry.
func (d *Deployment) CtlEnv(url string) []string {
	return []string{"LAGOONLANE_ENTRY=" + url, "LAGOONLANE_OPERATOR_KEY=" + d.OperatorKey}
}

// WaitReady waits until all entries and sidecars are ready.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, instance := range d.instances {
		if err := d.Process(instance.ID).WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// SetSwitches sets the switches of a stand-in. The value is a Switches of the stand-in's package.
func (d *Deployment) SetSwitches(ctx context.Context, name string, switches any) error {
	return send(ctx, http.MethodPost, d.URL(name)+"/control", switches, nil)
}

// GetJSON reads a JSON resource of a stand-in, such as /runs or /stats, into a value.
func (d *Deployment) GetJSON(ctx context.Context, name, path string, into any) error {
	return send(ctx, http.MethodGet, d.URL(name)+path, nil, into)
}

func send(ctx context.Context, method, url string, value, into any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.WithStack(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.WithStack(&StatusError{URL: url, Status: resp.StatusCode, Body: string(reply)})
	}
	if into == nil {
		return nil
	}
	return errors.WithStack(json.Unmarshal(reply, into))
}

// Shutdown gracefully shuts down all entries and then all sidecars, and returns the exit codes of
// those that were still running. Stand-ins run until Close.
func (d *Deployment) Shutdown(ctx context.Context) (map[string]int, error) {
	codes := map[string]int{}
	for _, role := range []platform.Role{platform.RoleEntry, platform.RoleSidecar} {
		var signalled []*Process
		for _, instance := range d.instances {
			p := d.Process(instance.ID)
			if instance.Role != role || !p.running() {
				continue
			}
			if err := p.Terminate(); err != nil {
				return codes, err
			}
			signalled = append(signalled, p)
		}
		for _, p := range signalled {
			code, err := p.Wait(ctx)
			if err != nil {
				return codes, err
			}
			codes[p.Name] = code
		}
	}
	return codes, nil
}

func (p *Process) running() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// Close stops all processes that are still running, gracefully if possible, and waits for their
// exit.
func (d *Deployment) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var waiting sync.WaitGroup
	for _, p := range d.Processes() {
		if p.running() {
			waiting.Go(func() { p.close(ctx) })
		}
	}
	waiting.Wait()
}

func (p *Process) close(ctx context.Context) {
	// A paused process handles SIGTERM only after it is resumed. Errors are ignored, because Kill
	// follows if the process does not exit.
	_ = p.Resume()
	_ = p.Terminate()
	if _, err := p.Wait(ctx); err != nil {
		_ = p.Kill()
	}
}
