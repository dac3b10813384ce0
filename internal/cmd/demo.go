package cmd

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/demo"
)

func demoCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run six nodes with a simulated platform and searchers in one process, send queries and print a report; ends within a minute",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "queries", Usage: "number of queries", Value: 600},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			settings := demo.Settings{Queries: command.Int("queries")}
			if isTerminal(stderr) {
				settings.Progress = stderr
			}
			return demo.Run(ctx, stdout, settings)
		},
	}
}

// isTerminal reports whether the writer is a terminal, on which progress can be shown.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
