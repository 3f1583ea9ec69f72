package jobs

import (
	"slices"
	"time"
)

// Thresholds of trust in an endpoint.
const (
	// contactLimit is how long ago an endpoint may have answered last to get new
	// work. A cut shows within it; answers to looks come several times a second.
	contactLimit = 2500 * time.Millisecond
	// suspectAfter is how many runs in a row must fail or stall before an
	// endpoint gets probes only. One is not enough, since tasks fail by their
	// own fault too.
	suspectAfter = 2
	// probeAfter is how long a suspect endpoint gets nothing before its first
	// probe; the time doubles with each probe that fails, up to probeMax.
	probeAfter = 1500 * time.Millisecond
	probeMax   = 8 * time.Second
)

// Endpoint is what a cell knows of one endpoint.
type Endpoint struct {
	// ID and Address identify the endpoint; Machine is the hardware below it.
	ID      string
	Machine string
	Rack    string
	Centre  string
	// Labels are all labels of the endpoint.
	Labels   []string
	Capacity Size
	// IsDraining says that the endpoint leaves and gets no new work.
	IsDraining bool
	// isListed says that discovery names the endpoint.
	isListed bool
	born     int64
	runs     map[string]*run
	used     Size
	// strays is what runs take there that this owner does not know.
	strays Size
	// isReached says that the endpoint has seen the epoch of this owner.
	isReached bool
	// contact is when the endpoint last answered, clock what its clock was then.
	contact time.Time
	clock   int64
	// isSilent says that an order or a look had no answer since the last listing.
	isSilent bool
	// listed is the clock of the last listing that was taken.
	listed int64
	// until is the end of the longest grant ever ordered, on the endpoint's clock.
	until int64
	// seen is the last end that was taken in.
	seen int64
	// cordon is until when no new work is placed for planned work.
	cordon time.Time
	// strikes counts runs that failed in a row; suspect is until when nothing is
	// placed, probes how many times in a row that was.
	strikes int
	suspect time.Time
	probes  int
	// paced is when paces were last changed.
	paced time.Time
	// held is the task that the endpoint is kept free for, since it found no room,
	// heldAt when that was last found.
	held   *task
	heldAt time.Time
}

// Profile is what discovery says of an endpoint.
type Profile struct {
	ID         string
	Machine    string
	Rack       string
	Centre     string
	Labels     []string
	Capacity   Size
	IsDraining bool
	Born       int64
}

// SetEndpoints takes the list of all endpoints of the cell as discovery has it.
// Endpoints that are no longer listed get no new work and are dropped when
// nothing can run there any more.
func (c *Cell) SetEndpoints(profiles []Profile) {
	listed := make(map[string]bool, len(profiles))
	machines := make(map[string]Profile, len(profiles))
	for _, p := range profiles {
		listed[p.ID] = true
		if p.Machine != "" && !p.IsDraining {
			machines[p.Machine] = p
		}
		e := c.endpoints[p.ID]
		if e == nil {
			e = c.newEndpoint(p.ID, p.Born)
		}
		e.Machine, e.Rack, e.Centre, e.Labels = p.Machine, p.Rack, p.Centre, p.Labels
		e.Capacity, e.IsDraining, e.isListed = p.Capacity, p.IsDraining, true
		if p.Born > e.born {
			c.reborn(e, p.Born)
		}
	}
	for id, e := range c.endpoints {
		if listed[id] {
			continue
		}
		e.isListed = false
		if heir, ok := machines[e.Machine]; ok && heir.Born > e.born {
			// Another life on the same machine: this one has ended.
			c.dropRuns(e)
		}
		if len(e.runs) == 0 {
			delete(c.endpoints, id)
		}
	}
}

func (c *Cell) newEndpoint(id string, born int64) *Endpoint {
	e := &Endpoint{ID: id, born: born, runs: make(map[string]*run)}
	c.endpoints[id] = e
	return e
}

// reborn notes a new life of an endpoint. Runs that an earlier one has listed are
// gone. A start may have met the new life already, also one that was accepted,
// since its answer does not tell the lives apart: the next listing decides.
func (c *Cell) reborn(e *Endpoint, born int64) {
	e.born, e.clock, e.listed, e.seen, e.until = born, 0, 0, 0, 0
	e.isReached, e.isSilent, e.strays = false, false, Size{}
	e.strikes, e.probes, e.suspect = 0, 0, time.Time{}
	for _, r := range sortedRuns(e) {
		switch {
		case r.phase == placed || r.born >= born:
		case !r.isListed:
			if r.phase == running {
				r.phase = unconfirmed
			}
			r.born, r.phaseClock, r.stopClock, r.stopSentAt = born, 0, 0, time.Time{}
		default:
			c.counts.Lost++
			c.removeRun(r)
		}
	}
}

func (c *Cell) dropRuns(e *Endpoint) {
	for _, r := range sortedRuns(e) {
		if r.phase != placed {
			c.counts.Lost++
			c.removeRun(r)
		}
	}
}

func sortedRuns(e *Endpoint) []*run {
	runs := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if a.task.name < b.task.name {
			return -1
		}
		return 1
	})
	return runs
}

// room returns what is free.
func (e *Endpoint) room() Size { return e.Capacity.Minus(e.used).Minus(e.strays) }

