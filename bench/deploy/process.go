package deploy

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readyPoll    = 20 * time.Millisecond
	readyTimeout = 15 * time.Second
	// pauseTimeout bounds the time that a process takes to stand still after SIGSTOP.
	pauseTimeout = 5 * time.Second
	// maxLogTail is how much of a log an error shows, in bytes.
	maxLogTail = 2000
)

// Process is one process of a deployment.
type Process struct {
	// Name is unique in the deployment, such as "entry-1".
	Name string
	// Address is its ip:port: for an entry or sidecar the internal one.
	Address string
	// Public is the ip:port of an entry for callers and operators.
	Public string

	program string
	args    []string
	// env is added to the environment.
	env     []string
	logPath string
	// logs take the place of the file at logPath if set.
	logs   *os.File
	health string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	exit    int
}

// ProcessOptions describe a process that is not part of a Deployment.
type ProcessOptions struct {
	Name    string
	Program string
	Args    []string
	// Env is added to the environment.
	Env []string
	// Log is the file to which output is appended.
	Log string
	// Health is a URL that answers 200 once the process serves.
	Health string
}

// NewProcess returns a process that doesn't run yet.
func NewProcess(o ProcessOptions) *Process {
	return &Process{Name: o.Name, program: o.Program, args: o.Args, env: o.Env, logPath: o.Log, health: o.Health}
}

// LogTo gives the output of later starts to a file of the caller.
func (p *Process) LogTo(logs *os.File) { p.logs = logs }

// Start runs the program and waits until it answers.
func (p *Process) Start(ctx context.Context) error { return p.start(ctx) }

// start runs the program and waits until it answers.
func (p *Process) start(ctx context.Context) error {
	if err := p.Launch(); err != nil {
		return err
	}
	return p.WaitServing(ctx)
}

// WaitServing waits until a process that was launched answers.
func (p *Process) WaitServing(ctx context.Context) error { return p.waitHTTP(ctx, p.health) }

// Launch runs the program and doesn't wait for it.
func (p *Process) Launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(&StartError{Process: p.Name, Cause: err})
	}
	defer logFile.Close()
	command := exec.Command(p.program, p.args...)
	command.Env = append(os.Environ(), p.env...)
	command.Stdout, command.Stderr = logFile, logFile
	if p.logs != nil {
		command.Stdout, command.Stderr = p.logs, p.logs
	}
	// A group of its own keeps an interrupt at the terminal from reaching it: its owner ends it.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return errors.WithStack(&StartError{Process: p.Name, Cause: err})
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	go p.reap(command, done)
	return nil
}

// reap waits for the end of the program; Wait and Close wait for it.
func (p *Process) reap(command *exec.Cmd, done chan struct{}) {
	defer close(done)
	// The exit code says what there is to say.
	_ = command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exit = command.ProcessState.ExitCode()
}

// waitHTTP waits until a URL answers 200.
func (p *Process) waitHTTP(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.WithStack(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.ended():
			return errors.WithStack(&ExitedError{Process: p.Name, Code: p.ExitCode(), Log: p.logTail()})
		case <-ctx.Done():
			return errors.WithStack(&NotReadyError{Process: p.Name, URL: url, Log: p.logTail()})
		case <-time.After(readyPoll):
		}
	}
}

// WaitReady waits until an entry or sidecar says that it can serve.
func (p *Process) WaitReady(ctx context.Context) error {
	return p.waitHTTP(ctx, "http://"+p.Address+"/readyz")
}

func (p *Process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.ended():
		return false
	default:
		return true
	}
}

// ID returns the process id.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

func (p *Process) signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.command.Process.Signal(signal)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.WithStack(&SignalError{Process: p.Name, Cause: err})
	}
	return nil
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended()
	return nil
}

// Stop pauses the process and waits until all its threads stand still; Continue lets
// it go on. It fails with *SignalError or *StillRunningError.
func (p *Process) Stop() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// The signal is delivered when each thread enters the kernel next, so for a moment the
	// process may still answer.
	for end := time.Now().Add(pauseTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if p.standsStill() {
			return nil
		}
	}
	return errors.WithStack(&StillRunningError{Process: p.Name})
}

// standsStill reports whether all threads are stopped, as Linux shows it in /proc.
func (p *Process) standsStill() bool {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	threads, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "stat"))
	if err != nil || len(threads) == 0 {
		// The process has ended.
		return true
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if err != nil {
			continue // The thread has ended.
		}
		// The state follows the name, which is in parentheses.
		if _, rest, found := strings.Cut(string(stat), ") "); found && !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return true
}

// Continue ends a pause.
func (p *Process) Continue() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully; Wait tells how it ended.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Reload asks the process to read its settings again.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Interrupt asks the process to shut down as a terminal does.
func (p *Process) Interrupt() error { return p.signal(syscall.SIGINT) }

// Wait waits for the end of the process and returns its exit code, -1 for a signal.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.ended():
		return p.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.WithStack(&StillRunningError{Process: p.Name})
	}
}

// ExitCode returns the exit code of a process that has ended.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exit
}

// Restart starts the program again, at the same addresses with the same
// settings. The process must have ended.
func (p *Process) Restart(ctx context.Context) error {
	select {
	case <-p.ended():
	default:
		return errors.WithStack(&StillRunningError{Process: p.Name})
	}
	return p.start(ctx)
}

// LogText returns what the process has written, over all its starts.
func (p *Process) LogText() (string, error) {
	data, err := os.ReadFile(p.logPath)
	return string(data), errors.WithStack(err)
}

func (p *Process) logTail() string {
	text, err := p.LogText()
	if err != nil {
		return err.Error()
	}
	return text[max(0, len(text)-maxLogTail):]
}

func logPath(dir, name string) string { return filepath.Join(dir, name+".log") }
