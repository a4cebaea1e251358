package httpjson_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"masticbank.example/node/engine"
	"masticbank.example/node/engine/httpjson"
	"masticbank.example/node/wire"
)

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cannedServer sends the same response to every request and counts the bytes in both
// directions. It does not decode request bodies.
type cannedServer struct {
	listener net.Listener
	response []byte
	bytes    atomic.Int64
}

func startCannedServer(b *testing.B, body any) *cannedServer {
	data, err := json.Marshal(body)
	if err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	s := &cannedServer{listener: l, response: fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(data), data)}
	go s.accept()
	return s
}

func (s *cannedServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// countingReader adds the number of bytes read to n.
type countingReader struct {
	io.Reader
	n *atomic.Int64
}

func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (s *cannedServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(countingReader{c, &s.bytes}, 64<<10)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		n, err := c.Write(s.response)
		if err != nil {
			return
		}
		s.bytes.Add(int64(n))
	}
}

func (s *cannedServer) target() engine.Target {
	return engine.Target{ID: "e", Address: s.listener.Addr().String()}
}

// measureCalls reports the processor time and the bytes on the wire of one call. The
// processor time includes the server in this process, which neither decodes nor
// encodes bodies.
func measureCalls(b *testing.B, s *cannedServer, call func() error) {
	if err := call(); err != nil {
		b.Fatal(err)
	}
	n := 0
	sent := s.bytes.Load()
	b.ReportAllocs()
	start := cpuTime(b)
	for b.Loop() {
		n++
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-start)/float64(n), "cpu-ns/op")
	b.ReportMetric(float64(s.bytes.Load()-sent)/float64(n), "wire-B/op")
}

// BenchmarkStep measures one decode step of an inner stage by the size of the hidden
// state, which is both sent and received.
func BenchmarkStep(b *testing.B) {
	for _, size := range []int{16, 1 << 10, 4 << 10, 16 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("hidden=%d", size), func(b *testing.B) {
			hidden := bytes.Repeat([]byte{7}, size)
			s := startCannedServer(b, wire.StepResponse{RequestID: "r", Attempt: 1, Position: 1, Hidden: hidden})
			c := httpjson.New()
			defer c.Release(s.target())
			req := &wire.StepRequest{RequestID: "r", Attempt: 1, Position: 1, Model: "m", Version: "1", FirstLayer: 10, LastLayer: 19, Hidden: hidden, CoveredTokens: 1, MaxTokens: 100}
			measureCalls(b, s, func() error {
				_, err := c.Step(context.Background(), s.target(), req)
				return err
			})
		})
	}
}

// BenchmarkLoad measures reading one load report.
func BenchmarkLoad(b *testing.B) {
	s := startCannedServer(b, wire.LoadReport{Running: 3, Waiting: 1, Slots: 16, StepMillis: 21.5, PrefillTokensPerSecond: 8123.4})
	c := httpjson.New()
	defer c.Release(s.target())
	measureCalls(b, s, func() error {
		_, err := c.Load(context.Background(), s.target())
		return err
	})
}
