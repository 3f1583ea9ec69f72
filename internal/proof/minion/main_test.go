package minion

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of the entry daemon, which TestMain builds.
var program string

// TestMain runs the tests, or an endpoint if the environment holds the configuration of one.
func TestMain(m *testing.M) {
	if text := os.Getenv(endpointVariable); text != "" {
		runEndpoint([]byte(text))
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the entry daemon, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "chicorypin")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	program = filepath.Join(folder, "chicorypind")
	build := exec.Command("go", "build", "-o", program, "gitlab.com/chicorypin/chicorypin/cmd/chicorypind")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(output))
		return 1
	}
	return m.Run()
}
