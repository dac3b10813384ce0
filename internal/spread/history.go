package spread

const (
	// maxChanges and maxChangeNameBytes bound the history of one document. Section bodies are taken from the document in force, so a
	// change takes only the memory of its section names.
	maxChanges         = 256
	maxChangeNameBytes = 256 << 10
)

// change holds the names of the sections that differ between two revisions that were in force on this node one after the other.
type change struct {
	from      uint64
	to        uint64
	names     []string
	nameBytes int
}

// history holds the most recent changes of one document, oldest first. Each change begins at the revision where the previous one ends.
type history struct {
	changes   []change
	nameBytes int
}

// add appends the change between two documents and discards the oldest changes above the bounds.
func (h *history) add(from, to *Document) {
	c := change{from: from.revision, to: to.revision, names: changedNames(from, to)}
	for _, name := range c.names {
		c.nameBytes += len(name)
	}
	h.changes = append(h.changes, c)
	h.nameBytes += c.nameBytes
	for len(h.changes) > maxChanges || (h.nameBytes > maxChangeNameBytes && len(h.changes) > 0) {
		h.nameBytes -= h.changes[0].nameBytes
		h.changes = h.changes[1:]
	}
}

// since returns the names of the sections that changed after the given revision, and the revision at which the first of these changes
// begins, which may be lower than the given one. It returns false if the history does not reach back that far.
func (h *history) since(revision uint64) (uint64, []string, bool) {
	var from uint64
	seen := make(map[string]bool)
	var names []string
	found := false
	for _, c := range h.changes {
		if c.to <= revision {
			continue
		}
		if !found {
			found = c.from <= revision
			from = c.from
		}
		if !found {
			return 0, nil, false
		}
		for _, name := range c.names {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return from, names, found
}
