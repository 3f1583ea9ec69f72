package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/fleet"
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/internal/standin/worker"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

const (
	// taskRunTime is the run time of each task of the demo job.
	taskRunTime = 300 * time.Millisecond
	demoJob     = `{"steps":[{"n":3,"each":{"cpu":1000}},{"n":2,"each":{"cpu":1000},"after":[0]}]}`
	jobPath     = "/plan/00000000000000aa"
)

// runJob submits a job of two steps to an entry that serves jobs, and waits until
// the job is completed. The store and the two endpoints are in-memory stand-ins.
func (d *demo) runJob() error {
	store := keyvalue.New()
	workers := worker.NewFleet(func(string) time.Duration { return taskRunTime })
	for _, id := range []string{"worker-1", "worker-2"} {
		value, err := json.Marshal(workers.Add(id, "plan", "rack", jobs.Size{CPU: 4000, Memory: 4000}))
		if err != nil {
			return err
		}
		store.Put("endpoints/"+id, value)
	}
	store.Put("operators/setup", []byte("{}"))
	settings := fleet.Settings{Name: "entry-jobs", Centre: "east", Orders: "request", StopSeconds: 1}
	// The settings need fixed ports, so free ones are taken from the kernel.
	for _, address := range []*netip.AddrPort{&settings.Submitters, &settings.Ready, &settings.Peer, &settings.Metrics} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*address = listener.Addr().(*net.TCPAddr).AddrPort()
		if err := listener.Close(); err != nil {
			return err
		}
	}
	settings.Bounds.MaxGrantMilliseconds = 5000
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	daemon, err := fleet.New(fleet.Config{
		Settings: settings, Clock: timer.New(), Log: logrus.NewEntry(logger), Scope: tally.NoopScope,
		Platform: fleet.Platform{
			Store: store.Client(nil), Endpoints: workers.Client(), Codec: submitter.NewCodec(), ReadyPath: "/ready",
			OperatorPrefix: "operators/", ConfigKey: "operators/setup", WavePrefix: "operators/wave/", EndpointPrefix: "endpoints/",
			DecodeConfig: fixedSetup, DecodeEndpoint: decodeEndpoint,
			DecodeWave: func([]byte) (cloud.Wave, error) { return cloud.Wave{}, nil },
		},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- daemon.Run(ctx) }()
	err = followJob(settings.Submitters, workers)
	cancel()
	if runErr := <-result; err == nil {
		err = runErr
	}
	return err
}

// fixedSetup decodes nothing: it returns the fixed configuration of the demo, a
// single queue, at the revision given.
func fixedSetup(_ []byte, revision int64) (*setup.Setup, error) {
	s := &setup.Setup{
		Version: revision, Revision: revision, Pools: []setup.Pool{{Name: "plan"}},
		Queues: []setup.Queue{{
			Name: "plan", Host: "127.0.0.1", Prefix: "/plan/", Pool: "plan", IsAnonymous: true,
			MaxAttempts: 3, Stretch: 2, Target: 5 * time.Second,
		}},
	}
	s.BuildIndex()
	return s, nil
}

func decodeEndpoint(_ string, value []byte) (entry endpoint.Registration, err error) {
	err = json.Unmarshal(value, &entry)
	return entry, err
}

// followJob submits the job and prints each state until the job is completed.
func followJob(address netip.AddrPort, workers *worker.Fleet) error {
	// An empty string is returned if the entry does not respond: the callers repeat
	// the request until a response is the one expected.
	call := func(method, body string) string {
		request, err := http.NewRequest(method, "http://"+address.String()+jobPath, strings.NewReader(body))
		if err != nil {
			return err.Error()
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return ""
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			return ""
		}
		return string(data)
	}
	err := await("the job is accepted", func() bool { return strings.Contains(call(http.MethodPost, demoJob), "queued") })
	if err != nil {
		return err
	}
	fmt.Println("    accepted, and stored")
	last := ""
	err = await("the job is completed", func() bool {
		state := call(http.MethodGet, "")
		if state != last && state != "" {
			fmt.Println("   ", state)
			last = state
		}
		return strings.Contains(state, string(jobs.Completed))
	})
	if err != nil {
		return err
	}
	fmt.Printf("    %d tasks were started\n", len(workers.Starts()))
	return nil
}
