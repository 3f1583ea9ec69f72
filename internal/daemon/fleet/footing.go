package fleet

import "time"

// restAfter is for how long an entry takes no cells after it has given its own up
// for want of a good path to the store; others take them within a second.
const restAfter = 3 * time.Second

// Entries ask the store through peers only with the setting relay.

// footing decides whether an entry that reaches the store through peers only is fit
// to own cells. While that path is good it is, so nothing changes hands. One that
// got no answer in time on the way is not: it would pause again and again, and its
// callers are served better by an entry that reaches the store itself.
type footing struct {
	isShaken bool
	rested   time.Time
}

// note takes in whether the own path fails and whether the store answers in time. It
// tells when to give all cells up, which needs the store.
func (f *footing) note(now time.Time, isDetour, isAnswering bool) (isUnfit bool) {
	switch {
	case !isDetour:
		f.isShaken = false
	case !isAnswering:
		f.isShaken = true
	case f.isShaken:
		f.isShaken = false
		f.rested = now.Add(restAfter)
		return true
	}
	return false
}

// isResting tells whether the entry should leave free cells to others.
func (f *footing) isResting(now time.Time) bool { return now.Before(f.rested) }
