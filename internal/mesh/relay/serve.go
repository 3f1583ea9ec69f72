package relay

import (
	"context"
	"encoding/json"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/call"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
)

// relayedAtOnce is how many calls of peers an entry makes at once. An entry has
// four calls under way at most times, most of them watches, and a few peers may
// come to the same one.
const relayedAtOnce = 64

// Server makes calls for peers, on the entry's own path alone.
type Server struct {
	direct *store.Client
	slots  chan struct{}
}

// NewServer returns a server that uses a client of the store.
func NewServer(direct *store.Client) *Server {
	return &Server{direct: direct, slots: make(chan struct{}, relayedAtOnce)}
}

// Serve makes a call for a peer.
func (s *Server) Serve(ctx context.Context, relay *wire.Relay) *wire.Response {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return &wire.Response{Outcome: call.Late, Reason: "too many calls of peers are under way"}
	}
	var args arguments
	if err := json.Unmarshal(relay.GetArguments(), &args); err != nil {
		return &wire.Response{Outcome: call.Late, Reason: err.Error()}
	}
	if limit := relay.GetMilliseconds(); limit > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(limit)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	data, err := json.Marshal(perform(ctx, s.direct, relay.GetVerb(), args))
	if err != nil {
		return &wire.Response{Outcome: call.Open, Reason: err.Error()}
	}
	return &wire.Response{Outcome: call.Done, Answer: data}
}
