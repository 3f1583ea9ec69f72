package jobs

import (
	"slices"
)

// placeGang places all tasks of a gang, or none, under a common run number. It
// reports whether the gang was placed, or waits only for starts that are under way.
func (p *placer) placeGang(s *step) (isPlaced bool) {
	number := 0
	isIdle := true
	for _, t := range s.tasks {
		number = max(number, t.lastRun)
		isIdle = isIdle && t.run == nil
		if p.now.Before(t.notBefore) || p.cell.isOrphaned(t) {
			return false
		}
	}
	if !isIdle {
		// A gang starts as a whole, so runs left over from the last attempt are stopped.
		for _, t := range s.tasks {
			if t.run != nil && t.run.phase != placed {
				p.cell.stopRun(t.run, "another member of the gang ended")
			}
		}
		return false
	}
	if !p.hasStartsLeft(len(s.tasks)) {
		return true
	}
	if !p.checkAccountLimit(s, s.Each.Times(int64(len(s.tasks))), func() bool { return p.assumingTickets().chooseGang(s) != nil }) {
		return false
	}
	chosen := p.chooseGang(s)
	if chosen == nil {
		return false
	}
	s.waiting = s.waiting[:0]
	for i, t := range s.tasks {
		p.placeRun(t, chosen[i], number+1)
	}
	return true
}

// chooseGang returns an endpoint for each task of a gang, all on one rack if they fit
// on one, else on any. It returns nil if they do not fit.
func (p *placer) chooseGang(s *step) []*Endpoint {
	racks := []string{""}
	for _, e := range p.candidates {
		if !slices.Contains(racks, e.Rack) {
			racks = append(racks, e.Rack)
		}
	}
	for _, rack := range append(racks[1:], "") {
		chosen := make([]*Endpoint, 0, len(s.tasks))
		reserved := make(map[*Endpoint]Size)
		members := make(map[*Endpoint]int)
		for _, t := range s.tasks {
			for _, e := range p.candidates {
				room := e.available().Minus(reserved[e])
				isAtSpreadLimit := s.AntiAffinity > 0 && e.countRuns(s)+members[e] >= s.AntiAffinity
				if rack != "" && e.Rack != rack || isAtSpreadLimit || !s.Reserved().Fits(room) || !p.isSuitable(t, e) || !p.quarantine.isAllowed(p.now, t, e) {
					continue
				}
				chosen = append(chosen, e)
				reserved[e] = reserved[e].Plus(s.Reserved())
				members[e]++
				break
			}
		}
		if len(chosen) == len(s.tasks) {
			return chosen
		}
	}
	return nil
}
