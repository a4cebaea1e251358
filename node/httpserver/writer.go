package httpserver

import (
	"net/http"

	"github.com/lesismal/nbio"
)

// pieceBytes is the largest part of an answer of unknown length that is handed to
// nbhttp at once. From 64 KiB on, its chunked writer goes on using a buffer that
// it has given back to the pool that all connections share, so that answers can
// mix.
const pieceBytes = 16 << 10

// writer keeps chunked answers within pieceBytes between two flushes.
type writer struct {
	http.ResponseWriter
	flusher http.Flusher
	conn    *nbio.Conn // nil if unknown
}

func newWriter(w http.ResponseWriter, conn *nbio.Conn) *writer {
	f, _ := w.(http.Flusher)
	return &writer{ResponseWriter: w, flusher: f, conn: conn}
}

// statusClass is the number of statuses in one class.
const statusClass = 100

// WriteHeader implements http.ResponseWriter. nbhttp answers 200 in place of a
// status that it does not know; such a status is sent as the x00 of its class,
// which is how callers must read it (RFC 9110, section 15).
func (w *writer) WriteHeader(status int) {
	if http.StatusText(status) == "" {
		status -= status % statusClass
	}
	if http.StatusText(status) == "" {
		status = http.StatusInternalServerError
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(data []byte) (int, error) {
	if w.Header().Get("Content-Length") != "" {
		return w.ResponseWriter.Write(data)
	}
	written := 0
	for written < len(data) {
		piece := data[written:min(len(data), written+pieceBytes)]
		n, err := w.ResponseWriter.Write(piece)
		if err != nil {
			return written + max(n, 0), err
		}
		written += len(piece)
		w.Flush()
	}
	return written, nil
}

// Flush implements http.Flusher.
func (w *writer) Flush() {
	if w.flusher != nil {
		w.flusher.Flush()
	}
}
