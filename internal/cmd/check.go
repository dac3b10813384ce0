package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/tier"
	"github.com/fireflylanding/fireflylanding/internal/wire"
	site "github.com/fireflylanding/fireflylanding/platform"
)

func checkCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate settings or lists and report each fault with its file, section and key",
		ArgsUsage: "FILE.ini ...",
		Description: `Examples:
   fireflylanding check node.ini
   fireflylanding check --list plans plans.ini
   fireflylanding check --list uses uses.ini
   fireflylanding check --platform settings local.json
   fireflylanding check --platform routes config.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "list", Usage: "validate this list instead of settings: plans or uses"},
			&cli.StringFlag{Name: "platform", Usage: "validate a file of the platform instead: settings or routes"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() == 0 {
				return withCode(exitUsage, errors.New("check needs at least one file"))
			}
			switch command.String("list") {
			case "", plans.PlansKey, plans.UsesKey:
			default:
				return withCode(exitUsage, errors.Newf("--list must be %s or %s", plans.PlansKey, plans.UsesKey))
			}
			switch command.String("platform") {
			case "", platformSettings, platformRoutes:
			default:
				return withCode(exitUsage, errors.Newf("--platform must be %s or %s", platformSettings, platformRoutes))
			}
			var faults conf.Faults
			for _, file := range command.Args().Slice() {
				if err := checkFile(command.String("list"), command.String("platform"), file); err != nil {
					faults = faults.AppendError(err)
					continue
				}
				fmt.Fprintf(stdout, "%s: ok\n", file)
			}
			return withCode(exitSettings, faults.Err())
		},
	}
}

// Kinds of files of the platform that check validates.
const (
	platformSettings = "settings"
	platformRoutes   = "routes"
)

// checkPlatform validates a file of the platform with the code that a node uses.
func checkPlatform(kind, file string, data []byte) error {
	var err error
	if kind == platformRoutes {
		_, err = site.DecodeRoutes(data)
	} else {
		var settings tier.Settings
		if settings, err = site.DecodeSettings(data); err == nil {
			err = settings.Validate()
		}
	}
	if err != nil {
		return conf.Faults{conf.NewFault(file, "", "", err.Error())}
	}
	return nil
}

func checkFile(list, platform, file string) error {
	var data []byte
	var err error
	if data, err = os.ReadFile(file); err != nil {
		return conf.Faults{conf.NewFault(file, "", "", err.Error())}
	}
	if platform != "" {
		return checkPlatform(platform, file, data)
	}
	if list == "" {
		_, err = conf.Load(file, data)
		return err
	}
	var sections map[string]string
	if sections, err = conf.Split(file, data); err != nil {
		return err
	}
	switch list {
	case plans.PlansKey:
		_, err = plans.ParsePlans(0, sections)
	case plans.UsesKey:
		_, err = plans.ParseUses(0, sections)
	}
	return err
}

// loadSettings reads the settings of a node.
func loadSettings(file string) (*wire.Settings, error) {
	var data []byte
	var err error
	if data, err = os.ReadFile(file); err != nil {
		return nil, withCode(exitSettings, err)
	}
	var settings *wire.Settings
	if settings, err = conf.Load(file, data); err != nil {
		return nil, withCode(exitSettings, err)
	}
	return settings, nil
}
