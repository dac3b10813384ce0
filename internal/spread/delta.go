package spread

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// FullDocumentNeededError says that a delta does not lead from the present document to its target, so the full document is needed.
type FullDocumentNeededError struct {
	key  string
	have uint64
	from uint64
	to   uint64
	// mismatch is set when the revisions fit and the hash does not.
	mismatch bool
}

// Key returns the key of the document.
func (e *FullDocumentNeededError) Key() string { return e.key }

// Error returns the text of the error.
func (e *FullDocumentNeededError) Error() string {
	if e.mismatch {
		return fmt.Sprintf("delta of %s from %d to %d gives another hash on revision %d", e.key, e.from, e.to, e.have)
	}
	return fmt.Sprintf("delta of %s from %d to %d does not apply to revision %d", e.key, e.from, e.to, e.have)
}

// StaleDeltaError says that a delta leads to no higher revision than the present one.
type StaleDeltaError struct {
	key  string
	have uint64
	to   uint64
}

// Error returns the text of the error.
func (e *StaleDeltaError) Error() string {
	return fmt.Sprintf("delta of %s to %d is not above revision %d", e.key, e.to, e.have)
}

// Diff returns the delta between two revisions of a document. With a nil from it is the full document.
func Diff(from, to *Document) *wire.Delta {
	if from == nil {
		return full(to)
	}
	return partial(from.revision, to, changedNames(from, to))
}

// full returns a delta from 0, which replaces any lower revision.
func full(doc *Document) *wire.Delta {
	names := make([]string, 0, len(doc.sections))
	for name := range doc.sections {
		names = append(names, name)
	}
	return partial(0, doc, names)
}

// partial returns a delta with the given sections as they are in a document.
func partial(from uint64, doc *Document, names []string) *wire.Delta {
	slices.Sort(names)
	sections := make([]*wire.Section, 0, len(names))
	for _, name := range names {
		body, ok := doc.sections[name]
		sections = append(sections, wire.Section_builder{Name: name, Body: body, Removed: !ok}.Build())
	}
	return wire.Delta_builder{Key: doc.key, From: from, To: doc.revision, Sections: sections, Hash: doc.hash}.Build()
}

// changedNames returns the names of the sections that differ, in any order.
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

// Apply returns the document at the delta's target. A nil document accepts a full document only. The error is an *OldDeltaError when
// the target is not above the present revision, and a *FullNeededError when the delta does not fit or gives another hash.
//
// A delta holds every section that changed after its from, with its body at to. It therefore fits any revision of the same document
// in [from, to).
func Apply(doc *Document, delta *wire.Delta) (*Document, error) {
	have := doc.Revision()
	if delta.GetTo() <= have {
		return nil, &StaleDeltaError{key: delta.GetKey(), have: have, to: delta.GetTo()}
	}
	applied, ok := start(doc, delta)
	if !ok {
		return nil, fullNeeded(have, delta, false)
	}
	for _, section := range delta.GetSections() {
		if section.GetRemoved() {
			applied.remove(section.GetName())
			continue
		}
		// The clone keeps the section alone in memory instead of the whole message.
		applied.set(strings.Clone(section.GetName()), strings.Clone(section.GetBody()))
	}
	if applied.hash != delta.GetHash() {
		return nil, fullNeeded(have, delta, true)
	}
	return applied, nil
}

// start returns the document that a delta's sections are set in.
func start(doc *Document, delta *wire.Delta) (*Document, bool) {
	if delta.GetFrom() == 0 {
		return NewDocument(delta.GetKey(), delta.GetTo(), nil), true
	}
	if doc == nil || doc.revision < delta.GetFrom() {
		return nil, false
	}
	return doc.next(delta.GetTo()), true
}

func fullNeeded(have uint64, delta *wire.Delta, mismatch bool) error {
	return &FullDocumentNeededError{key: delta.GetKey(), have: have, from: delta.GetFrom(), to: delta.GetTo(), mismatch: mismatch}
}
