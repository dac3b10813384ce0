package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/sigs"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// listPollInterval is the interval at which the list files are checked for changes.
const listPollInterval = time.Second

func standinsCommand(signals *sigs.Owner, stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "standins",
		Usage: "run a simulated platform and simulated searchers, to try out nodes as separate processes",
		Description: `Example:
   fireflylanding standins --customer nykterida --node examples/local/attica.ini --node examples/local/kriti.ini`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "customer", Usage: "customer whose searchers are simulated: nykterida or swanline", Value: "nykterida"},
			&cli.StringFlag{Name: "address", Usage: "`ADDRESS` of the configuration service", Value: "127.0.0.1:8000"},
			&cli.StringSliceFlag{Name: "node", Usage: "settings `FILE` of a node to add to the VM list"},
			&cli.StringFlag{Name: "plans", Usage: "publish this `FILE` as the list of plans, and republish it when it changes"},
			&cli.StringFlag{Name: "uses", Usage: "publish this `FILE` as the list of uses, and republish it when it changes"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			ctx, stop := signals.Stopping(ctx)
			defer stop()
			return runStandins(ctx, command, stdout)
		},
	}
}

func runStandins(ctx context.Context, command *cli.Command, stdout io.Writer) error {
	var settings fakes.FleetSettings
	switch customer := command.String("customer"); customer {
	case "nykterida":
		settings = fakes.Nykterida()
	case "swanline":
		settings = fakes.Swanline()
	default:
		return withCode(exitUsage, errors.Newf("unknown customer %q: must be nykterida or swanline", customer))
	}
	settings = settings.WithPlatform(fakes.PlatformSettings{}.WithAddress(command.String("address")))
	var fleet *fakes.Fleet
	var err error
	if fleet, err = fakes.StartFleet(settings); err != nil {
		return err
	}
	defer fleet.Close()
	for _, file := range command.StringSlice("node") {
		if err = publishNode(fleet, file); err != nil {
			return err
		}
	}
	fmt.Fprintf(stdout, "configuration service at %s\n", fleet.Platform().Address())
	lists := []*publishedFile{
		{key: plans.PlansKey, file: command.String("plans")},
		{key: plans.UsesKey, file: command.String("uses")},
	}
	return publishFiles(ctx, fleet.Platform(), lists, stdout)
}

// publishNode adds a node to the VM list, as the platform would.
func publishNode(fleet *fakes.Fleet, file string) error {
	var settings *wire.Settings
	var err error
	if settings, err = loadSettings(file); err != nil {
		return err
	}
	n := settings.GetNode()
	return fleet.AddNode(shards.NewVM(n.GetId(), n.GetRegion(), n.GetAvailabilityZone(), n.GetCallerAddress(), n.GetPeerAddress()))
}

// publishedFile is a list that is published from a file.
type publishedFile struct {
	key     string
	file    string
	modTime time.Time
}

// publishFiles publishes the files, and republishes each when it changes, until ctx ends.
func publishFiles(ctx context.Context, platform *fakes.Platform, lists []*publishedFile, stdout io.Writer) error {
	ticker := time.NewTicker(listPollInterval)
	defer ticker.Stop()
	for {
		for _, list := range lists {
			if err := list.publish(platform, stdout); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *publishedFile) publish(platform *fakes.Platform, stdout io.Writer) error {
	if p.file == "" {
		return nil
	}
	var info os.FileInfo
	var err error
	if info, err = os.Stat(p.file); err != nil {
		return conf.Faults{conf.NewFault(p.file, "", "", err.Error())}
	}
	if info.ModTime().Equal(p.modTime) {
		return nil
	}
	p.modTime = info.ModTime()
	var data []byte
	if data, err = os.ReadFile(p.file); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s: revision %d\n", p.key, platform.Set(p.key, data))
	return nil
}
