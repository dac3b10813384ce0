package cmd

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/story"
)

func explainCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain from log lines what happened to a request",
		ArgsUsage: "ID [FILE ...]",
		Description: `Reads the log lines of one or more nodes from the files, or from standard input if no file is given.

Example:
   fireflylanding explain 9c41d07be2a35f68 front-1.log front-2.log`,
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() == 0 {
				return withCode(exitUsage, errors.New("the id of a request is missing"))
			}
			return explain(stdout, command.Args().First(), command.Args().Tail())
		},
	}
}

func explain(stdout io.Writer, request string, paths []string) error {
	if len(paths) == 0 {
		return story.Explain(stdout, request, os.Stdin)
	}
	var logs []io.Reader
	for _, path := range paths {
		var file *os.File
		var err error
		if file, err = os.Open(path); err != nil {
			return err
		}
		defer file.Close()
		logs = append(logs, file)
	}
	return story.Explain(stdout, request, logs...)
}
