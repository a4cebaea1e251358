// Package logsink writes log lines asynchronously, so that a slow output never blocks
// the code that logs. When the queue is full, lines are dropped and counted.
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
	// maxQueuedLines is the maximum number of queued lines.
	maxQueuedLines = 4096
	// FlushTimeout is the maximum time that Close waits for the output.
	FlushTimeout = 100 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer with a queue in front of the output. It is safe for
// concurrent use.
type Sink struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
	stop      chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), stop: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line, or drops it if the queue is full. It never blocks or fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, as lines are written in the background.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines. It returns after FlushTimeout if the output blocks.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	t := time.NewTimer(FlushTimeout)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	reported := uint64(0)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
			reported = s.reportDropped(reported)
		case <-s.stop:
			s.drain()
			return
		}
	}
}

// drain writes the lines that are still queued.
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

// reportDropped writes a line with the number of dropped lines if it has changed since
// reported, and returns that number.
func (s *Sink) reportDropped(reported uint64) uint64 {
	n := s.Dropped()
	if n != reported {
		s.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", n))
	}
	return n
}

// write writes a line to the output. An error is ignored, as there is no other place to
// report it.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }

// Logger returns a logger that writes JSON lines to the sink.
func Logger(s *Sink, level zap.AtomicLevel) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, level))
}
