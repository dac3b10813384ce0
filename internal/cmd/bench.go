package cmd

import (
	"context"
	"io"
	"os"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/bench"
)

func benchCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure scenarios with simulated searchers in this process, compare them with FIFO queues and check the promises",
		Description: `Examples:
   fireflylanding bench
   fireflylanding bench --scenario bulk-flood --ablate --json result.json --plot result.svg
   fireflylanding bench --scenario throughput --profile cpu.out
   fireflylanding bench --customer nykterida`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "scenario", Usage: "`NAME` of a scenario to measure; all scenarios by default"},
			&cli.StringSliceFlag{Name: "variant", Usage: "`NAME` of a variant to measure instead of the variants of the scenario"},
			&cli.BoolFlag{Name: "ablate", Usage: "compare with variants that have one mechanism disabled each"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of arrivals, texts and service times", Value: bench.DefaultSeed},
			&cli.FloatFlag{Name: "scale", Usage: "factor for all durations of the scenarios", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "write the results to `FILE` as JSON"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot to `FILE` (.svg or .png)"},
			&cli.StringFlag{Name: "customer", Usage: "measure the fleet of customer `NAME` (nykterida or swanline) at its specified size instead of scenarios"},
			&cli.StringFlag{Name: "examples", Usage: "`DIRECTORY` that contains the customers' lists of plans and uses", Value: "examples"},
			&cli.StringFlag{Name: "profile", Usage: "write a CPU profile to `FILE`"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runBench(ctx, command, stdout, stderr)
		},
	}
}

func runBench(ctx context.Context, command *cli.Command, stdout, stderr io.Writer) error {
	if file := command.String("profile"); file != "" {
		profile, err := os.Create(file)
		if err != nil {
			return err
		}
		defer profile.Close()
		if err := pprof.StartCPUProfile(profile); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	if command.IsSet("customer") {
		return runCustomer(ctx, command, stdout)
	}
	report, err := bench.Run(ctx, bench.Settings{
		Scenarios: command.StringSlice("scenario"),
		Variants:  command.StringSlice("variant"),
		Ablate:    command.Bool("ablate"),
		Seed:      command.Uint64("seed"),
		Scale:     command.Float("scale"),
		Progress:  stderr,
	})
	if errors.Is(err, bench.ErrUnknownName) {
		return withCode(exitUsage, err)
	}
	if err != nil {
		return err
	}
	return writeReport(command, report, stdout)
}

// writeReport writes the report to all outputs that the flags select. It returns an error if a promise was violated.
func writeReport(command *cli.Command, report *bench.Report, stdout io.Writer) error {
	if err := report.WriteTable(stdout); err != nil {
		return err
	}
	if file := command.String("json"); file != "" {
		if err := writeFile(file, report.WriteJSON); err != nil {
			return err
		}
	}
	if file := command.String("plot"); file != "" {
		if err := report.Plot(file); err != nil {
			return err
		}
	}
	if n := report.Violations(); n > 0 {
		return errors.Newf("%d promises violated", n)
	}
	return nil
}

func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.CombineErrors(write(file), file.Close())
}
