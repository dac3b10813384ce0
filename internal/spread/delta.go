package spread

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// FullDocumentNeededError reports that a delta does not lead from the current document to its target, so the full document must be
// fetched.
type FullDocumentNeededError struct {
	key     string
	current uint64
	from    uint64
	to      uint64
	// mismatch is set if the revisions match but the resulting hash does not.
	mismatch bool
}

// Key returns the key of the document.
func (e *FullDocumentNeededError) Key() string { return e.key }

// Error implements error.
func (e *FullDocumentNeededError) Error() string {
	if e.mismatch {
		return fmt.Sprintf("delta of %s from revision %d to %d yields a different hash on revision %d", e.key, e.from, e.to, e.current)
	}
	return fmt.Sprintf("delta of %s from revision %d to %d does not apply to revision %d", e.key, e.from, e.to, e.current)
}

// StaleDeltaError reports that a delta's target is not higher than the current revision.
type StaleDeltaError struct {
	key     string
	current uint64
	to      uint64
}

// Error implements error.
func (e *StaleDeltaError) Error() string {
	return fmt.Sprintf("delta of %s to revision %d is not newer than revision %d", e.key, e.to, e.current)
}

// Diff returns the delta between two revisions of a document. If from is nil, the delta holds the full document.
func Diff(from, to *Document) *wire.Delta {
	if from == nil {
		return fullDelta(to)
	}
	return partialDelta(from.revision, to, changedNames(from, to))
}

// fullDelta returns a delta from revision 0, which replaces any lower revision.
func fullDelta(doc *Document) *wire.Delta {
	names := make([]string, 0, len(doc.sections))
	for name := range doc.sections {
		names = append(names, name)
	}
	return partialDelta(0, doc, names)
}

// partialDelta returns a delta that holds the named sections as they are in doc; those that doc lacks are marked as removed.
func partialDelta(from uint64, doc *Document, names []string) *wire.Delta {
	slices.Sort(names)
	sections := make([]*wire.Section, 0, len(names))
	for _, name := range names {
		body, ok := doc.sections[name]
		sections = append(sections, wire.Section_builder{Name: name, Body: body, Removed: !ok}.Build())
	}
	return wire.Delta_builder{Key: doc.key, From: from, To: doc.revision, Sections: sections, Hash: doc.hash}.Build()
}

// changedNames returns the names of the sections that differ, in no particular order.
func changedNames(from, to *Document) []string {
	var names []string
	for name, body := range to.sections {
		if old, ok := from.sections[name]; !ok || old != body {
			names = append(names, name)
		}
	}
	for name := range from.sections {
		if _, ok := to.sections[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// Apply returns the document at the delta's target revision. A nil doc accepts only a delta with the full document. The error is a
// *StaleDeltaError if the target is not higher than the current revision, and a *FullDocumentNeededError if the delta does not apply to
// that revision or yields a different hash.
//
// A delta holds every section that changed after its from revision, with its body at its to revision. It therefore applies to any
// revision of the same document in [from, to).
func Apply(doc *Document, delta *wire.Delta) (*Document, error) {
	current := doc.Revision()
	if delta.GetTo() <= current {
		return nil, &StaleDeltaError{key: delta.GetKey(), current: current, to: delta.GetTo()}
	}
	applied, ok := deltaBase(doc, delta)
	if !ok {
		return nil, fullDocumentNeeded(current, delta, false)
	}
	for _, section := range delta.GetSections() {
		if section.GetRemoved() {
			applied.removeSection(section.GetName())
			continue
		}
		// Cloning the strings avoids retaining the memory of the whole message.
		applied.setSection(strings.Clone(section.GetName()), strings.Clone(section.GetBody()))
	}
	if applied.hash != delta.GetHash() {
		return nil, fullDocumentNeeded(current, delta, true)
	}
	return applied, nil
}

// deltaBase returns the document to which a delta's sections are applied, and false if the delta does not apply to doc.
func deltaBase(doc *Document, delta *wire.Delta) (*Document, bool) {
	if delta.GetFrom() == 0 {
		return NewDocument(delta.GetKey(), delta.GetTo(), nil), true
	}
	if doc == nil || doc.revision < delta.GetFrom() {
		return nil, false
	}
	return doc.cloneAt(delta.GetTo()), true
}

func fullDocumentNeeded(current uint64, delta *wire.Delta, mismatch bool) error {
	return &FullDocumentNeededError{key: delta.GetKey(), current: current, from: delta.GetFrom(), to: delta.GetTo(), mismatch: mismatch}
}
