package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
)

// Paths of the etcd v3 API in its JSON form.
const (
	pathRange  = "/v3/kv/range"
	pathTxn    = "/v3/kv/txn"
	pathDelete = "/v3/kv/deleterange"
	pathGrant  = "/v3/lease/grant"
	pathRenew  = "/v3/lease/keepalive"
	pathRevoke = "/v3/lease/revoke"
	pathWatch  = "/v3/watch"
)

// Lease is the number of a lease; 0 is none.
type Lease int64

// Value is the value of a key.
type Value struct {
	Key  string
	Data []byte
	// Version is the revision of the store at which the key was last written;
	// 0 if there is no such key.
	Version int64
}

// keyValue is how the API writes a key; bytes are in base64, 64-bit numbers
// are text.
type keyValue struct {
	Key     []byte `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"mod_revision,string"`
}

func (k keyValue) value() Value {
	return Value{Key: string(k.Key), Data: k.Value, Version: k.Version}
}

// Get reads a key. Version 0 tells that there is none.
func (c *Client) Get(ctx context.Context, key string) (value Value, err error) {
	values, _, err := c.read(ctx, []byte(key), nil)
	if err != nil || len(values) == 0 {
		return Value{Key: key}, err
	}
	return values[0], nil
}

// List reads all keys with a prefix, and the revision of the store that the
// answer stands for.
func (c *Client) List(ctx context.Context, prefix string) (values []Value, revision int64, err error) {
	return c.read(ctx, []byte(prefix), prefixEnd(prefix))
}

func (c *Client) read(ctx context.Context, key, end []byte) (values []Value, revision int64, err error) {
	request := struct {
		Key []byte `json:"key"`
		End []byte `json:"range_end,omitempty"`
	}{key, end}
	var reply struct {
		Header struct {
			Revision int64 `json:"revision,string"`
		} `json:"header"`
		Values []keyValue `json:"kvs"`
	}
	if err = c.call(ctx, pathRange, request, &reply); err != nil {
		return nil, 0, err
	}
	for _, k := range reply.Values {
		values = append(values, k.value())
	}
	return values, reply.Header.Revision, nil
}

// Swap writes a key if its version is still the given one; 0 stands for a key
// that does not exist. With a lease the key goes when the lease lapses. The
// data must be unique to this write: if the reply is lost, the key is read
// back and the write counts if the data is there. It returns the new version,
// or a ConflictError.
func (c *Client) Swap(ctx context.Context, key string, version int64, data []byte, lease Lease) (written int64, err error) {
	written, err = c.swap(ctx, key, version, data, lease)
	if err == nil || isConflict(err) {
		return written, settleConflict(err, data, &written)
	}
	value, readErr := c.Get(ctx, key)
	switch {
	case readErr != nil:
		return 0, err
	case bytes.Equal(value.Data, data) && value.Version > version:
		return value.Version, nil
	case value.Version != version:
		return 0, &ConflictError{Key: key, Current: value}
	}
	return 0, err
}

// settleConflict recognises a conflict with this very write, whose earlier
// reply was lost.
func settleConflict(err error, data []byte, written *int64) error {
	conflict, ok := err.(*ConflictError)
	if ok && bytes.Equal(conflict.Current.Data, data) {
		*written = conflict.Current.Version
		return nil
	}
	return err
}

func isConflict(err error) bool {
	_, ok := err.(*ConflictError)
	return ok
}

