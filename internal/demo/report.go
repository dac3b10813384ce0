package demo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/wire"
	"github.com/fireflylanding/fireflylanding/pkg/client"
)

const (
	directoryTimeout = 2 * time.Second
	shownHits        = 5
)

// showDirectory prints the entries that the directory returns to a caller in attica-a.
func (s *session) showDirectory(_ context.Context, w io.Writer) error {
	uri := "http://" + s.nodes.Addresses()[0] + "/v1/entries?caller=demo&zone=attica-a"
	var code int
	var body []byte
	var err error
	if code, body, err = fasthttp.GetTimeout(nil, uri, directoryTimeout); err != nil {
		return errors.Wrap(err, "query the directory")
	}
	if code != fasthttp.StatusOK {
		return errors.Newf("the directory responded with status %d: %s", code, body)
	}
	entries := &wire.Entries{}
	if err = protojson.Unmarshal(body, entries); err != nil {
		return errors.Wrap(err, "parse the directory's response")
	}
	fmt.Fprintf(w, "directory: valid for %s, %d request tokens\n", entries.GetValid().AsDuration(), len(entries.GetTokens()))
	for _, entry := range entries.GetEntries() {
		fmt.Fprintf(w, "  %s in %s at %s\n", entry.GetId(), entry.GetAvailabilityZone(), entry.GetAddress())
	}
	return nil
}

// showAnswer prints one answer with its first hits.
func (s *session) showAnswer(ctx context.Context, w io.Writer) error {
	question := client.NewQuestion(planOf(plans.Urgent), collection, "lamp 4711", client.WithLimit(shownHits), client.WithDeadline(deadline))
	var answer client.Answer
	var err error
	if answer, err = s.client.Ask(ctx, question); err != nil {
		return err
	}
	coverage := answer.Coverage()
	fmt.Fprintf(w, "answer: snapshot %d, %d of %d shards reflected, %s\n", answer.Snapshot(), coverage.Reflected(), coverage.Total(), answer.Run())
	for _, hit := range answer.Hits() {
		fmt.Fprintf(w, "  %.4f %s\n", hit.Score(), hit.ID())
	}
	return nil
}

// showTable prints the results of each rank and the extra load.
func (s *session) showTable(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "rank\tanswers\tcomplete\trefused\tp50 ms\tp99 ms\tcoverage\t")
	for _, rank := range plans.Ranks() {
		r := s.ranks[rank]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f%%\t\n", rank, r.answers, r.complete, r.refused,
			milliseconds(r.latency.ValueAtQuantile(50)), milliseconds(r.latency.ValueAtQuantile(99)), 100*float64(r.reflected)/float64(max(1, r.shards)))
	}
	table.Flush()
	attempts, first := s.attempts()
	fmt.Fprintf(w, "extra load: %d attempts for %d sub-queries (%.1f%%)\n", attempts, first, 100*float64(attempts-first)/float64(max(1, first)))
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

// attempts returns the numbers of all attempts and of first attempts, which are the sub-queries, summed over all nodes.
func (s *session) attempts() (attempts, first int64) {
	for _, n := range s.nodes.Nodes() {
		counts := n.Node().Attempts()
		attempts += counts.Sent()
		first += counts.Needed()
	}
	return attempts, first
}
