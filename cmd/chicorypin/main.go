// Command chicorypin is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"

	"github.com/alexflint/go-arg"
)

// Exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
	exitPending = 4
)

// version is set by the linker.
var version = "development"

type fileCommand struct {
	File string `arg:"positional,required" help:"document, JSON; - for standard input"`
}

type applyCommand struct {
	File     string  `arg:"positional,required" help:"document, JSON; - for standard input"`
	Revision *uint64 `arg:"--revision" help:"revision that the document was made from [default: the current one]"`
}

type keyCommand struct {
	Team string `arg:"positional,required" help:"name of the team"`
	Key  string `arg:"positional" help:"the key; read from standard input if left out, so that it stays out of the shell's history"`
}

type keyCommands struct {
	Grant    *keyCommand `arg:"subcommand:grant" help:"give a team another key"`
	Withdraw *keyCommand `arg:"subcommand:withdraw" help:"take a key from a team"`
}

type instanceCommand struct {
	Instance string `arg:"positional,required" help:"name of the instance"`
}

type waveCommand struct {
	Do string `arg:"positional,required" help:"start, pause or resume"`
}

type emptyCommand struct{}

type arguments struct {
	Server netip.AddrPort `arg:"--server,env:CHICORYPIN_SERVER" help:"operators' address of any entry" default:"127.0.0.1:7002"`
	Key    string         `arg:"--key,env:CHICORYPIN_KEY" help:"operator key; better in the environment"`
	Output string         `arg:"--output" help:"text or json" default:"text"`

	Check  *fileCommand     `arg:"subcommand:check" help:"check a document against what runs"`
	Diff   *fileCommand     `arg:"subcommand:diff" help:"show what a document would change"`
	Apply  *applyCommand    `arg:"subcommand:apply" help:"put a document in force"`
	Show   *emptyCommand    `arg:"subcommand:show" help:"print the document in force"`
	Status *emptyCommand    `arg:"subcommand:status" help:"show entries, pools and drains"`
	Keys   *keyCommands     `arg:"subcommand:key" help:"grant or withdraw keys of teams"`
	Drain  *instanceCommand `arg:"subcommand:drain" help:"take an instance out of service"`
	Return *instanceCommand `arg:"subcommand:return" help:"put an instance back into service"`
	Wave   *waveCommand     `arg:"subcommand:wave" help:"start, pause or resume maintenance"`
	Dump   *emptyCommand    `arg:"subcommand:dump" help:"print the whole state of the entry"`
	Job    *jobCommands     `arg:"subcommand:job" help:"hand in, show and cancel jobs; --server is the submitters' address"`
	Verify *verifyCommand   `arg:"subcommand:verify" help:"check a configuration for jobs offline, before it is sent"`
	Cells  *cellsCommand    `arg:"subcommand:cells" help:"show cells, owners, queues and endpoints that are out"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "chicorypin drives the system through any of its entries."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 written but not in force everywhere yet."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "chicorypin " + version }

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil || args.Output != outputText && args.Output != outputJSON {
		parser.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	c := newClient(args.Server, args.Key, args.Output)
	err := run(ctx, c, args)
	stop()
	if err != nil && !errors.As(err, new(*pendingError)) {
		fmt.Fprintln(os.Stderr, "chicorypin:", err)
	}
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var refused *refusedError
	var pending *pendingError
	var usage *usageError
	var invalid *invalidConfigError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &pending):
		return exitPending
	case errors.As(err, &refused), errors.As(err, &invalid):
		return exitRefused
	}
	return exitFailed
}

func run(ctx context.Context, c *client, args arguments) error {
	switch {
	case args.Check != nil:
		return c.check(ctx, args.Check.File)
	case args.Diff != nil:
		return c.diff(ctx, args.Diff.File)
	case args.Apply != nil:
		return c.apply(ctx, args.Apply.File, args.Apply.Revision)
	case args.Show != nil:
		return c.show(ctx)
	case args.Status != nil:
		return c.status(ctx)
	case args.Keys != nil:
		return runKeys(ctx, c, args.Keys)
	case args.Drain != nil:
		return c.changeFleet(ctx, "/instances/"+args.Drain.Instance+"/drain")
	case args.Return != nil:
		return c.changeFleet(ctx, "/instances/"+args.Return.Instance+"/return")
	case args.Wave != nil:
		return c.changeFleet(ctx, "/wave?do="+args.Wave.Do)
	case args.Job != nil:
		return runJob(ctx, c, args.Job)
	case args.Verify != nil:
		return runVerify(os.Stdout, args.Verify, args.Verify.JSON || args.Output == outputJSON)
	case args.Cells != nil:
		return c.cells(ctx, args.Cells.Addresses)
	}
	return c.dump(ctx)
}

func runKeys(ctx context.Context, c *client, commands *keyCommands) error {
	switch {
	case commands.Grant != nil:
		return c.changeKey(ctx, "PUT", commands.Grant.Team, commands.Grant.Key)
	case commands.Withdraw != nil:
		return c.changeKey(ctx, "DELETE", commands.Withdraw.Team, commands.Withdraw.Key)
	}
	return &usageError{Text: "key needs grant or withdraw"}
}