func (c *Client) swap(ctx context.Context, key string, version int64, data []byte, lease Lease) (written int64, err error) {
	type compare struct {
		Key     []byte `json:"key"`
		Target  string `json:"target"`
		Result  string `json:"result"`
		Version int64  `json:"mod_revision,string"`
	}
	type put struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string,omitempty"`
	}
	type keyRange struct {
		Key []byte `json:"key"`
	}
	type operation struct {
		Put   *put      `json:"request_put,omitempty"`
		Range *keyRange `json:"request_range,omitempty"`
	}
	request := struct {
		Compare []compare   `json:"compare"`
		Success []operation `json:"success"`
		Failure []operation `json:"failure"`
	}{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", Version: version}},
		Success: []operation{{Put: &put{Key: []byte(key), Value: data, Lease: int64(lease)}}},
		Failure: []operation{{Range: &keyRange{Key: []byte(key)}}},
	}
	var reply struct {
		Header struct {
			Revision int64 `json:"revision,string"`
		} `json:"header"`
		Succeeded bool `json:"succeeded"`
		Responses []struct {
			Range struct {
				Values []keyValue `json:"kvs"`
			} `json:"response_range"`
		} `json:"responses"`
	}
	if err = c.call(ctx, pathTxn, request, &reply); err != nil {
		return 0, err
	}
	if reply.Succeeded {
		return reply.Header.Revision, nil
	}
	conflict := &ConflictError{Key: key}
	if len(reply.Responses) > 0 && len(reply.Responses[0].Range.Values) > 0 {
		conflict.Current = reply.Responses[0].Range.Values[0].value()
	}
	return 0, conflict
}

// Delete removes a key. Removing one that does not exist is no error.
func (c *Client) Delete(ctx context.Context, key string) error {
	request := struct {
		Key []byte `json:"key"`
	}{[]byte(key)}
	return c.call(ctx, pathDelete, request, &struct{}{})
}

// Grant takes a lease that lapses unless it is renewed within its time.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease Lease, err error) {
	request := struct {
		Seconds int64 `json:"TTL,string"`
	}{max(int64(ttl/time.Second), 1)}
	var reply struct {
		ID int64 `json:"ID,string"`
	}
	err = c.call(ctx, pathGrant, request, &reply)
	return Lease(reply.ID), err
}

// Renew renews a lease. It returns a LeaseError if the lease has lapsed.
func (c *Client) Renew(ctx context.Context, lease Lease) error {
	request := struct {
		ID int64 `json:"ID,string"`
	}{int64(lease)}
	var reply struct {
		Result struct {
			Seconds int64 `json:"TTL,string"`
		} `json:"result"`
	}
	if err := c.call(ctx, pathRenew, request, &reply); err != nil {
		return err
	}
	if reply.Result.Seconds <= 0 {
		return &LeaseError{Lease: lease}
	}
	return nil
}

// Revoke gives a lease back; its keys go at once.
func (c *Client) Revoke(ctx context.Context, lease Lease) error {
	request := struct {
		ID int64 `json:"ID,string"`
	}{int64(lease)}
	return c.call(ctx, pathRevoke, request, &struct{}{})
}

// Change is one change that a watch reports.
type Change struct {
	Value
	// Deleted tells that the key is gone.
	Deleted bool
}

// Watch reports all changes of keys with a prefix from a revision of the store
// on, in order, until the context ends or the platform ends the watch. It
// always returns an error; a WatchError may tell that changes were missed.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, report func(changes []Change)) (err error) {
	defer fault.Annotate(&err, "watching %s", prefix)
	request := struct {
		Create struct {
			Key   []byte `json:"key"`
			End   []byte `json:"range_end"`
			Start int64  `json:"start_revision,string"`
		} `json:"create_request"`
	}{}
	request.Create.Key = []byte(prefix)
	request.Create.End = prefixEnd(prefix)
	request.Create.Start = from
	body, err := c.open(ctx, pathWatch, request)
	if err != nil {
		return err
	}
	defer body.Close()
	decoder := json.NewDecoder(body)
	for {
		if err = decodeChanges(decoder, report); err != nil {
			return err
		}
	}
}

func decodeChanges(decoder *json.Decoder, report func(changes []Change)) error {
	var message struct {
		Result struct {
			Canceled  bool  `json:"canceled"`
			Compacted int64 `json:"compact_revision,string"`
			Events    []struct {
				Type string   `json:"type"`
				KV   keyValue `json:"kv"`
			} `json:"events"`
		} `json:"result"`
	}
	if err := decoder.Decode(&message); err != nil {
		return err
	}
	if message.Result.Canceled {
		return &WatchError{Compacted: message.Result.Compacted > 0}
	}
	changes := make([]Change, 0, len(message.Result.Events))
	for _, e := range message.Result.Events {
		changes = append(changes, Change{Value: e.KV.value(), Deleted: e.Type == "DELETE"})
	}
	if len(changes) > 0 {
		report(changes)
	}
	return nil
}

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}
