package main

import (
	"encoding/json"
	"fmt"
	"io"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/model/verify"
	"gitlab.com/chicorypin/chicorypin/platform"
)

type verifyCommand struct {
	File      string `arg:"positional,required" help:"configuration for jobs, JSON; - for standard input"`
	Against   string `arg:"--against" help:"version in force, to show what changes"`
	Endpoints string `arg:"--endpoints" help:"JSON list of objects with service and labels, to find pools without endpoints"`
	JSON      bool   `arg:"--json" help:"print a JSON list; the same as --output json"`
}

// invalidConfigError reports the number of errors that verify has found and printed.
type invalidConfigError struct {
	Count int
}

// Error implements error.
func (e *invalidConfigError) Error() string {
	return fmt.Sprintf("the configuration has faults: %d", e.Count)
}

// runVerify checks a configuration without a connection to an entry. It returns an
// invalidConfigError if a finding is an error.
func runVerify(out io.Writer, command *verifyCommand, isJSON bool) error {
	findings, err := verifyFiles(command)
	if err != nil {
		return err
	}
	if err := printFindings(out, findings, isJSON); err != nil {
		return err
	}
	count := 0
	for _, f := range findings {
		if f.Severity == verify.Error {
			count++
		}
	}
	if count > 0 {
		return &invalidConfigError{Count: count}
	}
	return nil
}

func verifyFiles(command *verifyCommand) (findings []verify.Finding, err error) {
	isStandardInputTaken := false
	for _, path := range []string{command.File, command.Against, command.Endpoints} {
		if path == "-" && isStandardInputTaken {
			return nil, &usageError{Text: "only one file can be standard input"}
		}
		isStandardInputTaken = isStandardInputTaken || path == "-"
	}
	data, err := readFile(command.File)
	if err != nil {
		return nil, err
	}
	config, faults := platform.DecodeForVerification(data)
	options := verify.Options{Faults: faults}
	if command.Endpoints != "" {
		if options.Endpoints, err = readEndpoints(command.Endpoints); err != nil {
			return nil, err
		}
	}
	var before *verify.Config
	if command.Against != "" {
		if before, err = readConfigInForce(command.Against); err != nil {
			return nil, err
		}
	}
	findings = verify.Check(config, options)
	if config != nil && before != nil {
		findings = append(findings, verify.Compare(before, config)...)
	}
	return findings, nil
}

func readEndpoints(path string) (counts map[string]int, err error) {
	defer fault.Annotate(&err, "%s", path)
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return platform.DecodeEndpointCounts(data)
}

// readConfigInForce reads the version to compare with. Faults that entries accept, such as
// names in another case, do not matter there.
func readConfigInForce(path string) (config *verify.Config, err error) {
	defer fault.Annotate(&err, "%s", path)
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	if _, err := platform.DecodeConfig(data, 0); err != nil {
		return nil, err
	}
	config, _ = platform.DecodeForVerification(data)
	return config, nil
}

// printFindings prints one finding a line, or a JSON list.
func printFindings(out io.Writer, findings []verify.Finding, isJSON bool) error {
	if isJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(append([]verify.Finding{}, findings...))
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	return nil
}
