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

	"gitlab.com/chicorypin/chicorypin/internal/daemon/fleet"
)

type jobTarget struct {
	Queue string `arg:"positional,required" help:"prefix of the queue, such as /rota/"`
	ID    string `arg:"positional,required" help:"16 hexadecimal digits"`
	Host  string `arg:"--host" help:"host of the queue"`
}

type submitCommand struct {
	jobTarget
	File string `arg:"positional,required" help:"the job, JSON; - for standard input"`
}

type pendingCommand struct {
	Queue string `arg:"positional,required" help:"prefix of the queue"`
	Host  string `arg:"--host" help:"host of the queue"`
}

type jobCommands struct {
	Submit  *submitCommand  `arg:"subcommand:submit" help:"hand a job in"`
	Show    *jobTarget      `arg:"subcommand:show" help:"print the state of a job"`
	Cancel  *jobTarget      `arg:"subcommand:cancel" help:"end a job"`
	Pending *pendingCommand `arg:"subcommand:pending" help:"count the jobs of a queue that have not begun"`
}

type cellsCommand struct {
	Addresses []string `arg:"positional,required" help:"metrics addresses of the entries"`
}

// runJob carries out a job command at the submitters' address.
func runJob(ctx context.Context, c *client, commands *jobCommands) error {
	switch {
	case commands.Submit != nil:
		body, err := readFile(commands.Submit.File)
		if err != nil {
			return err
		}
		return c.job(ctx, http.MethodPost, commands.Submit.jobTarget, body)
	case commands.Show != nil:
		return c.job(ctx, http.MethodGet, *commands.Show, nil)
	case commands.Cancel != nil:
		return c.job(ctx, http.MethodDelete, *commands.Cancel, nil)
	case commands.Pending != nil:
		return c.job(ctx, http.MethodGet, jobTarget{Queue: commands.Pending.Queue, Host: commands.Pending.Host}, nil)
	}
	return &usageError{Text: "job needs submit, show, cancel or pending"}
}

func (c *client) job(ctx context.Context, method string, target jobTarget, body []byte) error {
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
	var answer struct {
		State   string `json:"state"`
		Pending *int   `json:"pending"`
		Error   string `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	switch {
	case response.StatusCode != http.StatusOK:
		text := answer.Error
		if retry := response.Header.Get("Retry-After"); retry != "" {
			text += "; come back after " + retry + " s"
		}
		return &refusedError{Text: text}
	case answer.Pending != nil:
		fmt.Println(*answer.Pending)
	default:
		fmt.Println(answer.State)
	}
	return nil
}

// cells shows what the entries say of the cells that they own.
func (c *client) cells(ctx context.Context, addresses []string) (err error) {
	var dumps []fleet.Dump
	for _, text := range addresses {
		dump, failure := c.readDump(ctx, text)
		if failure != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", text, failure))
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

func (c *client) readDump(ctx context.Context, text string) (dump fleet.Dump, err error) {
	address, err := netip.ParseAddrPort(text)
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
}
