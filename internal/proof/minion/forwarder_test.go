package minion

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

const (
	// maxDialTime is how long a request waits for the next incarnation of an endpoint.
	maxDialTime = time.Second
	// dialInterval is the pause after a refused connection.
	dialInterval = time.Millisecond
)

// forwarder passes requests on to an endpoint, each on a connection of its own. It keeps the
// connections of its callers open when the endpoint ends, so that their next requests reach the
// next incarnation. A request that the endpoint has received but not answered when it ends breaks
// the connection of its caller, or leaves it silent.
type forwarder struct {
	target netip.AddrPort
	// isSilent leaves such connections silent until the caller closes them.
	isSilent  bool
	transport *http.Transport
}

// startForwarder starts a forwarder to an address, which ends with the test, and returns its own
// address.
func startForwarder(t testing.TB, target netip.AddrPort, isSilent bool) netip.AddrPort {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return startServer(t, &forwarder{target: target, isSilent: isSilent, transport: transport})
}

// startServer serves HTTP on a loopback address until the test ends.
func startServer(t testing.TB, handler http.Handler) netip.AddrPort {
	t.Helper()
	address := freeAddress(t)
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return address
}

// ServeHTTP implements http.Handler.
func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	status, answer, err := f.forward(r, body)
	if err != nil {
		if f.isSilent {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// forward sends a request to the endpoint and returns the response.
func (f *forwarder) forward(r *http.Request, body []byte) (status int, answer []byte, err error) {
	response, err := f.send(r, body)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// send sends a request to the endpoint as soon as that listens.
func (f *forwarder) send(r *http.Request, body []byte) (response *http.Response, err error) {
	for deadline := time.Now().Add(maxDialTime); ; time.Sleep(dialInterval) {
		outgoing := r.Clone(r.Context())
		outgoing.URL.Scheme, outgoing.URL.Host, outgoing.RequestURI = "http", f.target.String(), ""
		outgoing.Body = io.NopCloser(bytes.NewReader(body))
		response, err = f.transport.RoundTrip(outgoing)
		var op *net.OpError
		isDialError := errors.As(err, &op) && op.Op == "dial"
		if !isDialError || time.Now().After(deadline) {
			return response, err
		}
	}
}
