package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/daemon/fleet"
)

type jobArguments struct {
	Queue string `arg:"positional,required" help:"prefix of the queue, such as /rota/"`
	ID    string `arg:"positional,required" help:"16 hexadecimal digits"`
	Host  string `arg:"--host" help:"host of the queue"`
}

type submitCommand struct {
	jobArguments
	File string `arg:"positional,required" help:"the job, JSON; - for standard input"`
}

type pendingCommand struct {
	Queue string `arg:"positional,required" help:"prefix of the queue"`
	Host  string `arg:"--host" help:"host of the queue"`
}

type jobCommands struct {
	Submit  *submitCommand  `arg:"subcommand:submit" help:"hand a job in"`
	Show    *jobArguments   `arg:"subcommand:show" help:"print the state of a job"`
	Cancel  *jobArguments   `arg:"subcommand:cancel" help:"end a job"`
	Pending *pendingCommand `arg:"subcommand:pending" help:"count the jobs of a queue that have not begun"`
}

type cellsCommand struct {
	Addresses []string `arg:"positional,required" help:"metrics addresses of the entries"`
}

// runJob runs a job subcommand. The client's server is the submitters' address of an
// entry.
func runJob(ctx context.Context, c *client, commands *jobCommands) error {
	switch {
	case commands.Submit != nil:
		body, err := readFile(commands.Submit.File)
		if err != nil {
			return err
		}
		return c.callJob(ctx, http.MethodPost, commands.Submit.jobArguments, body)
	case commands.Show != nil:
		return c.callJob(ctx, http.MethodGet, *commands.Show, nil)
	case commands.Cancel != nil:
		return c.callJob(ctx, http.MethodDelete, *commands.Cancel, nil)
	case commands.Pending != nil:
		return c.callJob(ctx, http.MethodGet, jobArguments{Queue: commands.Pending.Queue, Host: commands.Pending.Host}, nil)
	}
	return &usageError{Text: "job needs submit, show, cancel or pending"}
}

// callJob sends a request for a job, or for a queue if the target has no ID, and prints
// the state or the number of pending jobs. A status other than 200 is returned as a
// refusedError.
func (c *client) callJob(ctx context.Context, method string, target jobArguments, body []byte) error {
	url := fmt.Sprintf("http://%s%s%s", c.server, target.Queue, target.ID)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if target.Host != "" {
		request.Host = target.Host
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var result struct {
		State   string `json:"state"`
		Pending *int   `json:"pending"`
		Error   string `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	switch {
	case response.StatusCode != http.StatusOK:
		message := result.Error
		if retryAfter := response.Header.Get("Retry-After"); retryAfter != "" {
			message += "; come back after " + retryAfter + " s"
		}
		return &refusedError{Text: message}
	case result.Pending != nil:
		fmt.Println(*result.Pending)
	default:
		fmt.Println(result.State)
	}
	return nil
}

// cells prints the cells that the entries at these metrics addresses own, as their
// dumps list them. Entries that cannot be read are left out and named in the error.
func (c *client) cells(ctx context.Context, addresses []string) (err error) {
	var dumps []fleet.Dump
	for _, hostPort := range addresses {
		dump, dumpErr := c.readDump(ctx, hostPort)
		if dumpErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", hostPort, dumpErr))
			continue
		}
		dumps = append(dumps, dump)
	}
	if c.output == outputJSON {
		return errors.Join(err, json.NewEncoder(os.Stdout).Encode(dumps))
	}
	printCells(os.Stdout, dumps)
	return err
}

func (c *client) readDump(ctx context.Context, hostPort string) (dump fleet.Dump, err error) {
	address, err := netip.ParseAddrPort(hostPort)
	if err != nil {
		return dump, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+fleet.DumpPath, http.NoBody)
	if err != nil {
		return dump, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return dump, err
	}
	defer response.Body.Close()
	return dump, json.NewDecoder(response.Body).Decode(&dump)
}

// printCells prints tables: the cells with their owners, the evacuated data centres if there
// are any, the endpoints that are out of service, and the run times that are expected if any
// are.
func printCells(out io.Writer, dumps []fleet.Dump) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "CELL\tOWNER\tEPOCH\tJOBS\tWAITING\tENDPOINTS\tOUT")
	for _, dump := range dumps {
		for _, cell := range slices.Sorted(maps.Keys(dump.Cells)) {
			state := dump.Cells[cell]
			waiting, out := 0, 0
			for _, q := range state.Queues {
				waiting += q.Waiting
			}
			for _, e := range state.Endpoints {
				if e.State != "" {
					out++
				}
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", cell, dump.Name, dump.Owners[cell].Epoch,
				state.Jobs, waiting, len(state.Endpoints), out)
		}
	}
	printEvacuated(w, dumps)
	fmt.Fprintln(w, "\nENDPOINT\tCELL\tRUNS\tWHY OUT")
	for _, dump := range dumps {
		for _, cell := range slices.Sorted(maps.Keys(dump.Cells)) {
			for _, e := range dump.Cells[cell].Endpoints {
				if e.State != "" {
					fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", e.ID, cell, e.Runs, e.State)
				}
			}
		}
	}
	printRunTimes(w, dumps)
}

// printRunTimes prints the expected run times by queue and step, nothing if no cell predicts
// any.
func printRunTimes(w io.Writer, dumps []fleet.Dump) {
	isFirst := true
	for _, dump := range dumps {
		for _, cell := range slices.Sorted(maps.Keys(dump.Cells)) {
			for _, r := range dump.Cells[cell].RunTimes {
				if isFirst {
					fmt.Fprintln(w, "\nQUEUE\tSTEP\tCELL\tMEDIAN\t95%\tCONFIDENCE\tRUNS")
					isFirst = false
				}
				fmt.Fprintf(w, "%s\t%d\t%s\t%v\t%v\t%.2f\t%d\n", r.Queue, r.Step, cell,
					r.Median.Round(time.Millisecond), r.Upper.Round(time.Millisecond), r.Confidence, r.Runs)
			}
		}
	}
}
