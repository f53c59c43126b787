// Package command implements the command line of loadgen.
//
// # Usage
//
//	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"pollenspindle.example/pollenspindle/internal/loadgen"
	"pollenspindle.example/pollenspindle/internal/loadgen/caller"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/loadgen/page"
	"pollenspindle.example/pollenspindle/internal/loadgen/pair"
	"pollenspindle.example/pollenspindle/internal/loadgen/workload"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	// ExitFaults means that tokens or effects were duplicated, lost, mixed up or falsely
	// reported.
	ExitFaults = 3
)

// CLI defines the commands.
type CLI struct {
	Run     RunCmd     `cmd:"" help:"Send one deployment's workload and print what callers got."`
	Pair    PairCmd    `cmd:"" help:"Compare the latency through an instance with that of its engine."`
	Compare CompareCmd `cmd:"" help:"Print a table of several runs."`
	Report  ReportCmd  `cmd:"" help:"Write a page with plots of several runs."`
}

type streams struct {
	out io.Writer
	err io.Writer
}

// faultsError makes Main return ExitFaults.
type faultsError struct{ count int64 }

// Error implements error.
func (e faultsError) Error() string { return fmt.Sprintf("%d faults in tokens or effects", e.count) }

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var cli CLI
	exited := false
	parser, err := kong.New(&cli, kong.Name("loadgen"), kong.Writers(stdout, stderr),
		kong.Description("Drives callers of pollenspindle and measures what they get."),
		kong.Exit(func(int) { exited = true }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	kctx, err := parser.Parse(args)
	switch {
	case exited:
		return ExitOK
	case err != nil:
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	err = kctx.Run(&streams{out: stdout, err: stderr})
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, err)
	var faults faultsError
	if errors.As(err, &faults) {
		return ExitFaults
	}
	return ExitFailure
}

// RunCmd sends a deployment's workload to a running system.
type RunCmd struct {
	Instances []string `required:"" help:"Addresses of entry instances to ask for the list of instances." placeholder:"HOST:PORT,..."`
	Engines   []string `help:"Addresses of engine stand-ins whose ledgers are read." placeholder:"HOST:PORT,..."`
	Services  []string `help:"Addresses of service stand-ins whose ledgers are read." placeholder:"HOST:PORT,..."`
	PIDs      []int    `name:"pids" help:"Processes whose CPU time and memory are measured." placeholder:"PID,..."`
	Direct    bool     `help:"Send to the first address without asking for the list: it is an engine."`

	Mix             string        `default:"inyange" enum:"inyange,mavuno" help:"Mix of requests (inyange, mavuno)."`
	Rate            float64       `default:"5" help:"Mean number of requests per second."`
	Duration        time.Duration `default:"30s" help:"Time during which requests arrive, at most an hour."`
	Drain           time.Duration `default:"60s" help:"Time that open requests have to end after that."`
	Max             int           `default:"100000" help:"Maximum number of requests."`
	MaxOpen         int           `default:"4096" help:"Maximum number of open requests."`
	Seed            uint64        `default:"1" help:"Seed of the mix, arrivals and prompts."`
	GenerationsOnly bool          `help:"Leave out the calls to plain services."`

	Patience        time.Duration `default:"10s" help:"Time during which a refused interactive request is retried."`
	PatientPatience time.Duration `default:"60s" help:"Time during which a refused patient request is retried."`
	Silence         time.Duration `default:"15s" help:"Time without data after which a stream is resumed through another instance."`
	StallThreshold  time.Duration `default:"168ms" help:"Minimum time between tokens that counts as a stall."`

	EngineZones []string           `help:"Availability zones of the engines, in their order." placeholder:"ZONE,..."`
	Mark        map[string]float64 `help:"Second of the run at which an event is caused on purpose; shown in plots." placeholder:"NAME=SECOND"`

	Label string `help:"Name of the run in the table."`
	JSON  string `name:"json" help:"File for the full report." placeholder:"FILE"`
}

// maxDuration limits the duration of a run and of its drain.
const maxDuration = time.Hour

// Validate is called by kong after parsing.
func (r *RunCmd) Validate() error {
	if r.Duration <= 0 || r.Duration > maxDuration || r.Drain > maxDuration {
		return fmt.Errorf("--duration and --drain must be between 0 and %s", maxDuration)
	}
	return nil
}

// Run sends the workload and prints the report.
func (r *RunCmd) Run(ctx context.Context, s *streams) error {
	report, err := loadgen.Run(ctx, r.options())
	if err != nil {
		return err
	}
	if r.JSON != "" {
		if err := writeReport(r.JSON, report); err != nil {
			return err
		}
	}
	if err := measure.WriteTable(s.out, report); err != nil {
		return err
	}
	report.WriteDetails(s.out)
	faults := report.Faults.Total()
	if e := report.Effects; e != nil {
		faults += e.Duplicated + e.FalseNotRun + e.Missing
	}
	if faults > 0 {
		return faultsError{faults}
	}
	return nil
}

func (r *RunCmd) options() loadgen.Options {
	return loadgen.Options{
		Label: r.Label, Instances: r.Instances, Engines: r.Engines, Services: r.Services, PIDs: r.PIDs,
		EngineZones: r.EngineZones, Marks: r.Mark,
		Workload: workload.Options{
			Mix: workload.Mix(r.Mix), Seed: r.Seed, Rate: r.Rate, Duration: r.Duration, Max: r.Max,
			GenerationsOnly: r.GenerationsOnly || r.Direct,
		},
		Caller: caller.Options{
			Direct: r.Direct, RetryTimeout: r.Patience, PatientRetryTimeout: r.PatientPatience, IdleTimeout: r.Silence,
		},
		Measure: measure.Options{StallThreshold: r.StallThreshold},
		MaxOpen: r.MaxOpen, Drain: r.Drain,
	}
}

// PairCmd measures the latency that an instance adds.
type PairCmd struct {
	Instance string `required:"" help:"Address of an entry instance whose only engine is the one below." placeholder:"HOST:PORT"`
	Engine   string `required:"" help:"Address of an engine stand-in that runs with --stamp." placeholder:"HOST:PORT"`
	Token    string `required:"" help:"Bearer token of a workspace."`
	Model    string `required:"" help:"Model to ask for."`
	Pairs    int    `default:"50" help:"Number of requests on each path."`
	Tokens   int    `default:"40" help:"Maximum number of tokens of each request."`
}

// Run prints the comparison.
func (p *PairCmd) Run(ctx context.Context, s *streams) error {
	result, err := pair.Run(ctx, pair.Options{
		Engine: p.Engine, Instance: p.Instance, Token: p.Token, Model: p.Model, Pairs: p.Pairs, Tokens: p.Tokens,
	})
	if err != nil {
		return err
	}
	return result.WriteTable(s.out)
}

// CompareCmd prints a table of several reports.
type CompareCmd struct {
	Files []string `arg:"" help:"Reports written with run --json."`
}

// Run prints the table.
func (c *CompareCmd) Run(s *streams) error {
	reports, err := readReports(c.Files)
	if err != nil {
		return err
	}
	return measure.WriteTable(s.out, reports...)
}

// ReportCmd writes a page with plots.
type ReportCmd struct {
	Out   string   `default:"out/report" help:"Directory for the page and its plots." placeholder:"DIR"`
	Title string   `default:"Measured runs" help:"Title of the page."`
	Files []string `arg:"" help:"Reports written with run --json."`
}

// Run writes the page.
func (c *ReportCmd) Run(_ *streams) error {
	reports, err := readReports(c.Files)
	if err != nil {
		return err
	}
	return page.Write(c.Out, c.Title, reports)
}

func readReports(files []string) ([]measure.Report, error) {
	var reports []measure.Report
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var report measure.Report
		if err := json.Unmarshal(data, &report); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

const reportMode = 0o644

func writeReport(file string, report measure.Report) error {
	data, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), reportMode)
}
