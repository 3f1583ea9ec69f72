package fleet

import (
	"context"
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

// watch follows a prefix of the store.
func (d *Daemon) watch(ctx context.Context, prefix string, gap time.Duration, full, changed func(items []store.Item)) {
	store.Watch(ctx, store.WatchConfig{
		Client: d.store, Prefix: prefix, MinInterval: gap, OnChange: changed,
		OnSnapshot: func(items []store.Item) {
			event.WatchRestart.Log(d.log, logrus.Fields{"prefix": prefix, "keys": len(items)})
			full(items)
		},
		OnFailure: d.contact.failed, OnSuccess: d.contact.reached,
	})
}

func (d *Daemon) watchRoster(ctx context.Context) {
	d.watch(ctx, roster.Prefix, 0, d.roster.Replace, d.roster.Update)
}

// watchOperators follows the configuration and the waves.
func (d *Daemon) watchOperators(ctx context.Context) {
	d.watch(ctx, d.platform.OperatorPrefix, 0, d.takeOperators, d.takeOperators)
}

func (d *Daemon) takeOperators(items []store.Item) {
	for _, item := range items {
		switch {
		case item.Key == d.platform.ConfigKey && !item.IsRemoved:
			d.takeConfig(item)
		case strings.HasPrefix(item.Key, d.platform.WavePrefix):
			d.takeWave(item)
		}
	}
}

func (d *Daemon) takeWave(item store.Item) {
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
		event.SetupRefused.Log(d.log, logrus.Fields{"key": item.Key, "revision": item.Revision, "error": err.Error()})
		return
	}
	seen := boot.Now()
	if isKnown {
		seen = known.wave.FirstSeen
	}
	d.waves[item.Key] = knownWave{revision: item.Revision, wave: steward.Wave{Wave: wave, FirstSeen: seen}}
	event.WaveSeen.Log(d.log, logrus.Fields{
		"wave": wave.Number, "revision": item.Revision, "machines": len(wave.Machines), "seconds": wave.Seconds, "most": wave.MaxDown,
	})
}

// takeConfig brings a configuration in force. One that is older or cannot be
// read changes nothing.
func (d *Daemon) takeConfig(item store.Item) {
	current := d.setup.Load()
	if current != nil && item.Revision <= current.Revision {
		return
	}
	next, err := d.platform.DecodeConfig(item.Value, item.Revision)
	if err != nil {
		event.SetupRefused.Log(d.log, logrus.Fields{"revision": item.Revision, "error": err.Error()})
		return
	}
	if current != nil && next.Version < current.Version {
		event.SetupRefused.Log(d.log, logrus.Fields{"revision": item.Revision, "version": next.Version, "error": "older version"})
		return
	}
	d.setup.Store(next)
	d.ledger.SetSetup(next)
	event.SetupInForce.Log(d.log, logrus.Fields{
		"version": next.Version, "revision": next.Revision, "queues": len(next.Queues), "accounts": len(next.Accounts),
	})
	d.nudge()
}

// watchEndpoints follows the endpoints while this entry owns anything: endpoints
// write often, and entries without a cell need not know.
func (d *Daemon) watchEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.ownsAny() {
			select {
			case <-ctx.Done():
			case <-d.owning:
			case <-time.After(manageEvery):
			}
			continue
		}
		watch, cancel := context.WithCancel(ctx)
		go func() {
			for watch.Err() == nil && d.ownsAny() {
				time.Sleep(manageEvery)
			}
			cancel()
		}()
		d.followEndpoints(watch)
		cancel()
		d.directory.forget()
	}
}

// ownsAny tells whether this entry owns a cell or is the steward.
func (d *Daemon) ownsAny() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.owners) > 0 || d.steward != nil
}

func (d *Daemon) followEndpoints(ctx context.Context) {
	d.watch(ctx, d.platform.EndpointPrefix, registryGap, d.directory.full, d.directory.update)
}

// passEntries gives each cell that this entry owns its endpoints.
func (d *Daemon) passEntries(entries map[string]endpoint.Entry) {
	for cell, o := range d.currentOwners() {
		var own []endpoint.Entry
		for _, entry := range entries {
			if entry.Pool == cell {
				own = append(own, entry)
			}
		}
		o.SetEndpoints(own)
	}
}

// entitled returns what client accounts may use in a cell.
func (d *Daemon) entitled(cell string) func(account string) (jobs.Size, bool) {
	return func(account string) (jobs.Size, bool) { return d.ledger.Allocation(cell, account) }
}
