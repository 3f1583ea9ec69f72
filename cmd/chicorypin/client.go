package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/front/operator"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// callTimeout limits one call, from the request to the end of the response. It is
// longer than an entry waits for a change to be in force everywhere.
const callTimeout = 20 * time.Second

// client calls the operators' API of one entry, and prints the results in one of the
// output formats.
type client struct {
	server netip.AddrPort
	key    string
	output string
	http   *http.Client
}

// refusedError is an error response of an entry. Faults lists the faults of the
// document, if the request sent one that is not valid.
type refusedError struct {
	Text   string        `json:"error"`
	Faults []fault.Fault `json:"faults"`
}

// Error implements error.
func (e *refusedError) Error() string {
	lines := []string{e.Text}
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// pendingError reports a change that was written but is not in force at all entries
// yet.
type pendingError struct{}

// Error implements error.
func (e *pendingError) Error() string { return "not in force everywhere yet" }

// usageError reports a command line that lacks a subcommand or an input.
type usageError struct {
	Text string
}

// Error implements error.
func (e *usageError) Error() string { return e.Text }

func newClient(server netip.AddrPort, key, output string) *client {
	return &client{server: server, key: key, output: output, http: &http.Client{Timeout: callTimeout}}
}

// call sends a request and decodes the JSON response into the target. A response with
// a status of 400 or more is returned as a refusedError.
func (c *client) call(ctx context.Context, method, path string, body []byte, target any) (status int, err error) {
	defer fault.Annotate(&err, "entry %s", c.server)
	address := fmt.Sprintf("http://%s%s", c.server, path)
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		refusal := &refusedError{}
		if json.Unmarshal(data, refusal) != nil || refusal.Text == "" {
			refusal.Text = response.Status
		}
		return response.StatusCode, refusal
	}
	return response.StatusCode, json.Unmarshal(data, target)
}

// print writes a value to standard output as JSON, or calls text to print it as text.
func (c *client) print(value any, printText func()) {
	if c.output == outputText {
		printText()
		return
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// readFile reads a file, or standard input if the path is "-".
func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

func (c *client) check(ctx context.Context, path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	var result struct {
		Valid bool `json:"valid"`
	}
	if _, err = c.call(ctx, http.MethodPost, "/check", data, &result); err != nil {
		return err
	}
	c.print(result, func() { fmt.Println("the document is valid") })
	return nil
}

func (c *client) diff(ctx context.Context, path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	var result struct {
		Revision uint64            `json:"revision"`
		Changes  []document.Change `json:"changes"`
	}
	if _, err = c.call(ctx, http.MethodPost, "/diff", data, &result); err != nil {
		return err
	}
	c.print(result, func() {
		fmt.Printf("against revision %d:\n", result.Revision)
		for _, change := range result.Changes {
			printChange(change)
		}
	})
	return nil
}

func printChange(change document.Change) {
	switch {
	case change.Before == "":
		fmt.Printf("  + %s = %s\n", change.Path, change.After)
	case change.After == "":
		fmt.Printf("  - %s = %s\n", change.Path, change.Before)
	default:
		fmt.Printf("  ~ %s = %s, was %s\n", change.Path, change.After, change.Before)
	}
}

// apply replaces the document. Without a revision it replaces the current one, which
// it reads first.
func (c *client) apply(ctx context.Context, path string, revision *uint64) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	if revision == nil {
		current, _, err := c.readDocument(ctx)
		if err != nil {
			return err
		}
		revision = &current
	}
	return c.change(ctx, http.MethodPut, fmt.Sprintf("/config?revision=%d", *revision), data)
}

func (c *client) readDocument(ctx context.Context) (revision uint64, text json.RawMessage, err error) {
	var result struct {
		Revision uint64          `json:"revision"`
		Document json.RawMessage `json:"document"`
	}
	_, err = c.call(ctx, http.MethodGet, "/config", nil, &result)
	return result.Revision, result.Document, err
}

func (c *client) show(ctx context.Context) error {
	revision, text, err := c.readDocument(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "revision %d\n", revision)
	fmt.Println(string(text))
	return nil
}

// change sends a request that changes the configuration, and prints at which entries the
// change is not in force yet. If there are any it returns a pendingError.
func (c *client) change(ctx context.Context, method, path string, body []byte) error {
	var applied entry.Applied
	status, err := c.call(ctx, method, path, body, &applied)
	if err != nil {
		return err
	}
	c.print(applied, func() {
		fmt.Printf("revision %d: %s\n", applied.Revision, applied.State)
		for _, name := range applied.Behind {
			fmt.Printf("  not yet at %s\n", name)
		}
	})
	if status == http.StatusAccepted {
		return &pendingError{}
	}
	return nil
}

// changeKey adds or removes a key of a team. An empty key is read from the first line
// of standard input.
func (c *client) changeKey(ctx context.Context, method, team, key string) error {
	if key == "" {
		line, err := bufio.NewReader(os.Stdin).ReadString('\n')
		if err != nil && line == "" {
			return &usageError{Text: "no key on standard input"}
		}
		key = strings.TrimSpace(line)
	}
	path := fmt.Sprintf("/teams/%s/keys/%s", url.PathEscape(team), document.Digest(key))
	return c.change(ctx, method, path, nil)
}

// changeFleet sends a request that changes the fleet, and prints its new revision.
func (c *client) changeFleet(ctx context.Context, path string) error {
	var result struct {
		Revision uint64 `json:"revision"`
	}
	if _, err := c.call(ctx, http.MethodPost, path, nil, &result); err != nil {
		return err
	}
	c.print(result, func() { fmt.Printf("fleet revision %d\n", result.Revision) })
	return nil
}

func (c *client) status(ctx context.Context) error {
	var status operator.Status
	if _, err := c.call(ctx, http.MethodGet, "/status", nil, &status); err != nil {
		return err
	}
	c.print(status, func() { printStatus(status) })
	return nil
}

func printStatus(s operator.Status) {
	fmt.Printf("config revision %d, fleet revision %d, platform reached: %t\n", s.Config, s.Fleet, s.Reached)
	for _, e := range s.Entries {
		fmt.Printf("entry %s in %s: config %d, fleet %d\n", e.Entry, e.Centre, e.Config, e.Fleet)
	}
	for name, pool := range s.Pools {
		fmt.Printf("pool %s: %d serving, %d out, %d waiting here\n", name, pool.Serving, pool.Out, s.Waiting[name])
	}
	for _, d := range s.Drains {
		fmt.Printf("instance %s: %s (%s) %s\n", d.Instance, d.State, d.Reason, strings.Join(d.Busy, ", "))
	}
}

func (c *client) dump(ctx context.Context) error {
	var dump json.RawMessage
	if _, err := c.call(ctx, http.MethodGet, "/dump", nil, &dump); err != nil {
		return err
	}
	fmt.Println(string(dump))
	return nil
}
