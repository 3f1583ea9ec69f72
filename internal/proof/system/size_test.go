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
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	sizeWatch      = 10 * time.Second
)

// BenchmarkControlAtSize runs 8 entries with the documents of the size that the
// users name, without requests, and reports what control costs a daemon. The
// instances are only listed: nothing answers at their addresses.
func BenchmarkControlAtSize(b *testing.B) {
	for _, size := range []int{152, 305, 610} {
		b.Run(strconv.Itoa(size), func(b *testing.B) { controlAtSize(b, size) })
	}
}

func controlAtSize(b *testing.B, instances int) {
	c := newEntries(b, 8, instances)
	c.apply(c.nodes[0], sizedDocument(instances))
	c.await("every entry knows all instances", func() bool {
		for _, n := range c.nodes {
			if len(c.dump(n).Fleet.Instances) < instances {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	processor, sent, calls := c.costs()
	time.Sleep(sizeWatch)
	processorAfter, sentAfter, callsAfter := c.costs()
	entries, seconds := float64(len(c.nodes)), sizeWatch.Seconds()
	b.ReportMetric((processorAfter-processor)/entries/seconds*100, "%core")
	b.ReportMetric((sentAfter-sent)/entries/seconds, "sent-B/s")
	b.ReportMetric((callsAfter-calls)/entries/seconds, "calls/s")
	b.ReportMetric(c.memory()/entries, "MB")
}

// sizedDocument has the users' numbers of pools and teams for 610 instances.
func sizedDocument(instances int) string {
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

// newEntries starts entries in five data centres and lists so many instances.
func newEntries(tb testing.TB, entries, instances int) *system {
	c := &system{t: tb, unlisted: map[string]bool{}, leaving: map[string]bool{}, boots: map[string]int{}}
	c.network = newNetwork(tb)
	c.platform = freeAddress(tb)
	start(tb, "platform", "chicorypin-standin", "--platform", c.platform.String())
	c.await("the platform answers", func() bool { return c.setFaults(platform.Faults{}) == nil })
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

// costs returns the processor seconds, bytes sent to peers and platform calls
// of all entries so far.
func (c *system) costs() (processor, sent, calls float64) {
	for _, n := range c.nodes {
		d := c.dump(n)
		sent += float64(d.Messages.Bytes)
		calls += float64(d.Calls)
		processor += n.processorTime()
	}
	return processor, sent, calls
}

// processorTime returns the user and system time of a process in seconds.
func (p *process) processorTime() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	user, _ := strconv.ParseFloat(fields[userField], 64)
	system, _ := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / ticksPerSecond
}

// memory returns the resident memory of all entries in MB.
func (c *system) memory() (total float64) {
	for _, n := range c.nodes {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.command.Process.Pid))
		pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
		total += pages * float64(os.Getpagesize()) / (1 << 20)
	}
	return total
}
