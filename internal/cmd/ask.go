package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/pkg/client"
)

func askCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "ask",
		Usage:     "send a query and print the answer with its snapshot and coverage",
		ArgsUsage: "QUERY",
		Description: `Examples:
   fireflylanding ask --entry 127.0.0.1:8080 --plan nykterida-urgent --collection care-desk "lamp 4711"
   fireflylanding ask --entry 127.0.0.1:8080 --plan nykterida-urgent --collection dispatch-tool --once order-4711 "dispatch lamp 4711"`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "`ADDRESS` of a node that serves the directory", Required: true},
			&cli.StringFlag{Name: "plan", Usage: "plan of the query", Required: true},
			&cli.StringFlag{Name: "collection", Usage: "collection to search", Required: true},
			&cli.StringFlag{Name: "once", Usage: "mark the query as non-idempotent and route it by this `KEY`"},
			&cli.StringFlag{Name: "caller", Usage: "name of the caller", Value: "ask"},
			&cli.StringFlag{Name: "zone", Usage: "availability zone of the caller"},
			&cli.DurationFlag{Name: "deadline", Usage: "maximum time to wait for the answer", Value: client.DefaultDeadline},
			&cli.IntFlag{Name: "limit", Usage: "maximum number of hits", Value: 10},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return withCode(exitUsage, errors.New("ask needs exactly one query"))
			}
			return ask(ctx, command, stdout)
		},
	}
}

func ask(ctx context.Context, command *cli.Command, stdout io.Writer) error {
	settings := client.Settings{
		Addresses:        command.StringSlice("entry"),
		Caller:           command.String("caller"),
		AvailabilityZone: command.String("zone"),
	}
	var c *client.Client
	var err error
	if c, err = client.New(settings); err != nil {
		return withCode(exitUsage, err)
	}
	defer c.Close()
	options := []client.QuestionOption{
		client.WithLimit(command.Int("limit")),
		client.WithDeadline(command.Duration("deadline")),
	}
	if key := command.String("once"); key != "" {
		options = append(options, client.NonIdempotent(key))
	}
	question := client.NewQuestion(command.String("plan"), command.String("collection"), command.Args().First(), options...)
	began := time.Now()
	var answer client.Answer
	if answer, err = c.Ask(ctx, question); err != nil {
		return withRunStateCode(err)
	}
	printAnswer(stdout, answer, time.Since(began))
	if !answer.Coverage().Complete() {
		return withCode(exitPartial, errors.New("the answer does not reflect all shards"))
	}
	return nil
}

// withRunStateCode returns the error with the exit code of its run state if it is a refusal.
func withRunStateCode(err error) error {
	refusal := client.AsRefusal(err)
	if refusal == nil {
		return err
	}
	if refusal.Run() == client.NotRun {
		return withCode(exitNotRun, err)
	}
	return withCode(exitUnknown, err)
}

func printAnswer(w io.Writer, answer client.Answer, took time.Duration) {
	fmt.Fprintf(w, "snapshot %d, %s, %d of %d shards reflected", answer.Snapshot(), took.Round(time.Millisecond),
		answer.Coverage().Reflected(), answer.Coverage().Total())
	var missing []string
	for _, m := range answer.Coverage().Missing() {
		missing = append(missing, fmt.Sprintf("%d (%s)", m.Shard(), m.Reason()))
	}
	if len(missing) > 0 {
		fmt.Fprintf(w, ", missing %s", strings.Join(missing, ", "))
	}
	fmt.Fprintln(w)
	for _, hit := range answer.Hits() {
		fmt.Fprintf(w, "%8.4f  %s\n", hit.Score(), hit.ID())
	}
}
