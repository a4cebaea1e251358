package gateway

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWholeEvents(t *testing.T) {
	br := bufio.NewReaderSize(strings.NewReader("id: 3\ndata: a\n\nweight-versions: 2\nid:4\r\ndata: b\r\n\r\n: comment\n\n"), 16)
	ev := nextEvent(br)
	require.Equal(t, event{id: 3, data: []byte("id: 3\ndata: a\n\n")}, ev)
	ev = nextEvent(br)
	require.Equal(t, int64(4), ev.id)
	require.Equal(t, "weight-versions: 2\nid:4\r\ndata: b\r\n\r\n", string(ev.data))
	ev = nextEvent(br)
	require.Equal(t, event{id: -1, data: []byte(": comment\n\n")}, ev)
	require.ErrorIs(t, nextEvent(br).err, io.EOF)
}

func TestStreamsThatEndWithinAnEventAreBroken(t *testing.T) {
	for _, text := range []string{"id: 1\ndata: a\n", "id: 1\ndata: a", "i"} {
		ev := nextEvent(bufio.NewReader(strings.NewReader(text)))
		require.ErrorIs(t, ev.err, io.ErrUnexpectedEOF, text)
	}
}

func TestLargeEventsAreRefused(t *testing.T) {
	ev := nextEvent(bufio.NewReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEventBytes) + "\n\n")))
	require.ErrorIs(t, ev.err, errEventTooLarge)
}

// TestEventsWithoutIDAreNotRelayed guards against events that aren't part of the numbered series.
func TestEventsWithoutIDAreNotRelayed(t *testing.T) {
	for _, text := range []string{
		"data: c\n\n", ": comment\ndata: c\n\n", "event: error\ndata: c\n\n", "{}\n\n", "id: a\ndata: c\n\n", "id: -2\ndata: c\n\n",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
	} {
		ev := nextEvent(bufio.NewReaderSize(strings.NewReader(text), 16))
		require.ErrorIs(t, ev.err, errUnnumbered, text)
	}
}

// TestLineOfTheBufferSizeDoesNotEndItsEvent guards against an event that is cut after a line which
// fills the read buffer, and against the rest of a long line that is taken for an ID.
func TestLineOfTheBufferSizeDoesNotEndItsEvent(t *testing.T) {
	const bufferBytes = 16
	for name, line := range map[string]string{
		"fills the buffer":       "data: " + strings.Repeat("x", bufferBytes-len("data: ")) + "\n",
		"rest looks like an ID":  "data: " + strings.Repeat("x", bufferBytes-len("data: ")) + "id: 9\n",
		"fills the buffer twice": "data: " + strings.Repeat("x", 2*bufferBytes-len("data: ")) + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			text := "id: 3\n" + line + "data: b\n\n"
			br := bufio.NewReaderSize(strings.NewReader(text), bufferBytes)
			require.Equal(t, event{id: 3, data: []byte(text)}, nextEvent(br))
			require.ErrorIs(t, nextEvent(br).err, io.EOF)
		})
	}
}