// clockNow returns a time that the endpoint's clock has certainly reached.
func (e *Endpoint) clockNow(now time.Time, slack float64) int64 {
	passed := float64(now.Sub(e.contact).Milliseconds()) * (1 - slack)
	return e.clock + int64(max(passed, 0))
}

// heard notes an answer with the endpoint's clock.
func (e *Endpoint) heard(now time.Time, clock int64) {
	if clock >= e.clock {
		e.clock, e.contact = clock, now
	}
}

// grant returns the end of a new grant on the endpoint's clock and remembers it.
func (e *Endpoint) grant(now time.Time, b Bounds) int64 {
	until := e.clockNow(now, b.ClockSlack) + b.Grant.Milliseconds()
	e.until = max(e.until, until)
	return until
}

// grantEnd returns the time from which nothing that was ordered by this owner
// can run on the endpoint any more.
func (e *Endpoint) grantEnd(b Bounds) time.Time {
	left := float64(e.until-e.clock) / (1 - b.ClockSlack)
	return e.contact.Add(time.Duration(left+1) * time.Millisecond)
}

// canTake tells whether starts may be ordered.
func (e *Endpoint) canTake(now time.Time) bool {
	return e.isReached && !e.isSilent && e.isListed && !e.IsDraining && !now.Before(e.cordon) && now.Sub(e.contact) < contactLimit
}

// Silent notes that an endpoint did not answer. A cut takes many endpoints at
// once, and a task that is sent into it is stuck until its grant is over, so
// nothing more is placed there until the endpoint has listed its runs again.
func (c *Cell) Silent(id string) {
	if e := c.endpoints[id]; e != nil {
		e.isSilent = true
	}
}

// isTrusted tells whether the endpoint is not suspected; one that is gets a
// single run as a probe when its time has come.
func (e *Endpoint) isTrusted(now time.Time) bool {
	if e.suspect.IsZero() {
		return true
	}
	return !now.Before(e.suspect) && e.isProbeFree()
}

// isProbeFree tells whether no short-lived run is there that will tell more of
// the endpoint. Long-running tasks may stay for good and tell nothing.
func (e *Endpoint) isProbeFree() bool {
	for _, r := range e.runs {
		if !r.task.step.LongRunning {
			return false
		}
	}
	return true
}

// strike notes a run that failed or stalled there.
func (e *Endpoint) strike(now time.Time) {
	e.strikes++
	if e.strikes < suspectAfter && e.suspect.IsZero() {
		return
	}
	wait := min(probeAfter<<min(e.probes, 4), probeMax)
	e.probes++
	e.suspect = now.Add(wait)
}

// trust notes a run that was done there.
func (e *Endpoint) trust() {
	e.strikes, e.probes, e.suspect = 0, 0, time.Time{}
}

// Look says what the owner should ask an endpoint for.
type Look struct {
	// IsNeeded says that the endpoint has something to say or has to be kept
	// going.
	IsNeeded bool
	// Seen is the last end that was taken in.
	Seen int64
	// Until is the end of the grant on the endpoint's clock, 0 if there is
	// nothing to keep going.
	Until int64
	// IsUrgent says that the answer should not wait for an end.
	IsUrgent bool
}

// isCut tells whether the endpoint has probably been cut off: a call had no answer,
// and none had for longer than looks at a busy endpoint take. Single answers get
// lost too, and a copy for each of those would throw work away.
func (e *Endpoint) isCut(now time.Time) bool { return e.isSilent && now.Sub(e.contact) > renewLimit }

// isUnlisted tells whether the endpoint has yet to list its runs.
func (e *Endpoint) isUnlisted() bool { return !e.isReached || e.isSilent }

// LookAt returns what to ask an endpoint for now. The ends up to Seen must be
// stored before they are acknowledged.
func (c *Cell) LookAt(now time.Time, id string) (look Look, isKnown bool) {
	e := c.endpoints[id]
	if e == nil {
		return Look{}, false
	}
	look.Seen = e.seen
	if e.isUnlisted() {
		look.IsNeeded, look.IsUrgent = true, true
	}
	isIdle := e.suspect.IsZero() || !now.Before(e.suspect)
	if now.Sub(e.contact) >= idleLook && isIdle {
		look.IsNeeded, look.IsUrgent = true, len(e.runs) == 0
	}
	for _, r := range e.runs {
		if r.phase != placed {
			look.IsNeeded = true
			look.IsUrgent = look.IsUrgent || r.phase == unconfirmed || r.phase == inherited || r.isStopping
		}
	}
	// Looks that go on without an answer must not move the end of the grant away,
	// or the runs of a lost endpoint would never be given up.
	isAnswering := e.isReached && now.Sub(e.contact) < renewLimit
	if look.IsNeeded && isAnswering && len(e.runs) > 0 {
		look.Until = e.grant(now, c.config.Bounds)
	}
	return look, true
}

// renewLimit is how old the last answer of an endpoint may be for its grant to be
// renewed. It covers a look that waits for an end, and the gap to the next.
const renewLimit = 1200 * time.Millisecond

// idleLook is how often an endpoint without runs is looked at, so that a cut is
// known before work is placed there; below contactLimit by the time of a look.
const idleLook = 2 * time.Second
