package entry

import (
	"expvar"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"masticbank.example/node/httpserver"
)

// listen starts the listeners for clients, readiness checks and, if enabled, metrics.
func (i *Instance) listen() error {
	s := i.opts.Settings
	var err error
	i.clientServer, err = httpserver.Start(httpserver.Options{
		Address:           s.CallersAddress,
		MaxBodyBytes:      maxBodyBytes,
		MaxBufferedBytes:  int(float64(s.MemoryMB) * requestMemoryFraction * bytesPerMB),
		HeadLimits:        i.headLimits,
		OnRefused:         i.reportRefusal,
		MaxConnections:    max(minConnections, s.MaxDescriptors-reservedDescriptors),
		MaxRequests:       maxRequests,
		IdleTimeout:       idleTimeout,
		ClosedCheckPeriod: disconnectCheckInterval,
		OnDelay:           i.reportDelay,
		OnConnectionEnd:   i.reportConnectionEnd,
		Handler:           i.gateway,
		ServerErrorBody:   malformedBody,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	i.readyServer, err = i.startAuxiliary(s.ReadyAddress, http.HandlerFunc(i.handleReady))
	if err != nil {
		return trace.Wrap(err)
	}
	if i.opts.MetricsPort == 0 {
		return nil
	}
	expvar.Publish("masticbank", i.metrics)
	expvar.Publish("masticbank_store", expvar.Func(func() any {
		era, restored := i.control.StoreEra()
		return map[string]int64{"era": era, "restored": restored}
	}))
	i.metricsServer, err = i.startAuxiliary(net.JoinHostPort(s.IP, strconv.Itoa(i.opts.MetricsPort)), expvar.Handler())
	return trace.Wrap(err)
}

// headLimits returns the operator's limits on the heads of requests. They may not count the request
// line, and clients keep to the time as they send; the network may add to it.
func (i *Instance) headLimits() httpserver.HeadLimits {
	t := i.gateway.Table()
	if t == nil {
		return httpserver.HeadLimits{}
	}
	l := httpserver.HeadLimits{Bytes: t.Limits().HeaderBytes, Timeout: t.Limits().HeaderTimeout}
	if l.Bytes > 0 {
		l.Bytes += headerBytesMargin
	}
	if l.Timeout > 0 {
		l.Timeout += headerTimeoutMargin
	}
	return l
}

// reportDelay logs that the process got the processor late, so that all it knows is older than usual.
func (i *Instance) reportDelay(d time.Duration) {
	i.metrics.ProcessDelayed(d)
	i.log.Warn("process was delayed", zap.Duration("delay", d), zap.Int("requests", i.metrics.InFlight()),
		zap.Int("goroutines", runtime.NumGoroutine()))
}

// reportRefusal logs that a request was refused before it was read.
func (i *Instance) reportRefusal(reason error) {
	i.log.Warn("request refused before its end", zap.Error(reason), zap.Int("requests", i.metrics.InFlight()))
}

// reportConnectionEnd logs who closed a connection with a request on it or right after one.
func (i *Instance) reportConnectionEnd(e httpserver.ConnectionEnd) {
	i.log.Info("connection ended", e.Fields()...)
}

// startAuxiliary starts a server with low limits for a listener that is not for clients.
func (i *Instance) startAuxiliary(address string, h http.Handler) (*httpserver.Server, error) {
	return httpserver.Start(httpserver.Options{
		Address:           address,
		MaxBodyBytes:      auxiliaryBodyBytes,
		MaxBufferedBytes:  auxiliaryBufferedBytes,
		MaxConnections:    auxiliaryLimit,
		MaxRequests:       auxiliaryLimit,
		IdleTimeout:       idleTimeout,
		ClosedCheckPeriod: auxiliaryCheckInterval,
		Handler:           h,
		ServerErrorBody:   malformedBody,
	})
}

// malformedBody returns the response body for input that is not a valid HTTP request.
func malformedBody(int) []byte { return []byte("{\"error\":\"malformed request\"}\n") }

// handleReady handles the platform's readiness checks.
func (i *Instance) handleReady(w http.ResponseWriter, _ *http.Request) {
	if i.leaving.Load() || !i.control.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
