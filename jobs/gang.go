package jobs

import (
	"slices"
)

// placeGang places all members of a gang at once, or none.
func (p *placer) placeGang(s *step) (isWhole bool) {
	number := 0
	isClear := true
	for _, t := range s.tasks {
		number = max(number, t.number)
		isClear = isClear && t.run == nil
		if p.now.Before(t.notBefore) {
			return false
		}
	}
	if !isClear {
		// A gang starts as a whole, so the rest of the last run has to end.
		for _, t := range s.tasks {
			if t.run != nil && t.run.phase != placed {
				p.cell.stopRun(t.run, "another member of the gang ended")
			}
		}
		return false
	}
	if !p.checkAccountLimit(s.occurrence.job, s.Each.Times(int64(len(s.tasks)))) {
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

// chooseGang finds endpoints for all members, on one rack if there is one where
// they fit, else on any.
func (p *placer) chooseGang(s *step) []*Endpoint {
	racks := []string{""}
	for _, e := range p.candidates {
		if !slices.Contains(racks, e.Rack) {
			racks = append(racks, e.Rack)
		}
	}
	for _, rack := range append(racks[1:], "") {
		chosen := make([]*Endpoint, 0, len(s.tasks))
		taken := make(map[*Endpoint]Size)
		members := make(map[*Endpoint]int)
		for _, t := range s.tasks {
			for _, e := range p.candidates {
				room := e.room().Minus(taken[e])
				isApart := s.AntiAffinity > 0 && e.countRuns(s)+members[e] >= s.AntiAffinity
				if rack != "" && e.Rack != rack || isApart || !s.Reserved().Fits(room) || !p.isSuitable(t, e) {
					continue
				}
				chosen = append(chosen, e)
				taken[e] = taken[e].Plus(s.Reserved())
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
