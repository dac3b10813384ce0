package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/sizing"
)

func capacityCommand(stdout, stderr io.Writer) *cli.Command {
	design := sizing.DesignSize()
	return &cli.Command{
		Name:  "capacity",
		Usage: "compute the state, messages, CPU and memory of each role from measured slopes",
		Description: `Examples:
   fireflylanding capacity
   fireflylanding capacity --nodes 100 --searchers 1000 --queries 5000
   fireflylanding capacity --update docs/CAPACITY.md
   fireflylanding capacity --measure > internal/sizing/slopes.json`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "nodes", Usage: "number of nodes", Value: design.Nodes},
			&cli.IntFlag{Name: "searchers", Usage: "number of searchers", Value: design.Searchers},
			&cli.IntFlag{Name: "queries", Usage: "total queries per second of all callers", Value: design.Queries},
			&cli.IntFlag{Name: "fanout", Usage: "number of searchers that a query reaches", Value: design.Fanout},
			&cli.IntFlag{Name: "regions", Usage: "number of regions", Value: design.Regions},
			&cli.IntFlag{Name: "zones", Usage: "total number of availability zones", Value: design.Zones},
			&cli.IntFlag{Name: "changes", Usage: "configuration changes per day", Value: design.Changes},
			&cli.StringFlag{Name: "update", Usage: "replace the tables in this `PAGE` instead of printing them"},
			&cli.BoolFlag{Name: "measure", Usage: "measure the slopes and print them as JSON; takes several minutes"},
			&cli.StringFlag{Name: "part", Usage: "measure only this `PART`: " + sizing.PartNames()},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Bool("measure") {
				return measureSlopes(ctx, command.String("part"), stdout, stderr)
			}
			return capacity(command, stdout)
		},
	}
}

func capacity(command *cli.Command, stdout io.Writer) error {
	size := sizing.Size{
		Nodes:     command.Int("nodes"),
		Searchers: command.Int("searchers"),
		Queries:   command.Int("queries"),
		Fanout:    command.Int("fanout"),
		Regions:   command.Int("regions"),
		Zones:     command.Int("zones"),
		Changes:   command.Int("changes"),
	}
	if err := size.Validate(); err != nil {
		return withCode(exitUsage, err)
	}
	slopes, err := sizing.CommittedSlopes()
	if err != nil {
		return err
	}
	var tables []sizing.Table
	if tables, err = sizing.NewModel(size, slopes).Tables(); err != nil {
		return err
	}
	if page := command.String("update"); page != "" {
		return updatePage(page, tables)
	}
	for _, table := range tables {
		fmt.Fprintf(stdout, "## %s\n\n%s\n", table.Name(), table.Markdown())
	}
	return nil
}

func updatePage(page string, tables []sizing.Table) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read page to update")
	}
	var updated string
	if updated, err = sizing.ReplaceTables(string(text), tables); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(page, []byte(updated), 0o644), "write updated page")
}

// measureSlopes measures the slopes and prints them with the error of each fit.
func measureSlopes(ctx context.Context, part string, stdout, stderr io.Writer) error {
	slopes, err := sizing.Measure(ctx, part, stderr)
	if err != nil {
		return err
	}
	var data []byte
	if data, err = slopes.JSON(); err != nil {
		return err
	}
	_, err = stdout.Write(data)
	return err
}
