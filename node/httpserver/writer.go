package httpserver

import (
	"errors"
	"net/http"
	"time"
)

// maxChunkBytes is the maximum number of bytes of a response of unknown length that is
// passed to nbhttp in one write. For 64 KiB or more, nbhttp's chunked writer continues
// to use a buffer after returning it to the pool shared by all connections, so that
// responses of different connections can mix.
const maxChunkBytes = 16 << 10

// maxPartBytes is the maximum number of bytes of a response with a length that is passed to nbhttp in
// one write. nbio keeps what the system does not take in memory, without a limit.
const maxPartBytes = 64 << 10

// minPartBytes is the same while clients have yet to read more than may be kept of all responses. The
// system takes it whole if it takes anything.
const minPartBytes = 4 << 10

const (
	// maxWriteStall is how long a client may read nothing until its response is given up.
	maxWriteStall = 10 * time.Second
	// The time between two looks whether the client has read something doubles from
	// minWritePoll to maxWritePoll, and grows further with the wait, of which one is at most the
	// share 1/writePollsPerWait, to longestWritePoll.
	minWritePoll      = time.Millisecond
	maxWritePoll      = 20 * time.Millisecond
	longestWritePoll  = 100 * time.Millisecond
	writePollsPerWait = 16
)

// maxUnchunkedBytes limits a response of unknown length to a client that does not know chunks. It
// is buffered until its end.
const maxUnchunkedBytes = 1 << 20

var errUnchunkedTooLarge = errors.New("response is too large for a client without chunked encoding")

// writer is a response writer that splits writes of chunked responses into parts of
// at most maxChunkBytes and flushes after each.
type writer struct {
	http.ResponseWriter
	flusher http.Flusher
	info    *requestInfo
	// unchunked is set for clients before HTTP/1.1. At the first flush nbhttp would announce what
	// is written until then as the length of the whole response.
	unchunked bool
	buffered  int
}

func newWriter(w http.ResponseWriter, r *http.Request, info *requestInfo) *writer {
	f, _ := w.(http.Flusher)
	return &writer{ResponseWriter: w, flusher: f, info: info, unchunked: !r.ProtoAtLeast(1, 1)}
}

// statusClass is the number of status codes in one class, such as 4xx.
const statusClass = 100

// WriteHeader implements http.ResponseWriter. nbhttp sends 200 instead of a status
// that it does not know. WriteHeader replaces such a status by the x00 status of its
// class, as which clients must treat it (RFC 9110, section 15).
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
	hasLength := w.Header().Get("Content-Length") != ""
	if !hasLength && w.unchunked {
		if w.buffered += len(data); w.buffered > maxUnchunkedBytes {
			return 0, errUnchunkedTooLarge
		}
	}
	written := 0
	for written < len(data) {
		if err := w.info.awaitWritable(); err != nil {
			return written, err
		}
		part := data[written:min(len(data), written+w.partBytes(hasLength))]
		n, err := w.ResponseWriter.Write(part)
		if err != nil {
			return written + max(n, 0), err
		}
		written += len(part)
		if !hasLength {
			w.flush()
		}
	}
	return written, nil
}

// partBytes returns how much may be passed to nbhttp in one write.
func (w *writer) partBytes(hasLength bool) int {
	switch {
	case w.info.memoryIsShort():
		return minPartBytes
	case hasLength:
		return maxPartBytes
	default:
		return maxChunkBytes
	}
}

// awaitSent waits until the system takes more bytes for the client, if nbio keeps some of an earlier
// response.
func (i *requestInfo) awaitSent() error {
	if i.session == nil || i.session.unsent.Load() == 0 {
		return nil
	}
	return i.awaitWritable()
}

// memoryIsShort reports whether clients have yet to read more than may be kept of all responses.
func (i *requestInfo) memoryIsShort() bool {
	return i.session != nil && i.session.server.unsent.Load() > int64(i.session.server.opts.MaxBufferedBytes)
}

// awaitWritable waits until the system takes more bytes for the client.
func (i *requestInfo) awaitWritable() error {
	pause := minWritePoll
	for waited := time.Duration(0); ; waited += pause {
		switch {
		case i.clientLeft():
			return errClientLeft
		case i.conn == nil || isWritable(i.conn):
			return nil
		case waited >= maxWriteStall:
			i.end(errClientStalled)
			return errClientStalled
		}
		time.Sleep(pause)
		pause = min(2*pause, max(maxWritePoll, min(waited/writePollsPerWait, longestWritePoll)))
	}
}

// Flush implements http.Flusher.
func (w *writer) Flush() {
	if !w.info.clientLeft() {
		w.flush()
	}
}

func (w *writer) flush() {
	if w.flusher != nil && (!w.unchunked || w.Header().Get("Content-Length") != "") {
		w.flusher.Flush()
	}
}
