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

// renewalsPerTTL is how often a lease is renewed within its time.
const renewalsPerTTL = 3

// watchDocuments keeps the documents up to date by one watch. When the watch ends, all
// keys are read anew.
func (e *Entry) watchDocuments(ctx context.Context) {
	_ = platform.Retry(ctx, func(ctx context.Context) error {
		values, revision, err := e.platform.List(ctx, keyPrefix)
		if err != nil {
			e.setReachable(false, err)
			return err
		}
		e.applyAll(values)
		watch, cancel := context.WithCancel(ctx)
		defer cancel()
		e.mu.Lock()
		e.state.restartWatch = cancel
		e.mu.Unlock()
		return e.platform.Watch(watch, keyPrefix, revision+1, e.applyChanges)
	})
}

// applyAll takes all keys of the platform; members that it does not list are
// listed no longer.
func (e *Entry) applyAll(values []platform.Value) {
	e.setReachable(true, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.state.members {
		m.isRegistered = false
	}
	e.state.storedConfig, e.state.storedFleet, e.state.storedTable = storedVersion{}, storedVersion{}, storedVersion{}
	e.state.steward = ""
	for _, value := range values {
		e.applyValue(value)
	}
	e.ownMember().isRegistered = true
	e.confirmDocuments()
	e.applyMemberChange()
	e.isReady.Store(true)
}

func (e *Entry) applyChanges(changes []platform.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			e.applyDeletion(c.Key)
		} else {
			e.applyValue(c.Value)
		}
	}
	e.applyMemberChange()
}

func (e *Entry) applyValue(value platform.Value) {
	switch {
	case value.Key == keyConfig:
		e.applyConfig(value.Data, value.Version)
	case value.Key == keyFleet:
		e.applyFleet(value.Data, value.Version)
	case value.Key == keyTable:
		e.applyTable(value.Data, value.Version)
	case value.Key == keySteward:
		e.recordSteward(value.Data)
	case strings.HasPrefix(value.Key, keyMembers):
		e.recordMember(value.Data)
	}
}

func (e *Entry) applyDeletion(key string) {
	switch {
	case key == keyConfig:
		e.state.storedConfig = storedVersion{}
	case key == keyFleet:
		e.state.storedFleet = storedVersion{}
	case key == keyTable:
		e.state.storedTable = storedVersion{}
	case key == keySteward:
		e.recordSteward(nil)
	case strings.HasPrefix(key, keyMembers):
		if m := e.state.members[strings.TrimPrefix(key, keyMembers)]; m != nil {
			m.isRegistered = m.Entry == e.id
		}
	}
}

// applyMemberChange applies a change of the members.
func (e *Entry) applyMemberChange() {
	now := e.config.Timer.Now()
	e.connectMembersLocked(now)
	e.assignSlots(now)
}

// confirmDocuments notes that the documents are fresh.
func (e *Entry) confirmDocuments() {
	e.advanceFreshAt(e.config.Timer.Now())
	if e.state.isSuspect {
		e.state.isSuspect = false
		e.updateShares()
	}
}

func (e *Entry) advanceFreshAt(at time.Time) {
	if at.After(e.state.freshAt) {
		e.state.freshAt = at
	}
}

func (e *Entry) setReachable(isReachable bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.isReachable == isReachable {
		return
	}
	e.state.isReachable = isReachable
	if isReachable {
		event.PlatformBack.Log(e.log, nil)
	} else {
		event.PlatformLost.Log(e.log, logrus.Fields{"error": err})
	}
}

// maintainRegistration keeps this entry's document in the platform under a lease.
func (e *Entry) maintainRegistration(ctx context.Context) {
	ttl := time.Duration(e.settings.TTL)
	lastRenewal := time.Time{}
	for ctx.Err() == nil {
		err := e.writeMember(ctx, ttl)
		if err == nil && time.Since(lastRenewal) > ttl/renewalsPerTTL {
			err = e.renewLease(ctx)
			lastRenewal = time.Now()
		}
		if err != nil {
			e.setReachable(false, err)
		}
		wait := memberPeriod
		if err != nil {
			wait = ttl / renewalsPerTTL / 2
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// renewLease renews the lease and reads the config, in case the watch has stalled.
func (e *Entry) renewLease(ctx context.Context) error {
	e.mu.Lock()
	lease := e.state.lease
	e.mu.Unlock()
	err := e.platform.Renew(ctx, lease)
	var lapsed *platform.LeaseError
	if errors.As(err, &lapsed) {
		event.LeaseLost.Log(e.log, nil)
		e.mu.Lock()
		e.state.lease, e.state.lastMemberText, e.state.memberVersion = 0, "", 0
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
	e.setReachable(true, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	if value.Version > 0 && value.Version != e.state.storedConfig.version {
		e.applyConfig(value.Data, value.Version)
	}
	e.advanceFreshAt(e.config.Timer.Now())
	return nil
}

// writeMember writes this entry's document if it has changed.
func (e *Entry) writeMember(ctx context.Context, ttl time.Duration) error {
	e.mu.Lock()
	own := e.refreshOwnDocument()
	written := e.state.lastMemberText
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
	version, err = e.platform.Swap(ctx, keyMembers+e.id, version, data, lease)
	e.mu.Lock()
	defer e.mu.Unlock()
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		e.state.memberVersion = conflict.Current.Version
		return nil
	}
	if err == nil {
		e.state.lastMemberText, e.state.memberVersion = string(text), version
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

// refreshOwnDocument brings this entry's own record up to date and returns its document
// without an id.
func (e *Entry) refreshOwnDocument() MemberDocument {
	m := e.ownMember()
	m.Name = e.settings.Name
	m.Centre = e.settings.Centre
	m.Peer = e.mesh.Address()
	m.Operator = e.Operator()
	m.Leaving = e.isLeaving.Load()
	m.Fleet = e.state.fleet.Revision
	m.Busy = e.busyInstances()
	own := m.MemberDocument
	own.ID = ""
	return own
}

// busyInstances are the instances that get no new work here and still run some, or on
// which another entry may be using slots that this one has lent.
func (e *Entry) busyInstances() (names []string) {
	for _, i := range e.state.fleet.Instances {
		if !i.IsServing() && !e.slots.IsResourceIdle(i.Name) {
			names = append(names, i.Name)
		}
	}
	slices.Sort(names)
	return names
}

// readInstances reads the platform's list of instances. A list that cannot be read,
// or that has become empty, leaves the last one in force.
func (e *Entry) readInstances(ctx context.Context, now time.Time) {
	instances, err := e.platform.Instances(ctx)
	if err != nil || len(instances) == 0 {
		return
	}
	listed := make(map[string]platform.Instance, len(instances))
	for _, i := range instances {
		listed[i.Name] = i
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !maps.Equal(listed, e.state.listedInstances) {
		e.state.listedInstances = listed
		e.rebuildRoster(now)
	}
}
