package spread

const (
	// maxChanges and maxChangeBytes bound the history of one document. Bodies are taken from the present document, so that a change
	// costs only the names of its sections.
	maxChanges     = 256
	maxChangeBytes = 256 << 10
)

// change names the sections that differ between two successive revisions at this node.
type change struct {
	from  uint64
	to    uint64
	names []string
	bytes int
}

// history holds the last changes of one document, oldest first; each begins where the one before ends.
type history struct {
	changes []change
	bytes   int
}

func (h *history) add(from, to *Document) {
	c := change{from: from.revision, to: to.revision, names: changedNames(from, to)}
	for _, name := range c.names {
		c.bytes += len(name)
	}
	h.changes = append(h.changes, c)
	h.bytes += c.bytes
	for len(h.changes) > maxChanges || (h.bytes > maxChangeBytes && len(h.changes) > 0) {
		h.bytes -= h.changes[0].bytes
		h.changes = h.changes[1:]
	}
}

// since returns the names of the sections that changed after a revision, and the revision from which they hold. It returns false when
// the history does not reach back so far.
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
