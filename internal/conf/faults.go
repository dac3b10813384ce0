package conf

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Fault is one mistake in an INI document.
type Fault struct {
	file    string
	section string
	key     string
	problem string
}

// NewFault returns a fault; key is empty when the whole section is at fault.
func NewFault(file, section, key, problem string) Fault {
	return Fault{file: file, section: section, key: key, problem: problem}
}

// File returns the name of the document.
func (f Fault) File() string { return f.file }

// Section returns the section at fault.
func (f Fault) Section() string { return f.section }

// Key returns the key at fault, empty when the whole section is at fault.
func (f Fault) Key() string { return f.key }

// Problem returns what is wrong.
func (f Fault) Problem() string { return f.problem }

// String returns the fault on one line, without the parts that are empty.
func (f Fault) String() string {
	place := f.file + ":"
	if f.section != "" {
		place += " [" + f.section + "]"
	}
	if f.key != "" {
		place += " " + f.key
	}
	if f.section == "" && f.key == "" {
		return place + " " + f.problem
	}
	return place + ": " + f.problem
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

// Error returns all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil when there is no fault, and otherwise the faults in order of file, section and key.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sorted := slices.Clone(f)
	slices.SortStableFunc(sorted, Fault.compare)
	return sorted
}

// AppendError returns the faults joined by those in an error, which may be of another kind.
func (f Faults) AppendError(err error) Faults {
	var more Faults
	if errors.As(err, &more) {
		return append(f, more...)
	}
	return append(f, NewFault("", "", "", err.Error()))
}
