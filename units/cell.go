package units

import "sync/atomic"

const usedBits = 32

// cell counts the units in use against a cap. Both lie in one word, so that
// lowering the cap and taking a unit cannot cross.
type cell struct {
	word atomic.Uint64
}

func packCell(limit, used uint32) uint64 {
	return uint64(limit)<<usedBits | uint64(used)
}

func (c *cell) load() (limit, used uint32) {
	word := c.word.Load()
	return uint32(word >> usedBits), uint32(word)
}

// take uses one unit if the cap allows it.
func (c *cell) take() bool {
	for {
		word := c.word.Load()
		limit, used := uint32(word>>usedBits), uint32(word)
		if used >= limit {
			return false
		}
		if c.word.CompareAndSwap(word, packCell(limit, used+1)) {
			return true
		}
	}
}

// free gives back one unit in use.
func (c *cell) free() {
	c.word.Add(^uint64(0))
}

// setLimit replaces the cap.
func (c *cell) setLimit(limit uint32) {
	for {
		word := c.word.Load()
		if c.word.CompareAndSwap(word, packCell(limit, uint32(word))) {
			return
		}
	}
}

// lower brings the cap down to limit, but not below the units in use, and
// returns the cap that holds from then on.
func (c *cell) lower(limit uint32) uint32 {
	for {
		word := c.word.Load()
		current, used := uint32(word>>usedBits), uint32(word)
		next := min(current, max(limit, used))
		if c.word.CompareAndSwap(word, packCell(next, used)) {
			return max(next, used)
		}
	}
}

// cede lowers the cap by at most count free units and returns how many.
func (c *cell) cede(count uint32) uint32 {
	for {
		word := c.word.Load()
		limit, used := uint32(word>>usedBits), uint32(word)
		if used >= limit {
			return 0
		}
		ceded := min(count, limit-used)
		if c.word.CompareAndSwap(word, packCell(limit-ceded, used)) {
			return ceded
		}
	}
}
