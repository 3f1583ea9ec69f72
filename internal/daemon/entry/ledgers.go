package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/units"
)

// Groups of resources as numbered on the wire. Each has its own ledger.
const (
	groupTeams = 0
	groupSlots = 1
)

// ledger returns the ledger of a group, that of the teams for an unknown group.
func (e *Entry) ledger(group uint32) *units.Ledger {
	if group == groupSlots {
		return e.slots
	}
	return e.teams
}

// runLedgerPass ticks the ledgers, requests units that are needed
// from peers, puts new revisions in force if possible, and dispatches waiting
// requests.
func (e *Entry) runLedgerPass(now time.Time) {
	e.detectPause(now)
	e.dispatcher.UpdateDemand(now)
	for _, group := range []uint32{groupTeams, groupSlots} {
		for _, want := range e.ledger(group).Tick(now) {
			e.mesh.Send(want.To, wantFrame(group, want))
		}
	}
	e.mu.Lock()
	e.applyNewest()
	e.updateIsolation(now)
	e.mu.Unlock()
	e.dispatcher.DispatchAll()
}

// detectPause logs a pause of this process. After a pause of at least the
// recovery time the other entries may have taken over its slice, so detectPause
// restarts the watch and sets the teams' shares to 0 until the platform or a
// peer confirms the documents, or resumeUnconfirmed ends the wait.
func (e *Entry) detectPause(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	pause := now.Sub(e.state.lastLedgerPass)
	e.state.lastLedgerPass = now
	if pause <= pauseLimit {
		e.resumeUnconfirmed(now)
		return
	}
	event.Resumed.Log(e.log, logrus.Fields{"pause": pause.String()})
	if pause < e.teams.RecoveryTime() {
		return
	}
	e.state.isSuspect = true
	e.state.resumedAt = now
	if e.state.restartWatch != nil {
		e.state.restartWatch()
	}
	for _, name := range e.teams.Names() {
		e.teams.SetShare(name, 0)
	}
}

// resumeUnconfirmed uses the slice again when neither the platform nor a peer
// has confirmed the documents for the recovery time since the pause. While
// neither can be reached, no other entry can have learnt that this instance is
// gone. The caller holds e.mu.
func (e *Entry) resumeUnconfirmed(now time.Time) {
	if e.state.isSuspect && now.Sub(e.state.resumedAt) > e.teams.RecoveryTime() {
		e.state.isSuspect = false
		e.updateShares()
	}
}

// updateIsolation sets isIsolated if the documents have not been known to be
// the newest for longer than the grace time of the config, and logs a change. A
// grace time of 0 means no limit. The caller holds e.mu.
func (e *Entry) updateIsolation(now time.Time) {
	grace := time.Duration(e.index.Load().Document.IsolationGrace)
	isIsolated := grace > 0 && now.Sub(e.state.freshAt) > grace
	if e.isIsolated.Swap(isIsolated) == isIsolated {
		return
	}
	if isIsolated {
		event.GraceExpired.Log(e.log, logrus.Fields{"grace": grace.String()})
	} else {
		event.IsolationEnded.Log(e.log, nil)
	}
}

// receiveWant replies to a peer's request for units.
func (e *Entry) receiveWant(from string, want *wire.Want) {
	reply, ok := e.ledger(want.GetGroup()).ReceiveWant(e.config.Clock.Now(), decodeWant(from, e.id, want))
	if ok {
		e.mesh.Send(from, lendFrame(want.GetGroup(), reply))
	}
}

// receiveLend records the units that a peer lends and dispatches waiting
// requests.
func (e *Entry) receiveLend(from string, lend *wire.Lend) {
	received := units.Lend{
		From: from, To: e.id, Sequence: lend.GetSequence(),
		Term: time.Duration(lend.GetTerm()) * time.Millisecond,
	}
	for _, item := range lend.GetItems() {
		received.Items = append(received.Items, units.LendItem{Name: item.GetName(), Units: item.GetUnits(), Spare: item.GetSpare()})
	}
	e.ledger(lend.GetGroup()).ReceiveLend(received)
	e.dispatcher.DispatchAll()
}

func wantFrame(group uint32, want units.Want) *wire.Frame {
	// Rounded up, since the lender must not count units for a shorter time.
	run := (want.MaxRunTime + time.Millisecond - 1) / time.Millisecond
	body := &wire.Want{Group: group, Sequence: want.Sequence, Run: uint64(run)}
	for _, item := range want.Items {
		body.Items = append(body.Items, &wire.WantItem{Name: item.Name, Hold: item.Hold, Want: item.Want})
	}
	return &wire.Frame{Body: &wire.Frame_Want{Want: body}}
}

// decodeWant returns the request of a peer that wantFrame has encoded.
func decodeWant(from, to string, body *wire.Want) units.Want {
	want := units.Want{
		From: from, To: to, Sequence: body.GetSequence(),
		MaxRunTime: time.Duration(body.GetRun()) * time.Millisecond,
	}
	for _, item := range body.GetItems() {
		want.Items = append(want.Items, units.WantItem{Name: item.GetName(), Hold: item.GetHold(), Want: item.GetWant()})
	}
	return want
}

func lendFrame(group uint32, lend units.Lend) *wire.Frame {
	body := &wire.Lend{Group: group, Sequence: lend.Sequence, Term: uint64(lend.Term / time.Millisecond)}
	for _, item := range lend.Items {
		body.Items = append(body.Items, &wire.LendItem{Name: item.Name, Units: item.Units, Spare: item.Spare})
	}
	return &wire.Frame{Body: &wire.Frame_Lend{Lend: body}}
}
