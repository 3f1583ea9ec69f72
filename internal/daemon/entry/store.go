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

// renewalsPerTTL is how often a lease is renewed within its TTL.
const renewalsPerTTL = 3

// watchDocuments reads all keys and then watches them for changes until the
// context ends. When the watch ends, it starts again with reading all keys.
func (e *Entry) watchDocuments(ctx context.Context) {
	_ = platform.Retry(ctx, func(ctx context.Context) error {
		values, revision, err := e.platform.List(ctx, keyPrefix)
		if err != nil {
			e.setReachable(false, err)
			return err
		}
		e.applyAll(values)
		watchContext, cancel := context.WithCancel(ctx)
		defer cancel()
		e.mu.Lock()
		e.state.restartWatch = cancel
		e.mu.Unlock()
		return e.platform.Watch(watchContext, keyPrefix, revision+1, e.applyChanges)
	})
}

// applyAll applies the values of all keys in the platform. A member without a
// key is no longer registered, and without the steward's key there is no
// steward.
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

// applyChanges applies changes of keys that the watch reports.
func (e *Entry) applyChanges(changes []platform.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range changes {
		if c.IsDeleted {
			e.applyDeletion(c.Key)
		} else {
			e.applyValue(c.Value)
		}
	}
	e.applyMemberChange()
}

// applyValue applies the value of one key. The caller holds e.mu.
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

// applyDeletion applies the deletion of a key. Documents in force stay in
// force. The caller holds e.mu.
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

// applyMemberChange updates the connections and the owners of slots after a
// change of the members. The caller holds e.mu.
func (e *Entry) applyMemberChange() {
	now := e.config.Clock.Now()
	e.connectMembersLocked(now)
	e.assignSlots(now)
}

// confirmDocuments records that the documents are the newest now, and uses the
// slice again if it was suspect. The caller holds e.mu.
func (e *Entry) confirmDocuments() {
	e.advanceFreshAt(e.config.Clock.Now())
	if e.state.isSuspect {
		e.state.isSuspect = false
		e.updateShares()
	}
}

// advanceFreshAt sets freshAt if the given time is later. The caller holds
// e.mu.
func (e *Entry) advanceFreshAt(at time.Time) {
	if at.After(e.state.freshAt) {
		e.state.freshAt = at
	}
}

// setReachable records whether the platform is reachable, and logs a change.
func (e *Entry) setReachable(isReachable bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.isReachable == isReachable {
		return
	}
	e.state.isReachable = isReachable
	if isReachable {
		event.PlatformReachable.Log(e.log, nil)
	} else {
		event.PlatformUnreachable.Log(e.log, logrus.Fields{"error": err})
	}
}

// maintainRegistration keeps this entry's member document in the platform up to
// date and its lease renewed, until the context ends.
func (e *Entry) maintainRegistration(ctx context.Context) {
	ttl := time.Duration(e.settings.TTL)
	lastRenewal := time.Time{}
	for ctx.Err() == nil {
		err := e.writeMember(ctx, ttl)
		if now := e.config.Clock.Now(); err == nil && now.Sub(lastRenewal) > ttl/renewalsPerTTL {
			err = e.renewLease(ctx)
			lastRenewal = now
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

// renewLease renews the lease and reads the config, in case the watch has
// stalled. If the lease has expired, it is discarded, and writeMember acquires
// a new one.
func (e *Entry) renewLease(ctx context.Context) error {
	e.mu.Lock()
	lease := e.state.lease
	e.mu.Unlock()
	err := e.platform.Renew(ctx, lease)
	var expired *platform.LeaseExpiredError
	if errors.As(err, &expired) {
		event.LeaseExpired.Log(e.log, nil)
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
	e.advanceFreshAt(e.config.Clock.Now())
	return nil
}

// writeMember writes this entry's member document if it has changed since it
// was last written.
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
	version, err = e.platform.CompareAndSwap(ctx, keyMembers+e.id, version, data, lease)
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
		// The platform may have lost the lease when its store was restored from
		// a backup.
		e.state.lease, e.state.memberVersion = 0, 0
	}
	return err
}

// ensureLease returns the given lease, or acquires a new one if it is 0.
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

// refreshOwnDocument updates this entry's own member record and returns its
// document without an id. The caller holds e.mu.
func (e *Entry) refreshOwnDocument() MemberDocument {
	m := e.ownMember()
	m.Name = e.settings.Name
	m.Centre = e.settings.Centre
	m.Peer = e.mesh.Address()
	m.Operator = e.OperatorAddress()
	m.Leaving = e.isLeaving.Load()
	m.Fleet = e.state.fleet.Revision
	m.Busy = e.busyInstances()
	own := m.MemberDocument
	own.ID = ""
	return own
}

// busyInstances returns the sorted names of the instances out of service on
// which work of this entry may still be running, or on which another entry may
// be using slots that this one has lent.
func (e *Entry) busyInstances() (names []string) {
	for _, i := range e.state.fleet.Instances {
		if !i.IsServing() && !e.slots.IsResourceIdle(i.Name) {
			names = append(names, i.Name)
		}
	}
	slices.Sort(names)
	return names
}

// readInstances reads the platform's list of instances. If that fails, or the
// list is empty, the last list stays in use.
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
