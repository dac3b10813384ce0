package conf

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Fault is one error in an INI document, with its location.
type Fault struct {
	file    string
	section string
	key     string
	problem string
}

// NewFault returns a fault. The key is empty if the fault concerns the section as a whole.
func NewFault(file, section, key, problem string) Fault {
	return Fault{file: file, section: section, key: key, problem: problem}
}

// File returns the name of the document.
func (f Fault) File() string { return f.file }

// Section returns the name of the faulty section, or an empty string if the fault concerns the document as a whole.
func (f Fault) Section() string { return f.section }

// Key returns the faulty key, or an empty string if the fault concerns the section as a whole.
func (f Fault) Key() string { return f.key }

// Problem returns a description of the problem.
func (f Fault) Problem() string { return f.problem }

// String returns the fault as one line, omitting an empty section or key.
func (f Fault) String() string {
	location := f.file + ":"
	if f.section != "" {
		location += " [" + f.section + "]"
	}
	if f.key != "" {
		location += " " + f.key
	}
	if f.section == "" && f.key == "" {
		return location + " " + f.problem
	}
	return location + ": " + f.problem
}

// compare orders faults by file, section and key.
func (f Fault) compare(other Fault) int {
	return cmp.Or(
		strings.Compare(f.file, other.file),
		strings.Compare(f.section, other.section),
		strings.Compare(f.key, other.key),
	)
}

// Faults is the error of a document with at least one fault.
type Faults []Fault

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if there are no faults. Otherwise it returns the faults sorted by file, section and key.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sorted := slices.Clone(f)
	slices.SortStableFunc(sorted, Fault.compare)
	return sorted
}

// AppendError returns f with the faults of err appended. If err holds no Faults, its text becomes a fault without a location.
func (f Faults) AppendError(err error) Faults {
	var more Faults
	if errors.As(err, &more) {
		return append(f, more...)
	}
	return append(f, NewFault("", "", "", err.Error()))
}
