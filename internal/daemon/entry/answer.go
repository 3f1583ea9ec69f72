package entry

import (
	"net/http"
	"time"
)

// answerPartSize is the size in bytes of the parts of an answer that a client has to take
// in time.
const answerPartSize = 32 << 10

// renewDeadlines returns a handler whose answers have a time limit for each part instead
// of one for the whole: the answers of minions may be large.
func renewDeadlines(timeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		renewing := &renewingWriter{w, timeout}
		next.ServeHTTP(renewing, r)
		// net/http writes the end of the answer now.
		renewing.renew()
	})
}

// renewingWriter is a ResponseWriter that renews the write deadline for each part.
type renewingWriter struct {
	http.ResponseWriter
	timeout time.Duration
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *renewingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *renewingWriter) Write(p []byte) (written int, err error) {
	for {
		part := p[written:min(len(p), written+answerPartSize)]
		w.renew()
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// renew sets the write deadline for the next part.
func (w *renewingWriter) renew() {
	// An error means that there is no connection, as in tests.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}
