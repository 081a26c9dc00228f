package deploy

import (
	"context"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/pkg/errors"
)

// allBinaries lists the packages that Build compiles by default.
var allBinaries = []string{"./cmd/...", "./bench/cmd/..."}

// Build compiles binaries of the workspace into a directory: all of them, or only those of the
// given packages. It needs the source tree from which it was compiled itself. It returns
// *CommandError if the build fails.
func Build(ctx context.Context, dir string, packages ...string) error {
	if len(packages) == 0 {
		packages = allBinaries
	}
	_, file, _, _ := runtime.Caller(0)
	root := filepath.Dir(filepath.Dir(filepath.Dir(file)))
	_, err := runCommand(ctx, root, nil, "go", append([]string{"build", "-o", dir + "/"}, packages...)...)
	return err
}

// runCommand runs a program until it exits and returns its standard output, or *CommandError if it
// fails.
func runCommand(ctx context.Context, dir string, env []string, name string, args ...string) (string, error) {
	command := exec.CommandContext(ctx, name, args...)
	command.Dir = dir
	var stdout, stderr strings.Builder
	command.Stdout, command.Stderr = &stdout, &stderr
	if env != nil {
		command.Env = append(command.Environ(), env...)
	}
	if err := command.Run(); err != nil {
		return stdout.String(), errors.WithStack(&CommandError{
			Command: strings.Join(append([]string{filepath.Base(name)}, args...), " "),
			Cause:   err,
			Output:  stdout.String() + stderr.String(),
		})
	}
	return stdout.String(), nil
}
