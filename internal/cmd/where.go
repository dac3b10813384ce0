package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/relay"
	"github.com/fireflylanding/fireflylanding/internal/tier"
)

func whereCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "where",
		Usage: "explain where a node on the platform would send a request now, and why, without sending it",
		Description: `Example:
   fireflylanding where --admin 10.1.0.39:9464 --host staff.example --path /lookup/7 --timeout-ms 800`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Usage: "metrics `ADDRESS` of the node", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request", Required: true},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request", Required: true},
			&cli.Uint32Flag{Name: "timeout-ms", Usage: "how long the caller waits, in `MILLISECONDS`; 0 for as long as the route allows"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as the node returns it"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			query := url.Values{
				"host": {command.String("host")}, "path": {command.String("path")},
				"timeout_ms": {strconv.FormatUint(uint64(command.Uint32("timeout-ms")), 10)},
			}
			return printPlacement(stdout, "http://"+command.String("admin")+"/v1/placement?"+query.Encode(), command.Bool("json"))
		},
	}
}

// printPlacement prints the report at a URI, as text or as it is.
func printPlacement(w io.Writer, uri string, raw bool) error {
	body, err := readAdmin(uri, "the placement")
	if err != nil {
		return err
	}
	if raw {
		fmt.Fprintln(w, string(body))
		return nil
	}
	var report tier.PlacementReport
	if err := json.Unmarshal(body, &report); err != nil {
		return errors.Wrap(err, "decode the placement")
	}
	writePlacement(w, report)
	return nil
}

func writePlacement(w io.Writer, report tier.PlacementReport) {
	fmt.Fprintf(w, "node %s, %s in %s, routes version %d%s\n", report.Node, report.Zone, report.Region, report.RoutesVersion, nodeState(report))
	if len(report.EvacuatedZones) > 0 {
		fmt.Fprintf(w, "evacuated zones: %s\n", strings.Join(report.EvacuatedZones, ", "))
	}
	if report.Refusal != "" {
		fmt.Fprintf(w, "refused at once: %s\n", report.Refusal)
	}
	p := report.Placement
	if p == nil {
		fmt.Fprintf(w, "no route for host %s and path %s\n", report.Host, report.Path)
		return
	}
	fmt.Fprintf(w, "route %s (%s, rank %d), goal %.0f ms, deadline %.0f ms\n", p.Route, p.Target, p.Rank, p.Goal, p.Deadline)
	fmt.Fprintf(w, "home regions: %s\n", homeRegions(p))
	fmt.Fprintf(w, "admission: %s%s\n", p.Admission.Decision, limitState(p.Admission))
	for _, service := range p.Services {
		writeService(w, service)
	}
}

func nodeState(report tier.PlacementReport) string {
	state := ""
	if !report.Ready {
		state += ", not ready"
	}
	if report.Stranded {
		state += ", stranded"
	}
	return state
}

func homeRegions(p *relay.PlacementReport) string {
	switch {
	case !p.Restricted:
		return "any"
	case len(p.Homes) == 0:
		return "none is valid"
	default:
		return strings.Join(p.Homes, ", ")
	}
}

func limitState(a relay.AdmissionReport) string {
	state := ""
	if a.Reason != "" {
		state = fmt.Sprintf(" (%s, come back in %.0f ms)", a.Reason, a.RetryAfter)
	}
	if a.Limit == nil {
		return state + ", not limited"
	}
	return state + fmt.Sprintf(", group %s: %.0f of %.0f in flight, %d waiting, %.0f%% late", a.Group, a.Limit.InFlight, a.Limit.Limit, a.Limit.Waiting, 100*a.Limit.Late)
}

func writeService(w io.Writer, service relay.ServicePlacement) {
	weight := ""
	if service.Weight != nil {
		weight = fmt.Sprintf(" (weight %g)", *service.Weight)
	}
	outcome := "to " + service.Chosen
	if service.Chosen == "" {
		outcome = "refused: " + service.Refusal
	}
	fmt.Fprintf(w, "\nservice %s%s, %s\n", service.Service, weight, outcome)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  searcher\tzone\tverdict\tlatency ms\tcost ms\tqueue\tfailures")
	for _, s := range service.Searchers {
		verdict := strings.ReplaceAll(s.Verdict, "_", " ")
		if s.MayBeChosen && s.ID != service.Chosen {
			verdict += ", close"
		}
		fmt.Fprintf(table, "  %s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.2f\n", s.ID, s.Zone, verdict, s.Latency, s.Cost, s.Queue, s.Failures)
	}
	// Errors of the writer are not reported by the other commands either.
	_ = table.Flush()
}
