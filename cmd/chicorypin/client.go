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

// Forms of output.
const (
	outputText = "text"
	outputJSON = "json"
)

// callTimeout bounds one call; an apply waits for all entries meanwhile.
const callTimeout = 20 * time.Second

// client calls the operators' API of one entry.
type client struct {
	server netip.AddrPort
	key    string
	output string
	http   *http.Client
}

// refusedError is an answer that says no.
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

// pendingError reports a change that is not in force everywhere yet.
type pendingError struct{}

// Error implements error.
func (e *pendingError) Error() string { return "not in force everywhere yet" }

// usageError reports a call that cannot be understood.
type usageError struct {
	Text string
}

// Error implements error.
func (e *usageError) Error() string { return e.Text }

func newClient(server netip.AddrPort, key, output string) *client {
	return &client{server: server, key: key, output: output, http: &http.Client{Timeout: callTimeout}}
}

// call makes one call and decodes its answer. A refusal is an error.
func (c *client) call(ctx context.Context, method, path string, body []byte, target any) (status int, err error) {
	defer fault.Annotate(&err, "entry %s", c.server)
	address := fmt.Sprintf("http://%s%s", c.server, path)
	r, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		refused := &refusedError{}
		if json.Unmarshal(data, refused) != nil || refused.Text == "" {
			refused.Text = response.Status
		}
		return response.StatusCode, refused
	}
	return response.StatusCode, json.Unmarshal(data, target)
}

// print writes an answer as JSON, or as text by the function.
func (c *client) print(answer any, text func()) {
	if c.output == outputText {
		text()
		return
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(answer)
}

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
	var answer struct {
		Valid bool `json:"valid"`
	}
	if _, err = c.call(ctx, http.MethodPost, "/check", data, &answer); err != nil {
		return err
	}
	c.print(answer, func() { fmt.Println("the document is valid") })
	return nil
}

func (c *client) diff(ctx context.Context, path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	var answer struct {
		Revision uint64            `json:"revision"`
		Changes  []document.Change `json:"changes"`
	}
	if _, err = c.call(ctx, http.MethodPost, "/diff", data, &answer); err != nil {
		return err
	}
	c.print(answer, func() {
		fmt.Printf("against revision %d:\n", answer.Revision)
		for _, change := range answer.Changes {
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

func (c *client) apply(ctx context.Context, path string, revision *uint64) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	if revision == nil {
		current, _, err := c.read(ctx)
		if err != nil {
			return err
		}
		revision = &current
	}
	return c.change(ctx, http.MethodPut, fmt.Sprintf("/config?revision=%d", *revision), data)
}

func (c *client) read(ctx context.Context) (revision uint64, text json.RawMessage, err error) {
	var answer struct {
		Revision uint64          `json:"revision"`
		Document json.RawMessage `json:"document"`
	}
	_, err = c.call(ctx, http.MethodGet, "/config", nil, &answer)
	return answer.Revision, answer.Document, err
}

func (c *client) show(ctx context.Context) error {
	revision, text, err := c.read(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "revision %d\n", revision)
	fmt.Println(string(text))
	return nil
}

// change makes a call whose answer tells whether it is in force everywhere.
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

func (c *client) changeFleet(ctx context.Context, path string) error {
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	if _, err := c.call(ctx, http.MethodPost, path, nil, &answer); err != nil {
		return err
	}
	c.print(answer, func() { fmt.Printf("fleet revision %d\n", answer.Revision) })
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
