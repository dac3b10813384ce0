package sizing

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// measureCommand is the command that repeats all measurements.
const measureCommand = "fireflylanding capacity --measure"

// Measure runs the measurements of one part, or of all parts if the name is empty, and returns their slopes. It writes a line to
// progress for each part.
func Measure(ctx context.Context, only string, progress io.Writer) (*Slopes, error) {
	var slopes []Slope
	for _, part := range parts() {
		if only != "" && part.name != only {
			continue
		}
		start := time.Now()
		measured, err := part.run(ctx)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, measured...)
		fmt.Fprintf(progress, "%s: %d slopes in %s\n", part.name, len(measured), time.Since(start).Round(time.Second))
	}
	if len(slopes) == 0 {
		return nil, errors.Newf("unknown part %q", only)
	}
	return NewSlopes(slopes), nil
}

// PartNames returns the names of all parts.
func PartNames() string {
	var names []string
	for _, part := range parts() {
		names = append(names, part.name)
	}
	return strings.Join(names, ", ")
}

// part is a group of measurements.
type part struct {
	name string
	run  func(ctx context.Context) ([]Slope, error)
}

func parts() []part {
	return []part{
		{name: "documents", run: measureDirect},
		{name: "owners", run: measureJoint},
		{name: "changes", run: measureChanges},
		{name: "moves", run: func(context.Context) ([]Slope, error) {
			slope, err := measureMoves()
			return []Slope{slope}, err
		}},
		{name: "deltas", run: func(context.Context) ([]Slope, error) { return measureDeltas(), nil }},
		{name: "connections", run: measureLinks},
		{name: "fleets", run: measureFleets},
		{name: "queries", run: measureQueries},
	}
}
