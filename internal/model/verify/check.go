package verify

import (
	"fmt"
	"strings"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
)

// Options are the inputs of Check besides the configuration.
type Options struct {
	// Faults are the faults that decoding found. Findings at their paths or below are
	// left out, as they are consequences.
	Faults []fault.Fault
	// Endpoints holds the number of endpoints of each pool, nil if it is not known.
	Endpoints map[string]int
}

// checker collects the findings of one configuration.
type checker struct {
	config   *Config
	options  Options
	findings []Finding
	// faulty holds the paths of the faults that decoding found.
	faulty map[string]bool
	// steps counts the visits of queues, pools, accounts and keys. Tests use it to show
	// that the cost grows linearly.
	steps int
}

// Check returns the decoding faults as errors, followed by the findings of the checks in
// the order of the configuration. The configuration is nil if it could not be decoded.
func Check(config *Config, options Options) []Finding {
	c := newChecker(config, options)
	if config != nil {
		c.check()
	}
	return c.findings
}

func newChecker(config *Config, options Options) *checker {
	c := &checker{config: config, options: options, faulty: make(map[string]bool)}
	for _, f := range options.Faults {
		c.faulty[f.Path] = true
		c.findings = append(c.findings, Finding{Severity: Error, Path: f.Path, Text: f.Reason})
	}
	return c
}

func (c *checker) check() {
	c.checkTop()
	c.checkQueues()
	c.checkPools()
	c.checkAccounts()
}

// add appends a finding unless decoding found a fault at its path or above.
func (c *checker) add(severity Severity, location Location, format string, args ...any) {
	if !c.isFaulty(location) {
		c.findings = append(c.findings, Finding{Severity: severity, Path: c.config.Path(location), Text: fmt.Sprintf(format, args...)})
	}
}

// isFaulty reports whether decoding found a fault at a location or above.
func (c *checker) isFaulty(location Location) bool {
	if len(c.faulty) == 0 {
		return false
	}
	path := c.config.Path(location)
	for !c.faulty[path] {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return false
		}
		path = path[:slash]
	}
	return true
}

// at returns the location of a field of an entry.
func at(section Section, index int, field Field) Location {
	return Location{Section: section, Index: index, Field: field, Item: whole}
}

// checkNotNegative adds an error if a value is negative, and reports whether it is not.
func checkNotNegative[T int | int64 | float64 | time.Duration](c *checker, value T, location Location) bool {
	if value < 0 {
		c.add(Error, location, "must not be negative")
	}
	return value >= 0
}

func (c *checker) checkTop() {
	checkNotNegative(c, c.config.Version, at(Top, whole, Version))
	header, body := c.config.MaxHeaderBytes, c.config.MaxBodyBytes
	isValid := checkNotNegative(c, header, at(Top, whole, MaxHeaderBytes))
	isValid = checkNotNegative(c, body, at(Top, whole, MaxBodyBytes)) && isValid
	if isValid && body > 0 && header > body {
		c.add(Warning, at(Top, whole, MaxHeaderBytes), "%d bytes of header are more than the maximum of the body, %d", header, body)
	}
}

// checkName checks that the name of an entry is present and the first of its kind.
func (c *checker) checkName(section Section, index int, name string, seen map[string]int) {
	c.steps++
	if name == "" {
		c.add(Error, at(section, index, Name), "the name is missing")
		return
	}
	if first, isKnown := seen[name]; isKnown {
		c.add(Error, at(section, index, Name), "%q is already the name of %s", name, c.config.Path(at(section, first, Entry)))
		return
	}
	seen[name] = index
}

func (c *checker) checkQueues() {
	pools := make(map[string]bool)
	arePoolsKnown := !c.isFaulty(at(Pools, whole, Entry))
	for i, p := range c.config.Pools {
		pools[p.Name] = true
		arePoolsKnown = arePoolsKnown && !c.isFaulty(at(Pools, i, Name))
	}
	names := make(map[string]int)
	type match struct{ host, prefix string }
	matches := make(map[match]int)
	for i := range c.config.Queues {
		q := &c.config.Queues[i]
		c.checkName(Queues, i, q.Name, names)
		switch {
		case q.Pool == "":
			c.add(Error, at(Queues, i, Pool), "names no pool")
		case !pools[q.Pool] && arePoolsKnown:
			c.add(Error, at(Queues, i, Pool), "there is no pool %q", q.Pool)
		}
		c.checkQueueValues(i, q)
		if q.Host == "" {
			c.add(Warning, at(Queues, i, Host), "the host is empty: no request reaches this queue")
			continue
		}
		// FindQueue compares hosts without case and takes the first of equal prefixes.
		key := match{strings.ToLower(q.Host), q.Prefix}
		if first, isKnown := matches[key]; isKnown {
			c.add(Warning, at(Queues, i, Entry), "%s has the same host and prefix: no request reaches this queue", c.config.Path(at(Queues, first, Entry)))
			continue
		}
		matches[key] = i
	}
}

