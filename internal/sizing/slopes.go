package sizing

import (
	_ "embed"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

//go:embed slopes.json
var committedJSON []byte

// Slope is a series of measurements with its fitted line.
type Slope struct {
	name    string
	what    string
	unit    string
	per     string
	command string
	sizes   []float64
	values  []float64
	line    Line
}

// NewSlope fits a line to a series. The values are in unit, and the sizes are counts of per.
func NewSlope(name, what, unit, per string, sizes, values []float64) Slope {
	return Slope{
		name: name, what: what, unit: unit, per: per, command: measureCommand,
		sizes: sizes, values: values, line: FitLine(sizes, values),
	}
}

// Name returns the name by which tables refer to the slope.
func (s Slope) Name() string { return s.name }

// Line returns the fitted line.
func (s Slope) Line() Line { return s.line }

// Sizes returns the measured sizes. The caller must not modify the result.
func (s Slope) Sizes() []float64 { return s.sizes }

// Values returns the measured values. The caller must not modify the result.
func (s Slope) Values() []float64 { return s.values }

// storedSlope is the encoding of a slope in slopes.json.
type storedSlope struct {
	Name       string    `json:"name"`
	What       string    `json:"what"`
	Command    string    `json:"command"`
	Unit       string    `json:"unit"`
	Per        string    `json:"per"`
	Sizes      []float64 `json:"sizes"`
	Values     []float64 `json:"values"`
	Intercept  float64   `json:"intercept"`
	Slope      float64   `json:"slope"`
	SlopeError float64   `json:"slope_error"`
	Residual   float64   `json:"residual"`
}

// Slopes is a set of slopes by name, in measurement order.
type Slopes struct {
	order  []string
	byName map[string]Slope
}

// NewSlopes returns a set of the given slopes.
func NewSlopes(list []Slope) *Slopes {
	s := &Slopes{byName: make(map[string]Slope, len(list))}
	for _, slope := range list {
		s.order = append(s.order, slope.name)
		s.byName[slope.name] = slope
	}
	return s
}

// CommittedSlopes returns the slopes in the committed slopes.json, which is embedded in the program.
func CommittedSlopes() (*Slopes, error) { return ParseSlopes(committedJSON) }

// ParseSlopes parses slopes from JSON.
func ParseSlopes(data []byte) (*Slopes, error) {
	var stored []storedSlope
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, errors.Wrap(err, "parse slopes")
	}
	var list []Slope
	for _, s := range stored {
		if len(s.Sizes) != len(s.Values) || len(s.Sizes) == 0 {
			return nil, errors.Newf("slope %s has %d sizes and %d values", s.Name, len(s.Sizes), len(s.Values))
		}
		list = append(list, Slope{
			name: s.Name, what: s.What, unit: s.Unit, per: s.Per, command: s.Command,
			sizes: s.Sizes, values: s.Values,
			line: Line{intercept: s.Intercept, slope: s.Slope, slopeError: s.SlopeError, residual: s.Residual},
		})
	}
	return NewSlopes(list), nil
}

// JSON returns the encoding that ParseSlopes parses.
func (s *Slopes) JSON() ([]byte, error) {
	stored := make([]storedSlope, 0, len(s.order))
	for _, slope := range s.All() {
		stored = append(stored, storedSlope{
			Name: slope.name, What: slope.what, Command: slope.command, Unit: slope.unit, Per: slope.per,
			Sizes: slope.sizes, Values: slope.values,
			Intercept: slope.line.intercept, Slope: slope.line.slope,
			SlopeError: slope.line.slopeError, Residual: slope.line.residual,
		})
	}
	data, err := json.MarshalIndent(stored, "", "  ")
	return append(data, '\n'), err
}

// All returns the slopes in measurement order.
func (s *Slopes) All() []Slope {
	all := make([]Slope, 0, len(s.order))
	for _, name := range s.order {
		all = append(all, s.byName[name])
	}
	return all
}

// line returns the line of a slope and whether the slope exists. Model.line records missing slopes.
func (s *Slopes) line(name string) (Line, bool) {
	slope, ok := s.byName[name]
	return slope.line, ok
}
