package units

// revisioned is implemented by documents with a revision number, which must be
// greater than 0.
type revisioned interface {
	revision() uint64
}

func (l Limits) revision() uint64 { return l.Revision }

func (t Table) revision() uint64 { return t.Revision }

// history holds documents in ascending order of revision, from the oldest that
// any member may still have in force to the newest.
type history[T revisioned] []T

// newest returns the newest revision, or 0 if the history is empty.
func (h history[T]) newest() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].revision()
}

// add appends the documents that are newer than all known ones. It then drops
// those older than the first document of added, which no member has in force any
// longer. added must be in ascending order of revision.
func (h *history[T]) add(added []T) {
	newestKnown := h.newest()
	for _, document := range added {
		if document.revision() > newestKnown {
			*h = append(*h, document)
		}
	}
	if len(added) > 0 {
		h.dropBefore(added[0].revision())
	}
}

// dropBefore drops the documents older than the given revision, but always keeps
// the newest document.
func (h *history[T]) dropBefore(oldest uint64) {
	for len(*h) > 1 && (*h)[0].revision() < oldest {
		*h = (*h)[1:]
	}
}
