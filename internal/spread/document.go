// Package spread distributes the platform's configuration documents to all nodes. A few readers watch the configuration service,
// nodes gossip changes to their neighbours as deltas of whole sections, and periodic digest exchanges (anti-entropy) repair lost
// messages. A document replaces the one in force only if it has a higher revision and is valid.
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
	// hash is the sum of the section hashes, so that applying a delta updates it without rehashing the whole document.
	hash uint64
	// bytes is the total size of all section names and bodies.
	bytes int
}

// NewDocument returns a document with a copy of the sections.
func NewDocument(key string, revision uint64, sections map[string]string) *Document {
	d := &Document{key: key, revision: revision, sections: make(map[string]string, len(sections))}
	for name, body := range sections {
		d.setSection(name, body)
	}
	return d
}

// ParseDocument parses a value of the configuration service. It returns conf.Faults if the value is not valid INI.
func ParseDocument(key string, revision uint64, data []byte) (*Document, error) {
	sections, err := conf.Split(key, data)
	if err != nil {
		return nil, err
	}
	return NewDocument(key, revision, sections), nil
}

// Key returns the key of the document.
func (d *Document) Key() string { return d.key }

// Revision returns the document's revision, or 0 if d is nil.
func (d *Document) Revision() uint64 {
	if d == nil {
		return 0
	}
	return d.revision
}

// Sections returns the section bodies by name. The caller must not modify the map.
func (d *Document) Sections() map[string]string { return d.sections }

// Hash returns the hash of all sections. It does not depend on their order.
func (d *Document) Hash() uint64 { return d.hash }

// Bytes returns the total size of all section names and bodies.
func (d *Document) Bytes() int { return d.bytes }

// cloneAt returns a copy with the given revision, which may be modified with setSection and removeSection until it is shared.
func (d *Document) cloneAt(revision uint64) *Document {
	copied := *d
	copied.revision = revision
	copied.sections = maps.Clone(d.sections)
	return &copied
}

func (d *Document) setSection(name, body string) {
	d.removeSection(name)
	d.sections[name] = body
	d.hash += sectionHash(name, body)
	d.bytes += len(name) + len(body)
}

func (d *Document) removeSection(name string) {
	body, ok := d.sections[name]
	if !ok {
		return
	}
	delete(d.sections, name)
	d.hash -= sectionHash(name, body)
	d.bytes -= len(name) + len(body)
}

// sectionHash returns the hash of one section. It includes the length of the name, so that moving text between name and body changes
// the hash.
func sectionHash(name, body string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(name)))
	_, _ = digest.Write(length[:]) // Writes to an xxhash.Digest never fail.
	_, _ = digest.WriteString(name)
	_, _ = digest.WriteString(body)
	return digest.Sum64()
}
