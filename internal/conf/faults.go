package conf

import (
	"fmt"
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

// String returns the fault on one line.
func (f Fault) String() string {
	if f.key == "" {
		return fmt.Sprintf("%s: [%s]: %s", f.file, f.section, f.problem)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", f.file, f.section, f.key, f.problem)
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

// Err returns nil when there is no fault.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// With returns the faults joined by those in an error, which may be of another kind.
func (f Faults) With(err error) Faults {
	var more Faults
	if errors.As(err, &more) {
		return append(f, more...)
	}
	return append(f, NewFault("", "", "", err.Error()))
}
