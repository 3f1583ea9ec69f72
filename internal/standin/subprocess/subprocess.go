// Package subprocess runs a part of a test in a process of its own, for tests of
// failures that end the process.
package subprocess

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"
)

const (
	// variable is the environment variable that holds the name of the test whose part
	// the process is to run.
	variable = "CHICORYPIN_SUBPROCESS"
	// timeout ends a process that hangs.
	timeout = time.Minute
)

// Run runs body in a new process. It returns what the process wrote, and its exit code,
// which is 0 if body returned. It must be called by a top-level test, once, and before
// anything that the new process should not do too.
func Run(t *testing.T, body func()) (output string, exitCode int) {
	t.Helper()
	if os.Getenv(variable) == t.Name() {
		body()
		fmt.Println("the subprocess was not ended by a failure")
		os.Exit(0)
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	command := exec.CommandContext(ctx, os.Args[0], "-test.run=^"+t.Name()+"$") //nolint:gosec // It is the test itself.
	command.Env = append(os.Environ(), variable+"="+t.Name())
	data, err := command.CombinedOutput()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		t.Fatal(err)
	}
	return string(data), command.ProcessState.ExitCode()
}
