package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
	"strconv"

	"masticbank.example/node/exchange"
)

// event is one complete event of a stream.
type event struct {
	// id is -1 for events without a number. Only comments may have none.
	id   int64
	data []byte
	// err ends the stream; it is io.EOF after the last event.
	err error
}

const (
	// maxEventBytes limits one event, which holds a few tokens. All streams of an instance
	// may buffer one at the same time.
	maxEventBytes = 64 << 10
	// maxStreamBytes limits a stream; a long response has a few hundred kilobytes.
	maxStreamBytes = 16 << 20
)

var (
	errEventTooLarge  = errors.New("stream event exceeds 64 KiB")
	errStreamTooLarge = errors.New("stream exceeds 16 MiB")
	errUnnumbered     = errors.New("stream has an event without an ID")
)

// isEventStream reports whether the body of a response is a series of events. One that does not
// state its type is taken for events.
func isEventStream(resp *exchange.Response) bool {
	contentType := resp.Header.Get("Content-Type")
	if contentType == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}

// readEvents sends the events of r to out until the stream ends or stop is closed. Reads
// of r must fail soon after stop is closed.
func readEvents(r io.Reader, out chan<- event, stop <-chan struct{}) {
	br := bufio.NewReader(r)
	read := 0
	for {
		ev := nextEvent(br)
		if read += len(ev.data); read > maxStreamBytes {
			ev = event{err: errStreamTooLarge}
		}
		select {
		case out <- ev:
		case <-stop:
			return
		}
		if ev.err != nil {
			return
		}
	}
}

// nextEvent reads up to the blank line that ends an event. A stream that ends within an
// event results in io.ErrUnexpectedEOF. An event without an ID can't be one of the numbered series
// that a stream consists of, but the head or the text of a failure can look like one.
func nextEvent(br *bufio.Reader) event {
	ev := event{id: -1}
	inLine := false // the next bytes continue a line that is longer than the buffer
	comment := true // all lines so far are comments
	for {
		line, err := br.ReadSlice('\n')
		ev.data = append(ev.data, line...)
		text := bytes.TrimRight(line, "\r\n")
		if !inLine && len(text) > 0 && text[0] != ':' {
			comment = false
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(ev.data) > maxEventBytes {
				return event{err: errEventTooLarge}
			}
			inLine = true
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(ev.data) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{err: err}
		}
		if len(ev.data) > maxEventBytes {
			return event{err: errEventTooLarge}
		}
		if inLine {
			inLine = false
			continue
		}
		if len(text) == 0 {
			if ev.id < 0 && !comment {
				return event{err: errUnnumbered}
			}
			return ev
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				ev.id = n
			}
		}
	}
}
