package bench

import (
	"embed"
	"io/fs"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

//go:embed scenarios/*.ini
var embedded embed.FS

// defaultDeadline is the deadline of queries in a scenario that sets none.
const defaultDeadline = 360 * time.Millisecond

// Scenario describes a trial: its loads, its scheduled faults, and the windows that are measured.
type Scenario struct {
	name    string
	header  header
	loads   []Load
	windows []Window
	faults  []scheduledFault
}

// Name returns the scenario's name.
func (s *Scenario) Name() string { return s.name }

// header holds the keys of the section [scenario].
type header struct {
	Text       string        `ini:"text"`
	Duration   time.Duration `ini:"duration"`
	ColdFactor float64       `ini:"cold_factor"`
	WarmUp     time.Duration `ini:"warm_up"`
	// Variants are compared in each run in addition to the full policy and the baseline.
	Variants []string `ini:"variants"`
}

// Load holds the keys of a section [load NAME]: the queries of one plan between two times.
type Load struct {
	name string
	Plan string `ini:"plan"`
	// Rate is the offered load as a multiple of the fleet's capacity, PerSecond the offered load in queries/s; exactly one is set.
	Rate      float64       `ini:"rate"`
	PerSecond float64       `ini:"per_second"`
	Arrivals  string        `ini:"arrivals"`
	From      time.Duration `ini:"from"`
	To        time.Duration `ini:"to"`
	Deadline  time.Duration `ini:"deadline"`
	// NonIdempotent marks the queries non-idempotent.
	NonIdempotent bool `ini:"once"`
	// Text is the text of each query. If it is empty, half of the texts repeat and half are new.
	Text string `ini:"text"`
}

// Window holds the keys of a section [window NAME]. The queries whose intended send time is within the window are measured together.
type Window struct {
	name string
	From time.Duration `ini:"from"`
	To   time.Duration `ini:"to"`
}

// Name returns the window's name.
func (w Window) Name() string { return w.name }

func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.To }

func (w Window) seconds() float64 { return (w.To - w.From).Seconds() }

// Scenarios returns the embedded scenarios, ordered by file name.
func Scenarios() ([]*Scenario, error) {
	names, err := fs.Glob(embedded, "scenarios/*.ini")
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var all []*Scenario
	for _, name := range names {
		data, err := embedded.ReadFile(name)
		if err != nil {
			return nil, err
		}
		s, err := ParseScenario(name, data)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// ParseScenario parses a scenario in INI format. Its name is the base name of the file without a leading number. Unknown
// sections and keys are errors.
func ParseScenario(file string, data []byte) (*Scenario, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, data)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	name := strings.TrimSuffix(path.Base(file), ".ini")
	s := &Scenario{name: strings.TrimLeft(name, "0123456789-")}
	for _, section := range parsed.Sections() {
		if err := s.addSection(section); err != nil {
			return nil, errors.Wrapf(err, "%s: [%s]", file, section.Name())
		}
	}
	return s, errors.Wrap(s.validate(), file)
}

func (s *Scenario) addSection(section *ini.Section) error {
	kind, name, _ := strings.Cut(section.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		return mapStrict(section, &struct{}{})
	case "scenario":
		return mapStrict(section, &s.header)
	case "load":
		l := Load{name: name, Arrivals: "poisson", To: s.header.Duration, Deadline: defaultDeadline}
		if err := mapStrict(section, &l); err != nil {
			return err
		}
		s.loads = append(s.loads, l)
	case "window":
		w := Window{name: name}
		if err := mapStrict(section, &w); err != nil {
			return err
		}
		s.windows = append(s.windows, w)
	case "fault":
		f, err := newScheduledFault(section)
		if err != nil {
			return err
		}
		s.faults = append(s.faults, f)
	default:
		return errors.New("unknown section")
	}
	return nil
}

// mapStrict maps a section to a struct and returns an error for a key that the struct does not have.
func mapStrict(section *ini.Section, into any) error {
	known := ini.Empty()
	if err := known.Section("known").ReflectFrom(into); err != nil {
		return err
	}
	for _, key := range section.KeyStrings() {
		if !known.Section("known").HasKey(key) {
			return errors.Newf("unknown key %q", key)
		}
	}
	return section.StrictMapTo(into)
}

func (s *Scenario) validate() error {
	if s.header.Duration <= 0 || len(s.loads) == 0 || len(s.windows) == 0 {
		return errors.New("a scenario needs a duration, a load and a window")
	}
	for _, l := range s.loads {
		if _, ok := rankOf(l.Plan); !ok {
			return errors.Newf("[load %s]: unknown plan %q", l.name, l.Plan)
		}
		if (l.Rate > 0) == (l.PerSecond > 0) || l.To > s.header.Duration || l.From >= l.To {
			return errors.Newf("[load %s]: needs rate or per_second, and from < to within the duration", l.name)
		}
		if l.Arrivals != arrivalsPoisson && l.Arrivals != arrivalsFixed {
			return errors.Newf("[load %s]: arrivals must be poisson or fixed", l.name)
		}
	}
	for _, w := range s.windows {
		if w.From >= w.To || w.To > s.header.Duration {
			return errors.Newf("[window %s]: needs from < to within the duration", w.name)
		}
	}
	_, err := variants(s.header.Variants)
	return err
}

// scaled returns a copy of the scenario whose times are multiplied by a factor, for longer measurements.
func (s *Scenario) scaled(factor float64) *Scenario {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	next := *s
	next.header.Duration = scale(s.header.Duration)
	next.loads = slices.Clone(s.loads)
	next.windows = slices.Clone(s.windows)
	next.faults = slices.Clone(s.faults)
	for i := range next.loads {
		next.loads[i].From, next.loads[i].To = scale(next.loads[i].From), scale(next.loads[i].To)
	}
	for i := range next.windows {
		next.windows[i].From, next.windows[i].To = scale(next.windows[i].From), scale(next.windows[i].To)
	}
	for i := range next.faults {
		next.faults[i].at = scale(next.faults[i].at)
	}
	return &next
}
