package entry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// renewals is how often a lease is renewed within its time.
const renewals = 3

// follow keeps the documents up to date by one watch. When the watch ends, all
// keys are read anew.
func (e *Entry) follow(ctx context.Context) {
	_ = platform.Retry(ctx, func(ctx context.Context) error {
		values, revision, err := e.platform.List(ctx, keyPrefix)
		if err != nil {
			e.setReached(false, err)
			return err
		}
		e.takeAll(values)
		watch, cancel := context.WithCancel(ctx)
		defer cancel()
		e.mu.Lock()
		e.state.rewatch = cancel
		e.mu.Unlock()
		return e.platform.Watch(watch, keyPrefix, revision+1, e.takeChanges)
	})
}

// takeAll takes all keys of the platform; members that it does not list are
// listed no longer.
func (e *Entry) takeAll(values []platform.Value) {
	e.setReached(true, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.state.members {
		m.isListed = false
	}
	e.state.configStore, e.state.fleetStore, e.state.tableStore = stored{}, stored{}, stored{}
	e.state.steward = ""
	for _, value := range values {
		e.takeValue(value)
	}
	e.self().isListed = true
	e.confirm()
	e.afterChange()
	e.ready.Store(true)
}

func (e *Entry) takeChanges(changes []platform.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range changes {
		if c.IsDeleted {
			e.dropValue(c.Key)
		} else {
			e.takeValue(c.Value)
		}
	}
	e.afterChange()
}

func (e *Entry) takeValue(value platform.Value) {
	switch {
	case value.Key == keyConfig:
		e.takeConfig(value.Data, value.Version)
	case value.Key == keyFleet:
		e.takeFleet(value.Data, value.Version)
	case value.Key == keyTable:
		e.takeTable(value.Data, value.Version)
	case value.Key == keySteward:
		e.takeSteward(value.Data)
	case strings.HasPrefix(value.Key, keyMembers):
		e.takeMember(value.Data)
	}
}

func (e *Entry) dropValue(key string) {
	switch {
	case key == keyConfig:
		e.state.configStore = stored{}
	case key == keyFleet:
		e.state.fleetStore = stored{}
	case key == keyTable:
		e.state.tableStore = stored{}
	case key == keySteward:
		e.takeSteward(nil)
	case strings.HasPrefix(key, keyMembers):
		if m := e.state.members[strings.TrimPrefix(key, keyMembers)]; m != nil {
			m.isListed = m.Entry == e.id
		}
	}
}

// afterChange applies a change of the members.
func (e *Entry) afterChange() {
	now := e.config.Timer.Now()
	e.linkLocked(now)
	e.assignSlots(now)
}

// confirm notes that the documents are fresh.
func (e *Entry) confirm() {
	e.setFresh(e.config.Timer.Now())
	if e.state.isSuspect {
		e.state.isSuspect = false
		e.refresh()
	}
}

func (e *Entry) setFresh(at time.Time) {
	if at.After(e.state.fresh) {
		e.state.fresh = at
	}
}

func (e *Entry) setReached(isReached bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.reached == isReached {
		return
	}
	e.state.reached = isReached
	if isReached {
		event.PlatformBack.Log(e.log, nil)
	} else {
		event.PlatformLost.Log(e.log, logrus.Fields{"error": err})
	}
}

// keepMember keeps this entry's document in the platform under a lease.
func (e *Entry) keepMember(ctx context.Context) {
	ttl := time.Duration(e.settings.TTL)
	renewed := time.Time{}
	for ctx.Err() == nil {
		err := e.writeMember(ctx, ttl)
		if err == nil && time.Since(renewed) > ttl/renewals {
			err = e.renew(ctx)
			renewed = time.Now()
		}
		if err != nil {
			e.setReached(false, err)
		}
		wait := memberPeriod
		if err != nil {
			wait = ttl / renewals / 2
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// renew renews the lease and reads the config, in case the watch has stalled.
func (e *Entry) renew(ctx context.Context) error {
	e.mu.Lock()
	lease := e.state.lease
	e.mu.Unlock()
	err := e.platform.Renew(ctx, lease)
	var lapsed *platform.LeaseExpiredError
	if errors.As(err, &lapsed) {
		event.LeaseLost.Log(e.log, nil)
		e.mu.Lock()
		e.state.lease, e.state.memberText, e.state.memberVersion = 0, "", 0
		e.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	value, err := e.platform.Get(ctx, keyConfig)
	if err != nil {
		return err
	}
	e.setReached(true, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	if value.Version > 0 && value.Version != e.state.configStore.version {
		e.takeConfig(value.Data, value.Version)
	}
	e.setFresh(e.config.Timer.Now())
	return nil
}

// writeMember writes this entry's document if it has changed.
func (e *Entry) writeMember(ctx context.Context, ttl time.Duration) error {
	e.mu.Lock()
	own := e.ownDocument()
	written := e.state.memberText
	lease, version := e.state.lease, e.state.memberVersion
	e.mu.Unlock()
	text, err := json.Marshal(own)
	if err != nil || string(text) == written {
		return err
	}
	lease, err = e.ensureLease(ctx, lease, ttl)
	if err != nil {
		return err
	}
	own.ID = uuid.NewString()
	data, err := json.Marshal(own)
	if err != nil {
		return err
	}
	version, err = e.platform.CompareAndSwap(ctx, keyMembers+e.id, version, data, lease)
	e.mu.Lock()
	defer e.mu.Unlock()
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		e.state.memberVersion = conflict.Current.Version
		return nil
	}
	if err == nil {
		e.state.memberText, e.state.memberVersion = string(text), version
	} else {
		// The lease may have lapsed with an older store.
		e.state.lease, e.state.memberVersion = 0, 0
	}
	return err
}

func (e *Entry) ensureLease(ctx context.Context, lease platform.Lease, ttl time.Duration) (platform.Lease, error) {
	if lease != 0 {
		return lease, nil
	}
	lease, err := e.platform.Grant(ctx, ttl)
	if err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.lease = lease
	return lease, nil
}

// ownDocument brings this entry's own record up to date and returns its document
// without an id.
func (e *Entry) ownDocument() MemberDocument {
	m := e.self()
	m.Name = e.settings.Name
	m.Centre = e.settings.Centre
	m.Peer = e.mesh.Address()
	m.Operator = e.Operator()
	m.Leaving = e.leaving.Load()
	m.Fleet = e.state.fleet.Revision
	m.Busy = e.busy()
	own := m.MemberDocument
	own.ID = ""
	return own
}

// busy are the instances that get no new work here and still run some, or on
// which another entry may be using slots that this one has lent.
func (e *Entry) busy() (names []string) {
	for _, i := range e.state.fleet.Instances {
		if !i.IsServing() && !e.slots.IsResourceIdle(i.Name) {
			names = append(names, i.Name)
		}
	}
	slices.Sort(names)
	return names
}

// readList reads the platform's list of instances. A list that cannot be read,
// or that has become empty, leaves the last one in force.
func (e *Entry) readList(ctx context.Context, now time.Time) {
	instances, err := e.platform.Instances(ctx)
	if err != nil || len(instances) == 0 {
		return
	}
	live := make(map[string]platform.Instance, len(instances))
	for _, i := range instances {
		live[i.Name] = i
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !maps.Equal(live, e.state.live) {
		e.state.live = live
		e.buildRoster(now)
	}
}
