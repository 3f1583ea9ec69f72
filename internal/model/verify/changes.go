package verify

import (
	"fmt"
	"slices"
	"strings"

	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// differ collects the differences between two versions.
type differ struct {
	before, after *Config
	findings      []Finding
}

// Compare returns what differs from the version in force and which effect it has. Paths
// are those of the new version; the path of an entry that was removed is that of its
// section. Of entries with the same name, the first counts.
func Compare(before, after *Config) []Finding {
	d := &differ{before: before, after: after}
	d.compareTop()
	d.compareQueues()
	d.comparePools()
	d.compareAccounts()
	return d.findings
}

func (d *differ) add(severity Severity, location Location, format string, args ...any) {
	d.findings = append(d.findings, Finding{Severity: severity, Path: d.after.Path(location), Text: fmt.Sprintf(format, args...)})
}

// compareValue adds a change if two values differ.
func compareValue[T comparable](d *differ, location Location, what string, before, after T) {
	if before != after {
		d.add(Change, location, "%s changes from %v to %v", what, before, after)
	}
}

func (d *differ) compareTop() {
	before, after := d.before, d.after
	location := at(Top, whole, Version)
	switch {
	case after.Version < before.Version:
		d.add(Warning, location, "version %d is lower than %d, which is in force: entries ignore this configuration", after.Version, before.Version)
	case after.Version == before.Version:
		// Daemon.applyConfig rejects lower versions only.
		d.add(Warning, location, "version %d is in force already: entries apply this configuration, but logs and dumps cannot tell the two apart", after.Version)
	default:
		compareValue(d, location, "the version", before.Version, after.Version)
	}
	compareValue(d, at(Top, whole, MaxHeaderBytes), "the maximum size of headers", before.MaxHeaderBytes, after.MaxHeaderBytes)
	compareValue(d, at(Top, whole, MaxBodyBytes), "the maximum size of bodies", before.MaxBodyBytes, after.MaxBodyBytes)
}

// indexByName returns the position of the first entry of each name that is not empty.
func indexByName[T any](entries []T, name func(entry *T) string) map[string]int {
	index := make(map[string]int, len(entries))
	for i := range entries {
		n := name(&entries[i])
		if _, isKnown := index[n]; !isKnown && n != "" {
			index[n] = i
		}
	}
	return index
}

// compareEntries calls the functions for the entries of a section that were removed, are
// new or are in both versions. Removed entries come first.
func compareEntries[T any](before, after []T, name func(entry *T) string, removed func(before *T), added func(i int, after *T), kept func(i int, before, after *T)) {
	old, current := indexByName(before, name), indexByName(after, name)
	for i := range before {
		n := name(&before[i])
		if _, isKept := current[n]; !isKept && n != "" && old[n] == i {
			removed(&before[i])
		}
	}
	for i := range after {
		n := name(&after[i])
		if n == "" || current[n] != i {
			continue
		}
		if position, isKept := old[n]; isKept {
			kept(i, &before[position], &after[i])
		} else {
			added(i, &after[i])
		}
	}
}

func (d *differ) compareQueues() {
	compareEntries(d.before.Queues, d.after.Queues, func(q *setup.Queue) string { return q.Name },
		func(q *setup.Queue) {
			d.add(Change, at(Queues, whole, Entry), "queue %q ends: its requests are answered with 404 unless another queue matches them", q.Name)
		},
		func(i int, q *setup.Queue) {
			d.add(Change, at(Queues, i, Entry), "queue %q is new: its jobs run in pool %q", q.Name, q.Pool)
		},
		d.compareQueue)
}

func (d *differ) compareQueue(i int, before, after *setup.Queue) {
	if before.Pool != after.Pool {
		d.add(Change, at(Queues, i, Pool), "queue %q changes from pool %q to %q: new jobs run there; requests about earlier jobs are answered with 410", after.Name, before.Pool, after.Pool)
	}
	prefix := fmt.Sprintf("queue %q: ", after.Name)
	compareValue(d, at(Queues, i, Host), prefix+"the host", before.Host, after.Host)
	compareValue(d, at(Queues, i, Prefix), prefix+"the prefix", before.Prefix, after.Prefix)
	compareValue(d, at(Queues, i, Anonymous), prefix+"access without a key", before.IsAnonymous, after.IsAnonymous)
	compareValue(d, at(Queues, i, Priority), prefix+"the priority of new jobs", before.Priority, after.Priority)
	compareValue(d, at(Queues, i, MaxAttempts), prefix+"the maximum number of attempts of new jobs", before.MaxAttempts, after.MaxAttempts)
	compareValue(d, at(Queues, i, Stretch), prefix+"the stretch of new jobs", before.Stretch, after.Stretch)
	compareValue(d, at(Queues, i, Target), prefix+"the target latency of new jobs", before.Target, after.Target)
	compareValue(d, at(Queues, i, Timeout), prefix+"the timeout", before.Timeout, after.Timeout)
	switch {
	case before.Advice == nil && after.Advice == nil:
	case before.Advice == nil:
		d.add(Change, at(Queues, i, Advice), "%sthe advice service decides where new jobs run", prefix)
	case after.Advice == nil:
		d.add(Change, at(Queues, i, Entry), "%sthe advice service is not asked for new jobs any more", prefix)
	default:
		compareValue(d, at(Queues, i, DecisionTime), prefix+"the decision time of advice", before.Advice.DecisionTime, after.Advice.DecisionTime)
		compareValue(d, at(Queues, i, TimePerEndpoint), prefix+"the time of advice for each endpoint", before.Advice.TimePerEndpoint, after.Advice.TimePerEndpoint)
		compareValue(d, at(Queues, i, TicketValidity), prefix+"the validity of advice", before.Advice.TicketValidity, after.Advice.TicketValidity)
	}
}

func (d *differ) comparePools() {
	compareEntries(d.before.Pools, d.after.Pools, func(p *setup.Pool) string { return p.Name },
		func(p *setup.Pool) {
			d.add(Change, at(Pools, whole, Entry), "pool %q is removed: no entry takes its cell over any more, and its machines are not planned for", p.Name)
		},
		func(i int, p *setup.Pool) {
			d.add(Change, at(Pools, i, Entry), "pool %q is new", p.Name)
		},
		func(i int, before, after *setup.Pool) {
			switch {
			case !before.IsStandby && after.IsStandby:
				d.add(Change, at(Pools, i, Standby), "pool %q goes on standby: its machines are switched off", after.Name)
			case before.IsStandby && !after.IsStandby:
				d.add(Change, at(Pools, i, Standby), "pool %q is not on standby any more: machines are switched on as its work needs them", after.Name)
			}
			compareValue(d, at(Pools, i, AdmissionCheck), fmt.Sprintf("pool %q: the check by endpoints whether runs fit", after.Name), before.IsAdmissionChecked, after.IsAdmissionChecked)
		})
}

func (d *differ) compareAccounts() {
	compareEntries(d.before.Accounts, d.after.Accounts, func(a *Account) string { return a.Name },
		func(a *Account) {
			d.add(Change, at(Accounts, whole, Entry), "account %q is removed: requests with its keys are answered with 401", a.Name)
		},
		func(i int, a *Account) {
			d.add(Change, at(Accounts, i, Entry), "account %q is new, with %d keys", a.Name, len(a.Keys))
		},
		d.compareAccount)
}

func (d *differ) compareAccount(i int, before, after *Account) {
	if lost := countMissing(before.Keys, after.Keys); lost > 0 {
		d.add(Change, at(Accounts, i, Keys), "account %q loses %d of %d keys: requests with them are answered with 401", after.Name, lost, len(before.Keys))
	}
	if gained := countMissing(after.Keys, before.Keys); gained > 0 {
		d.add(Change, at(Accounts, i, Keys), "account %q gets %d more keys", after.Name, gained)
	}
	compareValue(d, at(Accounts, i, Weight), fmt.Sprintf("account %q: the weight", after.Name), before.Weight, after.Weight)
	if before.Limit != after.Limit {
		d.add(Change, at(Accounts, i, Limit), "account %q: the limit changes from %s to %s", after.Name, describe(before.Limit), describe(after.Limit))
	}
}

// countMissing returns the number of keys that are not among others.
func countMissing(keys, others []setup.Digest) int {
	known := make(map[setup.Digest]bool, len(others))
	for _, key := range others {
		known[key] = true
	}
	return len(slices.DeleteFunc(slices.Clone(keys), func(key setup.Digest) bool { return known[key] }))
}

// describe returns a limit as text.
func describe(limit jobs.Size) string {
	var parts []string
	if limit.CPU != 0 {
		parts = append(parts, fmt.Sprintf("%d thousandths of a core", limit.CPU))
	}
	if limit.Memory != 0 {
		parts = append(parts, fmt.Sprintf("%d MB", limit.Memory))
	}
	if limit.GPUs != 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", limit.GPUs))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
