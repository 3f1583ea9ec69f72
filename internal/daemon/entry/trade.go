package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/units"
)

// Groups of resources, each with a ledger of its own.
const (
	groupTeams = 0
	groupSlots = 1
)

func (e *Entry) ledger(group uint32) *units.Ledger {
	if group == groupSlots {
		return e.slots
	}
	return e.teams
}

// trade moves the ledgers on, asks peers for what is short, and starts what can
// start.
func (e *Entry) trade(now time.Time) {
	e.noticePause(now)
	e.dispatcher.Plan(now)
	for _, group := range []uint32{groupTeams, groupSlots} {
		for _, want := range e.ledger(group).Tick(now) {
			e.mesh.Send(want.To, wantFrame(group, want))
		}
	}
	e.mu.Lock()
	e.settle()
	e.noteIsolation(now)
	e.mu.Unlock()
	e.dispatcher.Kick()
}

// noticePause takes this entry's slices away after a pause until the platform
// or a peer has confirmed the documents: others may have been given them. If
// neither can be reached, nobody can have been told that this instance is
// gone, and the slices are taken up again.
func (e *Entry) noticePause(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	pause := now.Sub(e.state.traded)
	e.state.traded = now
	if pause <= pauseLimit {
		e.resumeAlone(now)
		return
	}
	event.Resumed.Log(e.log, logrus.Fields{"pause": pause.String()})
	if pause < e.teams.RecoveryTime() {
		return
	}
	e.state.isSuspect = true
	e.state.resumed = now
	if e.state.rewatch != nil {
		e.state.rewatch()
	}
	for _, name := range e.teams.Names() {
		e.teams.SetShare(name, 0)
	}
}

// resumeAlone takes the slices up again if nothing was heard for long.
func (e *Entry) resumeAlone(now time.Time) {
	if e.state.isSuspect && now.Sub(e.state.resumed) > e.teams.RecoveryTime() {
		e.state.isSuspect = false
		e.refresh()
	}
}

func (e *Entry) noteIsolation(now time.Time) {
	grace := time.Duration(e.index.Load().Document.IsolationGrace)
	isIsolated := grace > 0 && now.Sub(e.state.fresh) > grace
	if e.isolated.Swap(isIsolated) == isIsolated {
		return
	}
	if isIsolated {
		event.GraceEnded.Log(e.log, logrus.Fields{"grace": grace.String()})
	} else {
		event.GraceResumed.Log(e.log, nil)
	}
}

func (e *Entry) receiveWant(from string, want *wire.Want) {
	received := units.Want{From: from, To: e.id, Sequence: want.GetSequence()}
	for _, item := range want.GetItems() {
		received.Items = append(received.Items, units.WantItem{Name: item.GetName(), Hold: item.GetHold(), Want: item.GetWant()})
	}
	answer, ok := e.ledger(want.GetGroup()).ReceiveWant(e.config.Timer.Now(), received)
	if ok {
		e.mesh.Send(from, lendFrame(want.GetGroup(), answer))
	}
}

func (e *Entry) receiveLend(from string, lend *wire.Lend) {
	received := units.Lend{
		From: from, To: e.id, Sequence: lend.GetSequence(),
		Term: time.Duration(lend.GetTerm()) * time.Millisecond,
	}
	for _, item := range lend.GetItems() {
		received.Items = append(received.Items, units.LendItem{Name: item.GetName(), Units: item.GetUnits(), Spare: item.GetSpare()})
	}
	e.ledger(lend.GetGroup()).ReceiveLend(received)
	e.dispatcher.Kick()
}

func wantFrame(group uint32, want units.Want) *wire.Frame {
	body := &wire.Want{Group: group, Sequence: want.Sequence}
	for _, item := range want.Items {
		body.Items = append(body.Items, &wire.WantItem{Name: item.Name, Hold: item.Hold, Want: item.Want})
	}
	return &wire.Frame{Body: &wire.Frame_Want{Want: body}}
}

func lendFrame(group uint32, lend units.Lend) *wire.Frame {
	body := &wire.Lend{Group: group, Sequence: lend.Sequence, Term: uint64(lend.Term / time.Millisecond)}
	for _, item := range lend.Items {
		body.Items = append(body.Items, &wire.LendItem{Name: item.Name, Units: item.Units, Spare: item.Spare})
	}
	return &wire.Frame{Body: &wire.Frame_Lend{Lend: body}}
}
