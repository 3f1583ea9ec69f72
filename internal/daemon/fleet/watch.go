package fleet

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/cell/roster"
	"gitlab.com/chicorypin/chicorypin/internal/cell/steward"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// watch watches the keys with a prefix until the context ends. It calls onSnapshot with
// all keys at the start and whenever changes may have been missed, and onChange with the
// changed keys after that. gap is the minimum time between two responses.
func (d *Daemon) watch(ctx context.Context, prefix string, gap time.Duration, onSnapshot, onChange func(items []store.Item)) {
	store.Watch(ctx, store.WatchConfig{
		Client: d.store, Prefix: prefix, MinInterval: gap, OnChange: onChange,
		OnSnapshot: func(items []store.Item) {
			event.WatchRestarted.Log(d.log, logrus.Fields{"prefix": prefix, "keys": len(items)})
			onSnapshot(items)
		},
		OnFailure: d.storeHealth.recordFailure, OnSuccess: d.storeHealth.recordSuccess,
	})
}

func (d *Daemon) watchRoster(ctx context.Context) {
	d.watch(ctx, roster.Prefix, 0, func(items []store.Item) {
		d.homes.Update(items)
		d.roster.Replace(items)
	}, func(items []store.Item) {
		d.homes.Update(items)
		d.roster.Update(items)
	})
}

// watchOperators watches the keys that operators write: the configuration, the
// maintenance waves and the evacuations.
func (d *Daemon) watchOperators(ctx context.Context) {
	d.watch(ctx, d.platform.OperatorPrefix, 0, d.replaceOperatorKeys, d.applyOperatorKeys)
}

// replaceOperatorKeys applies all keys of the operators and drops the waves whose keys
// were removed while the watch was interrupted.
func (d *Daemon) replaceOperatorKeys(items []store.Item) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
	}
	d.mu.Lock()
	maps.DeleteFunc(d.waves, func(key string, _ storedWave) bool { return !present[key] })
	d.mu.Unlock()
	// The watch may have missed that a key was removed.
	d.evacuations.readSoon()
	d.applyOperatorKeys(items)
}

// applyOperatorKeys applies changed keys of the operators. A configuration stays in force
// if its key is removed.
func (d *Daemon) applyOperatorKeys(items []store.Item) {
	for _, item := range items {
		switch {
		case item.Key == d.platform.ConfigKey && !item.IsRemoved:
			d.applyConfig(item)
		case strings.HasPrefix(item.Key, d.platform.WavePrefix):
			d.applyWave(item)
		case d.evacuations.isKey(item.Key):
			d.evacuations.readSoon()
		}
	}
}

// applyWave adds, replaces or removes a maintenance wave. A value that is not newer or
// cannot be decoded changes nothing.
func (d *Daemon) applyWave(item store.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if item.IsRemoved {
		delete(d.waves, item.Key)
		return
	}
	known, isKnown := d.waves[item.Key]
	if isKnown && known.revision >= item.Revision {
		return
	}
	wave, err := d.platform.DecodeWave(item.Value)
	if err != nil {
		event.SetupRejected.Log(d.log, logrus.Fields{"key": item.Key, "revision": item.Revision, "error": err.Error()})
		return
	}
	firstSeen := boot.Now()
	if isKnown {
		firstSeen = known.wave.FirstSeen
	}
	d.waves[item.Key] = storedWave{revision: item.Revision, wave: steward.Wave{Wave: wave, FirstSeen: firstSeen}}
	event.WaveReceived.Log(d.log, logrus.Fields{
		"wave": wave.Number, "revision": item.Revision, "machines": len(wave.Machines), "seconds": wave.Seconds, "most": wave.MaxDown,
	})
}

// applyConfig puts a configuration in force. One that is older than the current one,
// by its revision or its version, or cannot be decoded changes nothing.
func (d *Daemon) applyConfig(item store.Item) {
	current := d.setup.Load()
	if current != nil && item.Revision <= current.Revision {
		return
	}
	next, err := d.platform.DecodeConfig(item.Value, item.Revision)
	if err != nil {
		event.SetupRejected.Log(d.log, logrus.Fields{"revision": item.Revision, "error": err.Error()})
		return
	}
	if current != nil && next.Version < current.Version {
		event.SetupRejected.Log(d.log, logrus.Fields{"revision": item.Revision, "version": next.Version, "error": "older version"})
		return
	}
	d.setup.Store(next)
	d.ledger.SetSetup(next)
	d.applyHeadLimits(next)
	event.SetupInForce.Log(d.log, logrus.Fields{
		"version": next.Version, "revision": next.Revision, "queues": len(next.Queues), "accounts": len(next.Accounts),
	})
	d.wakeManager()
}

// watchEndpoints watches the endpoints while this entry owns a cell or is the steward.
// Endpoints update their keys often, and other entries do not need them.
func (d *Daemon) watchEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.isOwner() {
			select {
			case <-ctx.Done():
			case <-d.ownershipGained:
			case <-time.After(manageInterval):
			}
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		go func() {
			for watchCtx.Err() == nil && d.isOwner() {
				time.Sleep(manageInterval)
			}
			cancel()
		}()
		d.watchEndpointKeys(watchCtx)
		cancel()
		d.directory.invalidate()
	}
}

// isOwner reports whether this entry owns a cell or is the steward.
func (d *Daemon) isOwner() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.owners) > 0 || d.steward != nil
}

// watchEndpointKeys keeps the directory up to date until the context ends.
func (d *Daemon) watchEndpointKeys(ctx context.Context) {
	d.watch(ctx, d.platform.EndpointPrefix, endpointWatchGap, d.directory.replace, d.directory.update)
}

// distributeEndpoints passes to each owner in this entry the endpoints of its pool.
func (d *Daemon) distributeEndpoints(registrations map[string]endpoint.Registration) {
	d.evacuations.checkNames(func(centre string) bool {
		for _, r := range registrations {
			if r.Profile.Centre == centre {
				return true
			}
		}
		return false
	})
	machines := make(map[string]string, len(registrations))
	for id, r := range registrations {
		if !r.Profile.IsDraining {
			machines[r.Profile.Machine] = id
		}
	}
	for cell, o := range d.currentOwners() {
		o.SetMachines(machines)
		var own []endpoint.Registration
		for _, r := range registrations {
			if r.Pool == cell {
				own = append(own, r)
			}
		}
		o.SetEndpoints(own)
	}
}

// accountLimit returns a function that returns the resources that a client account may
// use in a cell, and whether they are limited.
func (d *Daemon) accountLimit(cell string) func(account string) (jobs.Size, bool) {
	return func(account string) (jobs.Size, bool) { return d.ledger.Allocation(cell, account) }
}

// accountTotal returns the limit of a client account in the configuration in force, zero if that has none.
func (d *Daemon) accountTotal(account string) jobs.Size {
	if s := d.setup.Load(); s != nil {
		return s.Accounts[account].Limit
	}
	return jobs.Size{}
}

// accountWeight returns the weight of a client account in the configuration in force, 0 for an
// account that is not in it.
func (d *Daemon) accountWeight(account string) float64 {
	if s := d.setup.Load(); s != nil {
		return s.Accounts[account].Weight
	}
	return 0
}