func (c *checker) checkQueueValues(i int, q *setup.Queue) {
	checkNotNegative(c, q.Priority, at(Queues, i, Priority))
	if checkNotNegative(c, q.MaxAttempts, at(Queues, i, MaxAttempts)) && q.MaxAttempts == 0 {
		c.add(Warning, at(Queues, i, MaxAttempts), "must be at least 1: failed tasks are run again without a bound")
	}
	if checkNotNegative(c, q.Stretch, at(Queues, i, Stretch)) && q.Stretch < 1 {
		c.add(Warning, at(Queues, i, Stretch), "%v is below 1 and counts as 1", q.Stretch)
	}
	isValid := checkNotNegative(c, q.Target, at(Queues, i, Target))
	isValid = checkNotNegative(c, q.Timeout, at(Queues, i, Timeout)) && isValid
	if isValid && q.Timeout > 0 && q.Target > q.Timeout {
		c.add(Warning, at(Queues, i, Target), "the target latency of %s is above the timeout of %s", q.Target, q.Timeout)
	}
	if q.Advice == nil {
		return
	}
	isValid = checkNotNegative(c, q.Advice.DecisionTime, at(Queues, i, DecisionTime))
	isValid = checkNotNegative(c, q.Advice.TicketValidity, at(Queues, i, TicketValidity)) && isValid
	checkNotNegative(c, q.Advice.TimePerEndpoint, at(Queues, i, TimePerEndpoint))
	if isValid && q.Advice.DecisionTime > q.Advice.TicketValidity {
		c.add(Warning, at(Queues, i, DecisionTime), "a decision takes %s and is valid for %s", q.Advice.DecisionTime, q.Advice.TicketValidity)
	}
}

func (c *checker) checkPools() {
	used := make(map[string]bool)
	areUsesKnown := !c.isFaulty(at(Queues, whole, Entry))
	for i := range c.config.Queues {
		used[c.config.Queues[i].Pool] = true
		areUsesKnown = areUsesKnown && !c.isFaulty(at(Queues, i, Pool))
	}
	names := make(map[string]int)
	for i, p := range c.config.Pools {
		_, isDuplicate := names[p.Name]
		c.checkName(Pools, i, p.Name, names)
		if p.Name == "" || isDuplicate {
			continue
		}
		// A pool on standby provides machines to the others and needs no queue.
		if !used[p.Name] && areUsesKnown && !p.IsStandby {
			c.add(Warning, at(Pools, i, Entry), "no queue uses pool %q", p.Name)
		}
		// The machines of a pool on standby are off, so it has no endpoints.
		if c.options.Endpoints != nil && !p.IsStandby && c.options.Endpoints[p.Name] == 0 {
			c.add(Warning, at(Pools, i, Entry), "pool %q has no endpoints", p.Name)
		}
	}
}

func (c *checker) checkAccounts() {
	names := make(map[string]int)
	owners := make(map[setup.Digest]int)
	for i, a := range c.config.Accounts {
		c.checkName(Accounts, i, a.Name, names)
		if checkNotNegative(c, a.Weight, at(Accounts, i, Weight)) && a.Weight == 0 && (a.Limit.CPU > 0 || a.Limit.Memory > 0 || a.Limit.GPUs > 0) {
			c.add(Warning, at(Accounts, i, Weight), "the account has a limit but no weight: it gets only what other accounts leave")
		}
		checkNotNegative(c, a.Limit.CPU, at(Accounts, i, LimitCPU))
		checkNotNegative(c, a.Limit.Memory, at(Accounts, i, LimitMemory))
		checkNotNegative(c, a.Limit.GPUs, at(Accounts, i, LimitGPUs))
		c.checkKeys(i, &a, owners)
	}
}

// checkKeys checks the keys of an account. Texts do not contain keys, which are secret.
func (c *checker) checkKeys(i int, a *Account, owners map[setup.Digest]int) {
	if len(a.Keys) == 0 {
		c.add(Warning, at(Accounts, i, Keys), "the account has no keys and cannot submit jobs")
	}
	empty := make(map[int]bool)
	for _, position := range a.EmptyKeys {
		empty[position] = true
		c.add(Error, Location{Section: Accounts, Index: i, Field: Keys, Item: position}, "the key is empty: every request without a key would be the account's")
	}
	for position, key := range a.Keys {
		c.steps++
		if empty[position] {
			continue
		}
		owner, isKnown := owners[key]
		location := Location{Section: Accounts, Index: i, Field: Keys, Item: position}
		switch {
		case !isKnown:
			owners[key] = i
		case owner == i:
			c.add(Warning, location, "the key is listed twice")
		default:
			c.add(Error, location, "the key is also one of %s", c.config.Path(at(Accounts, owner, Entry)))
		}
	}
}
