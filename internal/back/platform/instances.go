package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
)

// pathInstances is the HTTP path of the list of instances.
const pathInstances = "/instances"

// EntryPool is the pool label of the instances that run the entries.
const EntryPool = "entry"

// Instance is an instance as the platform lists it. The list lags behind the actual
// state.
type Instance struct {
	Name    string
	Pool    string
	Centre  string
	Rack    string
	Address netip.AddrPort
	Slots   uint32
	// BootID identifies the current boot of the instance. It changes with each reboot.
	BootID string
	// IsLeaving reports that the instance will be removed soon.
	IsLeaving bool
}

// Instances reads the list of live and leaving instances. The label slots of an instance
// counts as 0 if it is not a number.
func (c *Client) Instances(ctx context.Context) (instances []Instance, err error) {
	defer fault.Annotate(&err, "reading the list of instances")
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	if err = c.limiter.Wait(ctx); err != nil {
		return nil, &RateLimitError{}
	}
	url := fmt.Sprintf("http://%s%s", c.config.ListAddress, pathInstances)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	c.callCount.Add(1)
	response, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	return decodeInstances(response.Body)
}

func decodeInstances(body io.Reader) (instances []Instance, err error) {
	var groups []struct {
		Targets []netip.AddrPort  `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	if err = json.NewDecoder(io.LimitReader(body, maxResponseSize)).Decode(&groups); err != nil {
		return nil, err
	}
	for _, g := range groups {
		slots, _ := strconv.ParseUint(g.Labels["slots"], 10, 32)
		for _, address := range g.Targets {
			instances = append(instances, Instance{
				Name:      g.Labels["instance"],
				Pool:      g.Labels["pool"],
				Centre:    g.Labels["centre"],
				Rack:      g.Labels["rack"],
				Address:   address,
				Slots:     uint32(slots),
				BootID:    g.Labels["boot"],
				IsLeaving: g.Labels["state"] == "leaving",
			})
		}
	}
	return instances, nil
}
