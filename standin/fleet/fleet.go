// Package fleet starts a set of stand-ins on one host, in one process: engines
// by layer range, plain services, the instance list, the weight store and, when
// given, a log service.
package fleet

import (
	"fmt"
	"net"
	"net/http"
	"strconv"

	"masticbank.example/node/wire"
	"masticbank.example/standin/engine"
	"masticbank.example/standin/fault"
	"masticbank.example/standin/instances"
	"masticbank.example/standin/service"
	"masticbank.example/standin/weights"
)

// defaultHost is the address that listeners use by default.
const defaultHost = "127.0.0.1"

// Addresses holds the host:port of each listener.
type Addresses struct {
	Instances string
	Weights   string
	// Log is empty when the fleet serves no log.
	Log string
	// Control takes a fault.Fault for any instance at fault.Path and answers a
	// Check at PathCheck.
	Control string
	// Upstreams maps instance IDs of engines and services to addresses.
	Upstreams map[string]string
}

// injector is a stand-in that can show faults.
type injector interface {
	Inject(fault.Fault) error
}

// Fleet is a running set of stand-ins. Safe for concurrent use.
type Fleet struct {
	spec      Spec
	addresses Addresses
	nextPort  int
	servers   []*engine.Server
	engines   []*engine.Engine
	ledgers   map[string]*engine.Ledger
	records   map[string]*service.Records
	injectors map[string]injector
	list      *instances.List
	weights   *weights.Store
}

// Start starts the stand-ins of a specification. Close ends them.
func Start(spec Spec) (*Fleet, error) {
	if spec.Host == "" {
		spec.Host = defaultHost
	}
	f := &Fleet{
		spec:      spec,
		nextPort:  spec.BasePort,
		addresses: Addresses{Upstreams: make(map[string]string)},
		ledgers:   make(map[string]*engine.Ledger),
		records:   make(map[string]*service.Records),
		injectors: make(map[string]injector),
		weights:   weights.New(spec.Weights),
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start opens the platform's listeners before the upstreams, so that a base
// port gives the platform the same ports whatever the number of upstreams.
func (f *Fleet) start() error {
	f.list = instances.New(f.spec.InstanceLag)
	var err error
	if f.addresses.Instances, err = f.serve(f.list); err != nil {
		return err
	}
	if f.addresses.Weights, err = f.serve(f.weights); err != nil {
		return err
	}
	if f.addresses.Control, err = f.serve(f.control()); err != nil {
		return err
	}
	if f.spec.Log != nil {
		if f.addresses.Log, err = f.serve(f.spec.Log); err != nil {
			return err
		}
	}
	return f.startUpstreams()
}

func (f *Fleet) startUpstreams() error {
	var all []wire.Instance
	for _, m := range f.spec.Models {
		started, err := f.startModel(m)
		if err != nil {
			return err
		}
		all = append(all, started...)
	}
	for _, s := range f.spec.Services {
		started, err := f.startService(s)
		if err != nil {
			return err
		}
		all = append(all, started...)
	}
	f.list.Reset(all)
	return nil
}

func (f *Fleet) startModel(m ModelSpec) ([]wire.Instance, error) {
	f.ledgers[m.Name] = engine.NewLedger(m.Layers)
	var started []wire.Instance
	for _, r := range m.Ranges {
		for i, zone := range r.Zones {
			instance, err := f.startEngine(m, r, i, zone)
			if err != nil {
				return nil, err
			}
			started = append(started, instance)
		}
	}
	return started, nil
}

func (f *Fleet) startEngine(m ModelSpec, r RangeSpec, i int, zone string) (wire.Instance, error) {
	id := fmt.Sprintf("%s-%d-%d-%s%d", m.Name, r.First, r.Last, r.Accelerator.Name, i)
	e := engine.New(f.engineOptions(id, m, r, zone))
	e.SetLedger(f.ledgers[m.Name])
	server, err := f.listen(e)
	if err != nil {
		return wire.Instance{}, err
	}
	e.Attach(server)
	f.engines = append(f.engines, e)
	f.injectors[id] = e
	f.addresses.Upstreams[id] = server.Address()
	return wire.Instance{
		ID: id, Role: wire.RoleEngine, Address: server.Address(), Zone: zone,
		Model: m.Name, Version: m.Version, FirstLayer: r.First, LastLayer: r.Last,
		Accelerator: r.Accelerator.Name,
	}, nil
}

func (f *Fleet) engineOptions(id string, m ModelSpec, r RangeSpec, zone string) engine.Options {
	layers := r.Last - r.First + 1
	return engine.Options{
		ID: id, Model: m.Name, Version: m.Version, Zone: zone,
		FirstLayer: r.First, LastLayer: r.Last, Layers: m.Layers,
		Accelerator: r.Accelerator.Name, Slots: r.Accelerator.Slots,
		StepTime:               r.Accelerator.StepPerLayer * timesLayers(layers),
		PrefillTokensPerSecond: r.Accelerator.PrefillTokensPerSecond / float64(layers),
		CacheBlocks:            r.Accelerator.CacheBlocks,
		CacheEventDelay:        f.spec.CacheEventDelay,
		CacheEventLossOneIn:    f.spec.CacheEventLossOneIn,
		ReportLag:              f.spec.ReportLag,
		Fencing:                f.spec.Fencing,
		WeightStore:            "http://" + f.addresses.Weights,
	}
}

func (f *Fleet) startService(s ServiceSpec) ([]wire.Instance, error) {
	records := service.NewRecords()
	f.records[s.Name] = records
	started := make([]wire.Instance, 0, len(s.Zones))
	for i, zone := range s.Zones {
		id := fmt.Sprintf("%s-%d", s.Name, i)
		replica := service.New(service.Options{
			ID: id, Name: s.Name, Latency: s.Latency, Records: records,
		})
		address, err := f.serve(replica)
		if err != nil {
			return nil, err
		}
		f.injectors[id] = replica
		f.addresses.Upstreams[id] = address
		started = append(started, wire.Instance{
			ID: id, Role: wire.RoleService, Address: address, Zone: zone, Service: s.Name,
		})
	}
	return started, nil
}

func (f *Fleet) serve(h http.Handler) (string, error) {
	server, err := f.listen(h)
	if err != nil {
		return "", err
	}
	return server.Address(), nil
}

func (f *Fleet) listen(h http.Handler) (*engine.Server, error) {
	port := f.nextPort
	if port > 0 {
		f.nextPort++
	}
	server, err := engine.Listen(net.JoinHostPort(f.spec.Host, strconv.Itoa(port)), h)
	if err != nil {
		return nil, err
	}
	f.servers = append(f.servers, server)
	return server, nil
}
