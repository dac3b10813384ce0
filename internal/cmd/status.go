package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/strict"
)

const (
	statusTimeout  = 5 * time.Second
	maxStatusBytes = 64 << 20
)

func statusCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the status of a node: configuration revisions, members, searchers, limits and refusals by reason",
		Description: `Example:
   fireflylanding status --admin 127.0.0.1:8082
   fireflylanding status --admin 10.1.0.39:9464    # a node on the platform, by its metrics address`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Usage: "`ADDRESS` of the node's administration API", Required: true},
			&cli.BoolFlag{Name: "metrics", Usage: "show the metrics instead of the status"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			path := "/v1/status"
			if command.Bool("metrics") {
				path = "/v1/metrics"
			}
			return printStatus(stdout, "http://"+command.String("admin")+path)
		},
	}
}

func printStatus(w io.Writer, uri string) error {
	body, err := readAdmin(uri, "status")
	if err != nil {
		return err
	}
	fmt.Fprintln(w, string(body))
	return nil
}

// readAdmin returns the response of a node's administration address; what names it in errors.
func readAdmin(uri, what string) ([]byte, error) {
	var code int
	var body []byte
	var err error
	client := fasthttp.Client{Transport: strict.NewTransport(maxStatusBytes)}
	defer client.CloseIdleConnections()
	if code, body, err = client.GetTimeout(nil, uri, statusTimeout); err != nil {
		return nil, errors.Wrapf(err, "read %s", what)
	}
	if code != fasthttp.StatusOK {
		return nil, errors.Newf("node responded with status %d: %s", code, body)
	}
	return body, nil
}
