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
	// taskTime is how long a task of the demo's job runs.
	taskTime = 300 * time.Millisecond
	demoJob  = `{"steps":[{"n":3,"each":{"cpu":1000}},{"n":2,"each":{"cpu":1000},"after":[0]}]}`
	demoPath = "/plan/00000000000000aa"
)

// runJob hands a job of two steps to an entry that serves jobs, over stand-ins
// of a store and two endpoints, and follows it to its end.
func (d *demo) runJob() error {
	store := keyvalue.New()
	workers := worker.NewFleet(func(string) time.Duration { return taskTime })
	for _, id := range []string{"worker-1", "worker-2"} {
		value, err := json.Marshal(workers.Add(id, "plan", "rack", jobs.Size{CPU: 4000, Memory: 4000}))
		if err != nil {
			return err
		}
		store.Put("endpoints/"+id, value)
	}
	store.Put("operators/setup", []byte("{}"))
	settings := fleet.Settings{Name: "entry-jobs", Centre: "east", Orders: "request", StopSeconds: 1}
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
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	daemon, err := fleet.New(fleet.Config{
		Settings: settings, Clock: timer.New(), Log: logrus.NewEntry(quiet), Scope: tally.NoopScope,
		Platform: fleet.Platform{
			Store: store.Client(nil), Endpoints: workers.Client(), Codec: submitter.NewCodec(), ReadyPath: "/ready",
			OperatorPrefix: "operators/", ConfigKey: "operators/setup", WavePrefix: "operators/wave/", EndpointPrefix: "endpoints/",
			DecodeConfig: demoSetup, DecodeEndpoint: decodeEntry,
			DecodeWave: func([]byte) (cloud.Wave, error) { return cloud.Wave{}, nil },
		},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	err = followJob(settings.Submitters, workers)
	cancel()
	if failure := <-ended; err == nil {
		err = failure
	}
	return err
}

func demoSetup(_ []byte, revision int64) (*setup.Setup, error) {
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

func decodeEntry(_ string, value []byte) (entry endpoint.Registration, err error) {
	err = json.Unmarshal(value, &entry)
	return entry, err
}

// followJob hands the job in and prints its states.
func followJob(address netip.AddrPort, workers *worker.Fleet) error {
	ask := func(method, body string) string {
		request, err := http.NewRequest(method, "http://"+address.String()+demoPath, strings.NewReader(body))
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
	err := await("the job is accepted", func() bool { return strings.Contains(ask(http.MethodPost, demoJob), "queued") })
	if err != nil {
		return err
	}
	fmt.Println("    accepted, and stored")
	last := ""
	err = await("the job is completed", func() bool {
		state := ask(http.MethodGet, "")
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
