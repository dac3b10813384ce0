package cmd

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/bench"
)

// customerConflicts are the flags of bench that cannot be combined with --customer.
var customerConflicts = []string{"scenario", "variant", "ablate", "json", "plot"}

// runCustomer measures the fleet of a customer. It returns an error if a promise was violated.
func runCustomer(ctx context.Context, command *cli.Command, stdout io.Writer) error {
	for _, name := range customerConflicts {
		if command.IsSet(name) {
			return withCode(exitUsage, errors.Newf("--%s cannot be combined with --customer", name))
		}
	}
	report, err := bench.RunCustomer(ctx, bench.CustomerSettings{
		Name:     command.String("customer"),
		Examples: command.String("examples"),
		Seed:     command.Uint64("seed"),
		Scale:    command.Float("scale"),
	})
	if errors.Is(err, bench.ErrUnknownName) {
		return withCode(exitUsage, err)
	}
	if err != nil {
		return err
	}
	if err := report.WriteTable(stdout); err != nil {
		return err
	}
	if n := report.Violations(); n > 0 {
		return errors.Newf("%d promises violated", n)
	}
	return nil
}
