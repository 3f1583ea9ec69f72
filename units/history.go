package units

// revised is anything that has a revision.
type revised interface {
	revision() uint64
}

func (l Limits) revision() uint64 { return l.Revision }

func (t Table) revision() uint64 { return t.Revision }

// history holds revisions from the oldest that may still be in force somewhere
// to the newest.
type history[T revised] []T

// newest returns the newest revision, 0 if there is none.
func (h history[T]) newest() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].revision()
}

// add adds the revisions that are newer than all known ones. What is older than
// the first of those added is in force nowhere any longer.
func (h *history[T]) add(added []T) {
	before := h.newest()
	for _, each := range added {
		if each.revision() > before {
			*h = append(*h, each)
		}
	}
	if len(added) > 0 {
		h.drop(added[0].revision())
	}
}

// drop takes out what is older than the given revision, but never the newest.
func (h *history[T]) drop(oldest uint64) {
	for len(*h) > 1 && (*h)[0].revision() < oldest {
		*h = (*h)[1:]
	}
}
