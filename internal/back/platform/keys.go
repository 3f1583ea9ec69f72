package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
)

// HTTP paths of the JSON gateway of the etcd v3 API.
const (
	pathRange  = "/v3/kv/range"
	pathTxn    = "/v3/kv/txn"
	pathDelete = "/v3/kv/deleterange"
	pathGrant  = "/v3/lease/grant"
	pathRenew  = "/v3/lease/keepalive"
	pathRevoke = "/v3/lease/revoke"
	pathWatch  = "/v3/watch"
)

// Lease is the ID of a lease; 0 means no lease.
type Lease int64

// Value is a key with its value.
type Value struct {
	Key  string
	Data []byte
	// Version is the store revision at which the key was last written (etcd's mod
	// revision), 0 if the key does not exist.
	Version int64
}

// keyValue is the JSON form of a key with its value. Bytes are encoded in base64 and
// 64-bit integers as strings.
type keyValue struct {
	Key     []byte `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"mod_revision,string"`
}

func (k keyValue) value() Value {
	return Value{Key: string(k.Key), Data: k.Value, Version: k.Version}
}

// Get reads a key. The Version of the result is 0 if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (value Value, err error) {
	values, _, err := c.readRange(ctx, []byte(key), nil)
	if err != nil || len(values) == 0 {
		return Value{Key: key}, err
	}
	return values[0], nil
}

// List reads all keys with a prefix, and the store revision at which they were read.
func (c *Client) List(ctx context.Context, prefix string) (values []Value, revision int64, err error) {
	return c.readRange(ctx, []byte(prefix), prefixEnd(prefix))
}

// readRange reads the keys from key up to, but not including, end. If end is nil it reads
// key alone.
func (c *Client) readRange(ctx context.Context, key, end []byte) (values []Value, revision int64, err error) {
	request := struct {
		Key []byte `json:"key"`
		End []byte `json:"range_end,omitempty"`
	}{key, end}
	var response struct {
		Header struct {
			Revision int64 `json:"revision,string"`
		} `json:"header"`
		Values []keyValue `json:"kvs"`
	}
	if err = c.call(ctx, pathRange, request, &response); err != nil {
		return nil, 0, err
	}
	for _, k := range response.Values {
		values = append(values, k.value())
	}
	return values, response.Header.Revision, nil
}

// CompareAndSwap writes a key if its version is still the given one, where 0 means that
// the key does not exist. If a lease is given, the key is deleted when the lease
// expires.
//
// The data must be unique to this write: if the response is lost, CompareAndSwap reads the
// key back and treats the write as successful if it finds the same data.
//
// CompareAndSwap returns the new version. The error is a *ConflictError if the key has
// another version; after any other error the key may or may not have been written.
func (c *Client) CompareAndSwap(ctx context.Context, key string, version int64, data []byte, lease Lease) (newVersion int64, err error) {
	newVersion, err = c.compareAndSwapOnce(ctx, key, version, data, lease)
	if err == nil || isConflict(err) {
		return newVersion, resolveConflict(err, data, &newVersion)
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

// resolveConflict returns nil and sets newVersion if the conflict is with the write
// itself, which was carried out although its response was lost. Otherwise it returns err.
func resolveConflict(err error, data []byte, newVersion *int64) error {
	conflict, ok := err.(*ConflictError)
	if ok && bytes.Equal(conflict.Current.Data, data) {
		*newVersion = conflict.Current.Version
		return nil
	}
	return err
}

func isConflict(err error) bool {
	_, ok := err.(*ConflictError)
	return ok
}

// compareAndSwapOnce makes one compare-and-swap call. The error is a *ConflictError if the
// key has another version.
func (c *Client) compareAndSwapOnce(ctx context.Context, key string, version int64, data []byte, lease Lease) (newVersion int64, err error) {
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
	var response struct {
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
	if err = c.call(ctx, pathTxn, request, &response); err != nil {
		return 0, err
	}
	if response.Succeeded {
		return response.Header.Revision, nil
	}
	conflict := &ConflictError{Key: key}
	if len(response.Responses) > 0 && len(response.Responses[0].Range.Values) > 0 {
		conflict.Current = response.Responses[0].Range.Values[0].value()
	}
	return 0, conflict
}

// Delete deletes a key. It is no error if the key does not exist.
func (c *Client) Delete(ctx context.Context, key string) error {
	request := struct {
		Key []byte `json:"key"`
	}{[]byte(key)}
	return c.call(ctx, pathDelete, request, &struct{}{})
}

// Grant creates a lease that expires unless it is renewed within ttl, which is rounded
// down to whole seconds, but to no less than one.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease Lease, err error) {
	request := struct {
		Seconds int64 `json:"TTL,string"`
	}{max(int64(ttl/time.Second), 1)}
	var response struct {
		ID int64 `json:"ID,string"`
	}
	err = c.call(ctx, pathGrant, request, &response)
	return Lease(response.ID), err
}

// Renew extends a lease by its time to live. The error is a *LeaseExpiredError if the
// lease has expired.
func (c *Client) Renew(ctx context.Context, lease Lease) error {
	request := struct {
		ID int64 `json:"ID,string"`
	}{int64(lease)}
	var response struct {
		Result struct {
			Seconds int64 `json:"TTL,string"`
		} `json:"result"`
	}
	if err := c.call(ctx, pathRenew, request, &response); err != nil {
		return err
	}
	if response.Result.Seconds <= 0 {
		return &LeaseExpiredError{Lease: lease}
	}
	return nil
}

// Revoke ends a lease and deletes its keys at once.
func (c *Client) Revoke(ctx context.Context, lease Lease) error {
	request := struct {
		ID int64 `json:"ID,string"`
	}{int64(lease)}
	return c.call(ctx, pathRevoke, request, &struct{}{})
}

// Change is a change of a key, as reported by a watch.
type Change struct {
	Value
	// IsDeleted reports that the key was deleted.
	IsDeleted bool
}

// Watch passes all changes of keys with a prefix to onChanges, in order, starting with
// those made at startRevision. It returns when the context ends, the connection fails or
// the platform cancels the watch, always with an error. A *WatchError reports whether
// changes were missed.
func (c *Client) Watch(ctx context.Context, prefix string, startRevision int64, onChanges func(changes []Change)) (err error) {
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
	request.Create.Start = startRevision
	body, err := c.send(ctx, pathWatch, request)
	if err != nil {
		return err
	}
	defer body.Close()
	decoder := json.NewDecoder(body)
	for {
		if err = decodeChanges(decoder, onChanges); err != nil {
			return err
		}
	}
}

// decodeChanges reads one message of a watch and passes its changes on.
func decodeChanges(decoder *json.Decoder, onChanges func(changes []Change)) error {
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
		return &WatchError{IsCompacted: message.Result.Compacted > 0}
	}
	changes := make([]Change, 0, len(message.Result.Events))
	for _, e := range message.Result.Events {
		changes = append(changes, Change{Value: e.KV.value(), IsDeleted: e.Type == "DELETE"})
	}
	if len(changes) > 0 {
		onChanges(changes)
	}
	return nil
}

// prefixEnd returns the first key after all keys with the prefix, which must not be empty
// or end in the byte 0xff.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}
