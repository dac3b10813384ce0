package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/sigs"
	"github.com/fireflylanding/fireflylanding/internal/soak"
)

func soakCommand(signals *sigs.Owner, stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run this program as several processes on loopback, inject random faults and check the promises",
		Description: `The logs of the nodes are kept, and their directory is printed, if a promise was broken.

Example:
   fireflylanding soak --seed 1 --seeds 10`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of consecutive seeds to run", Value: 1},
			&cli.IntFlag{Name: "rounds", Usage: "rounds of fault injection for each seed", Value: 2},
			&cli.IntFlag{Name: "nodes", Usage: "number of node processes", Value: 6},
			&cli.IntFlag{Name: "shards", Usage: "number of shards, with three searchers each", Value: 4},
			&cli.IntFlag{Name: "callers", Usage: "number of callers", Value: 12},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			ctx, stop := signals.Ending(ctx)
			defer stop()
			return runSoak(ctx, command, stdout)
		},
	}
}

func runSoak(ctx context.Context, command *cli.Command, stdout io.Writer) error {
	var binary string
	var err error
	if binary, err = os.Executable(); err != nil {
		return err
	}
	failedSeeds := 0
	for i := range command.Int("seeds") {
		seed := command.Uint64("seed") + uint64(i)
		var directory string
		if directory, err = os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed)); err != nil {
			return err
		}
		var report soak.Report
		report, err = soak.Run(ctx, soak.Settings{
			Binary: binary, Seed: seed, Rounds: command.Int("rounds"), Nodes: command.Int("nodes"), Shards: command.Int("shards"),
			Callers: command.Int("callers"), Directory: directory,
		})
		if err == nil {
			// The report of a soak that was cut short is incomplete.
			err = context.Cause(ctx)
		}
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Fprintf(stdout, "seed %d: %d of %d requests served, %d promises broken; faults: %v\n", seed, report.Served, report.Requests,
			len(report.Violations), report.Faults)
		if len(report.Violations) == 0 {
			if err := os.RemoveAll(directory); err != nil {
				return err
			}
			continue
		}
		failedSeeds++
		for _, v := range report.Violations {
			fmt.Fprintf(stdout, "  %s\n", v)
		}
		fmt.Fprintf(stdout, "  logs: %s\n", directory)
	}
	if failedSeeds > 0 {
		return errors.Newf("%d seeds broke a promise", failedSeeds)
	}
	return nil
}
