package intake

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

// answering is the handler of a Server. It marks connections whose request has been received, and
// bounds the time for which the answer may occupy the connection.
type answering struct {
	next          http.Handler
	limits        Limits
	refusedUnread tally.Counter
}

// ServeHTTP implements http.Handler.
func (a *answering) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connectionKey{}).(*connection)
	body := &trackedBody{ReadCloser: r.Body, conn: conn}
	aw := &answerWriter{ResponseWriter: w, handler: a, body: body}
	switch {
	case r.Body == nil || r.Body == http.NoBody:
		if body.finish() != nil {
			panic(http.ErrAbortHandler)
		}
	case !hasMeaningfulBody(r.Method) && conn != nil && conn.beginServing() != nil:
		panic(http.ErrAbortHandler)
	default:
		// net/http handles the body of its own request after the handler has returned.
		r = r.WithContext(r.Context())
		r.Body = body
	}
	a.next.ServeHTTP(aw, r)
	if !aw.isWritten {
		aw.WriteHeader(http.StatusOK)
	}
}

// hasMeaningfulBody reports whether a handler may wait for the body of a request with a method. Other
// requests are served without it.
func hasMeaningfulBody(method string) bool {
	return method != http.MethodGet && method != http.MethodHead && method != http.MethodDelete
}

// trackedBody is a body that notes when it has been read to its end.
type trackedBody struct {
	io.ReadCloser
	// conn is nil if the request was not received by a Server, as in tests.
	conn    *connection
	isWhole bool
}

// Read implements io.Reader. A body whose connection was closed for want of room is never whole.
func (b *trackedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.isWhole {
		if closed := b.finish(); closed != nil {
			return n, closed
		}
	}
	return n, err
}

// finish notes that the whole request was received. Its error means that the connection was closed
// before.
func (b *trackedBody) finish() error {
	if b.conn != nil {
		if err := b.conn.beginServing(); err != nil {
			return err
		}
	}
	b.isWhole = true
	return nil
}

// answerWriter is a ResponseWriter that limits the time for writing an answer. If the body has not
// been read to its end, the connection is closed after the answer, because net/http reads the rest
// of a body without a time limit otherwise.
type answerWriter struct {
	http.ResponseWriter
	handler   *answering
	body      *trackedBody
	isWritten bool
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if !w.isWritten && status >= http.StatusOK {
		w.isWritten = true
		now := time.Now()
		controller := http.NewResponseController(w.ResponseWriter)
		// An error means that there is no connection, as in tests.
		_ = controller.SetWriteDeadline(now.Add(w.handler.limits.AnswerTime))
		if !w.body.isWhole {
			w.handler.refusedUnread.Inc(1)
			w.Header().Set("Connection", "close")
			until := now.Add(w.handler.limits.LingerTime)
			_ = controller.SetReadDeadline(until)
			if w.body.conn != nil {
				w.body.conn.linger(until)
			}
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.isWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
