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
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 15 * time.Second
	// pauseTimeout bounds the time from SIGSTOP until all threads have stopped.
	pauseTimeout = 5 * time.Second
	// maxLogTail is the number of bytes at the end of a log that an error includes.
	maxLogTail = 2000
)

// Process is one process of a deployment.
type Process struct {
	// Name is unique in the deployment, such as "entry-1".
	Name string
	// Address is the ip:port of the process. For an entry or sidecar it is the internal one.
	Address string
	// Public is the ip:port at which an entry serves callers and operators.
	Public string

	program string
	args    []string
	// env is added to the environment.
	env     []string
	logPath string
	// output replaces the file at logPath, if it is set.
	output    *os.File
	healthURL string

	mu       sync.Mutex
	command  *exec.Cmd
	done     chan struct{}
	exitCode int
}

// ProcessOptions configures a process that is not part of a Deployment.
type ProcessOptions struct {
	Name    string
	Program string
	Args    []string
	// Env is added to the environment.
	Env []string
	// LogPath is the path of the file to which standard output and standard error are appended.
	LogPath string
	// HealthURL is a URL that returns status 200 once the process serves.
	HealthURL string
}

// NewProcess returns a process without starting it.
func NewProcess(o ProcessOptions) *Process {
	return &Process{Name: o.Name, program: o.Program, args: o.Args, env: o.Env, logPath: o.LogPath, healthURL: o.HealthURL}
}

// RedirectOutput redirects the output of later starts to a file.
func (p *Process) RedirectOutput(logs *os.File) { p.output = logs }

// Start starts the program and waits until it passes its health check.
func (p *Process) Start(ctx context.Context) error { return p.start(ctx) }

// start starts the program and waits until it passes its health check. It returns *StartError,
// *ExitedError or *NotReadyError.
func (p *Process) start(ctx context.Context) error {
	if err := p.Launch(); err != nil {
		return err
	}
	return p.WaitServing(ctx)
}

// WaitServing waits until a launched process passes its health check.
func (p *Process) WaitServing(ctx context.Context) error { return p.waitHTTP(ctx, p.healthURL) }

// Launch starts the program without waiting for it to serve.
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
	if p.output != nil {
		command.Stdout, command.Stderr = p.output, p.output
	}
	// In its own process group, the process does not receive an interrupt from the terminal; its
	// owner stops it.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return errors.WithStack(&StartError{Process: p.Name, Cause: err})
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	go p.awaitExit(command, done)
	return nil
}

// awaitExit waits for the exit of the program, stores the exit code and closes done.
func (p *Process) awaitExit(command *exec.Cmd, done chan struct{}) {
	defer close(done)
	// The error is ignored, because the exit code is recorded.
	_ = command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitCode = command.ProcessState.ExitCode()
}

// waitHTTP waits until a URL returns status 200, at most for readyTimeout.
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
		case <-p.exited():
			return errors.WithStack(&ExitedError{Process: p.Name, Code: p.ExitCode(), Log: p.logTail()})
		case <-ctx.Done():
			return errors.WithStack(&NotReadyError{Process: p.Name, URL: url, Log: p.logTail()})
		case <-time.After(readyPollInterval):
		}
	}
}

// WaitReady waits until an entry or sidecar passes its readiness check.
func (p *Process) WaitReady(ctx context.Context) error {
	return p.waitHTTP(ctx, "http://"+p.Address+"/readyz")
}

func (p *Process) exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running reports whether the process has not exited. The process must have been started.
func (p *Process) Running() bool {
	select {
	case <-p.exited():
		return false
	default:
		return true
	}
}

// PID returns the process id.
func (p *Process) PID() int {
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

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited()
	return nil
}

// Pause pauses the process with SIGSTOP and waits until all its threads have stopped; Resume
// resumes it. It returns *SignalError or *StillRunningError.
func (p *Process) Pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// Each thread stops when it next enters the kernel, so the process may still answer for a
	// moment.
	for deadline := time.Now().Add(pauseTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if p.allThreadsStopped() {
			return nil
		}
	}
	return errors.WithStack(&StillRunningError{Process: p.Name})
}

// allThreadsStopped reports whether all threads are stopped according to /proc.
func (p *Process) allThreadsStopped() bool {
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
		// The state follows the command name, which is in parentheses.
		if _, rest, found := strings.Cut(string(stat), ") "); found && !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return true
}

// Resume resumes a paused process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown with SIGTERM.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Reload makes the process reload its settings with SIGHUP.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Interrupt requests a shutdown with SIGINT, as a terminal does.
func (p *Process) Interrupt() error { return p.signal(syscall.SIGINT) }

// Wait waits for the exit of the process and returns its exit code, which is -1 after a fatal
// signal. It returns *StillRunningError if ctx ends first.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.exited():
		return p.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.WithStack(&StillRunningError{Process: p.Name})
	}
}

// ExitCode returns the exit code of a process that has exited.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitCode
}

// Restart starts the program again at the same addresses and with the same settings. It returns
// *StillRunningError if the process has not exited.
func (p *Process) Restart(ctx context.Context) error {
	select {
	case <-p.exited():
	default:
		return errors.WithStack(&StillRunningError{Process: p.Name})
	}
	return p.start(ctx)
}

// LogText returns the log of the process over all its starts.
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
