// Package logsink writes log lines without ever blocking the code that logs: a
// slow reader of the output loses lines, which are counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines bounds the lines that wait for the output.
	queueLines = 4096
	// flushTimeout bounds the wait for the output at the end.
	flushTimeout = 200 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	close   sync.Once
	stop    chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), stop: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line; it never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as they come.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were lost.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the lines that wait, for a short time at most.
func (s *Sink) Close() {
	s.close.Do(func() { close(s.stop) })
	t := time.NewTimer(flushTimeout)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	told := uint64(0)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
			told = s.tell(told)
		case <-s.stop:
			s.drain()
			return
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

// tell writes a line about lost ones.
func (s *Sink) tell(told uint64) uint64 {
	n := s.Dropped()
	if n != told {
		s.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", n))
	}
	return n
}

// write hands a line to the output. There is nowhere to report its failure.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }

// Logger returns a logger that writes JSON lines to the sink.
func Logger(s *Sink, level zap.AtomicLevel) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, level))
}
