// Package spread brings the platform's documents to every node: a few readers watch the configuration service, changes travel between
// neighbours as deltas of whole sections, digests repair what was lost, and only higher valid revisions come into force.
package spread

import (
	"encoding/binary"
	"maps"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflylanding/fireflylanding/internal/conf"
)

// Document is one revision of an INI document. It is immutable.
type Document struct {
	key      string
	revision uint64
	// sections holds the canonical body of each section by name.
	sections map[string]string
	// hash is the sum of the hashes of the sections, so that it follows a delta without a pass over the whole document.
	hash uint64
	// bytes is the size of all names and bodies.
	bytes int
}

// NewDocument returns a document with a copy of the sections.
func NewDocument(key string, revision uint64, sections map[string]string) *Document {
	d := &Document{key: key, revision: revision, sections: make(map[string]string, len(sections))}
	for name, body := range sections {
		d.set(name, body)
	}
	return d
}

// ParseDocument reads a value of the configuration service. It returns conf.Faults when the value is not INI.
func ParseDocument(key string, revision uint64, data []byte) (*Document, error) {
	sections, err := conf.Split(key, data)
	if err != nil {
		return nil, err
	}
	return NewDocument(key, revision, sections), nil
}

// Key returns the key of the document.
func (d *Document) Key() string { return d.key }

// Revision returns the revision, 0 for a nil document.
func (d *Document) Revision() uint64 {
	if d == nil {
		return 0
	}
	return d.revision
}

// Sections returns the bodies by name. The caller must not change the result.
func (d *Document) Sections() map[string]string { return d.sections }

// Hash returns the hash of all sections, which does not depend on their order.
func (d *Document) Hash() uint64 { return d.hash }

// Bytes returns the size of all names and bodies.
func (d *Document) Bytes() int { return d.bytes }

// next returns a copy that may still be changed with set and remove.
func (d *Document) next(revision uint64) *Document {
	copied := *d
	copied.revision = revision
	copied.sections = maps.Clone(d.sections)
	return &copied
}

func (d *Document) set(name, body string) {
	d.remove(name)
	d.sections[name] = body
	d.hash += sectionHash(name, body)
	d.bytes += len(name) + len(body)
}

func (d *Document) remove(name string) {
	body, ok := d.sections[name]
	if !ok {
		return
	}
	delete(d.sections, name)
	d.hash -= sectionHash(name, body)
	d.bytes -= len(name) + len(body)
}

// sectionHash covers the length of the name, so that text can't move between name and body unnoticed.
func sectionHash(name, body string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(name)))
	_, _ = digest.Write(length[:]) // The writes of a Digest never return an error.
	_, _ = digest.WriteString(name)
	_, _ = digest.WriteString(body)
	return digest.Sum64()
}
