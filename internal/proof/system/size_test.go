package system

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

const (
	// ticksPerSecond is the resolution of CPU times in /proc.
	ticksPerSecond = 100
	measuringTime  = 10 * time.Second
)

// BenchmarkControlAtSize runs 8 entries with documents of the sizes that the users
// named and no requests. It reports the CPU time, peer traffic, platform calls and
// memory of one entry. The instances are only listed: nothing
// listens on their addresses.
func BenchmarkControlAtSize(b *testing.B) {
	for _, size := range []int{152, 305, 610} {
		b.Run(strconv.Itoa(size), func(b *testing.B) { measureControl(b, size) })
	}
}

func measureControl(b *testing.B, instances int) {
	c := newListedCluster(b, 8, instances)
	c.apply(c.entries[0], documentForSize(instances))
	c.await("every entry knows all instances", func() bool {
		for _, e := range c.entries {
			if len(c.dump(e).Fleet.Instances) < instances {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	cpuBefore, sentBefore, callsBefore := c.controlCosts()
	time.Sleep(measuringTime)
	cpuAfter, sentAfter, callsAfter := c.controlCosts()
	entryCount, seconds := float64(len(c.entries)), measuringTime.Seconds()
	b.ReportMetric((cpuAfter-cpuBefore)/entryCount/seconds*100, "%core")
	b.ReportMetric((sentAfter-sentBefore)/entryCount/seconds, "sent-B/s")
	b.ReportMetric((callsAfter-callsBefore)/entryCount/seconds, "calls/s")
	b.ReportMetric(c.residentMemory()/entryCount, "MB")
}

// documentForSize returns a config document with the users' 26 pools and 85 teams for
// 610 instances, scaled to the given number of instances.
func documentForSize(instances int) string {
	d := document.Document{}
	for i := range max(26*instances/610, 1) {
		name := fmt.Sprintf("pool-%d", i)
		d.Pools = append(d.Pools, document.Pool{Name: name, MinShare: 0.75})
		d.Services = append(d.Services, document.Service{Name: "service-" + name, Pool: name})
	}
	teams := max(85*instances/610, 1)
	for i := range teams {
		name := fmt.Sprintf("team-%02d", i)
		d.Teams = append(d.Teams, document.Team{
			Name: name, Share: 100 / float64(teams), Limit: 200, KeyDigests: []string{document.Digest(name)},
		})
	}
	text, _ := json.Marshal(d)
	return string(text)
}

// newListedCluster starts the given number of entries in five data centres and lists
// the given number of instances, none of which is running.
func newListedCluster(tb testing.TB, entries, instances int) *cluster {
	c := &cluster{t: tb, unlisted: map[string]bool{}, leaving: map[string]bool{}, bootCounts: map[string]int{}}
	c.network = newNetwork(tb)
	c.platform = freeAddress(tb)
	startProcess(tb, "platform", "chicorypin-standin", "--platform", c.platform.String())
	c.await("the platform responds", func() bool { return c.setFaults(platform.Faults{}) == nil })
	var targets []platform.TargetGroup
	for i := range instances {
		targets = append(targets, platform.TargetGroup{
			Targets: []string{fmt.Sprintf("127.0.0.1:%d", 20000+i)},
			Labels: map[string]string{
				"instance": fmt.Sprintf("worker-%03d", i), "pool": fmt.Sprintf("pool-%d", i%max(26*instances/610, 1)),
				"centre": fmt.Sprintf("centre-%d", i%5), "rack": fmt.Sprintf("rack-%d", i/4), "slots": "8",
			},
		})
	}
	c.put(c.platform, "/standin/instances", targets)
	for i := range entries {
		c.addEntry(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("centre-%d", i%5))
	}
	c.awaitReady()
	return c
}

// controlCosts returns the totals of all entries since their start: CPU time in
// seconds, bytes sent to peers and platform calls.
func (c *cluster) controlCosts() (cpuSeconds, sent, calls float64) {
	for _, e := range c.entries {
		d := c.dump(e)
		sent += float64(d.Messages.Bytes)
		calls += float64(d.Calls)
		cpuSeconds += e.cpuTime()
	}
	return cpuSeconds, sent, calls
}

// cpuTime returns the user and system CPU time of the process in seconds.
func (p *process) cpuTime() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userTimeField, systemTimeField = 11, 12
	userTicks, _ := strconv.ParseFloat(fields[userTimeField], 64)
	systemTicks, _ := strconv.ParseFloat(fields[systemTimeField], 64)
	return (userTicks + systemTicks) / ticksPerSecond
}

// residentMemory returns the total resident memory of all entries in MB (2^20 bytes).
func (c *cluster) residentMemory() (total float64) {
	for _, e := range c.entries {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.command.Process.Pid))
		pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
		total += pages * float64(os.Getpagesize()) / (1 << 20)
	}
	return total
}
