// Package fleet starts a set of stand-ins in one process: engines by layer range,
// plain services, the instance list, the weight store and, if given, a log service.
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

// defaultHost is the default address of all listeners.
const defaultHost = "127.0.0.1"

// Addresses holds the host:port of each listener.
type Addresses struct {
	Instances string
	Weights   string
	// Log is empty if the fleet serves no log.
	Log string
	// Control is the control address. It accepts a fault for any instance and
	// returns the records of the stand-ins.
	Control string
	// Upstreams maps the instance IDs of engines and services to their addresses.
	Upstreams map[string]string
}

// injector is a stand-in that accepts faults.
type injector interface {
	Inject(fault.Fault) error
}

// Fleet is a running set of stand-ins. It is safe for concurrent use.
type Fleet struct {
	spec           Spec
	addresses      Addresses
	nextPort       int
	servers        []*engine.Server
	engines        []*engine.Engine
	stepCheckers   map[string]*engine.StepChecker
	serviceRecords map[string]*service.Records
	injectors      map[string]injector
	instanceList   *instances.List
	weights        *weights.Store
}

// Start starts the stand-ins of a specification. Close stops them.
func Start(spec Spec) (*Fleet, error) {
	if spec.Host == "" {
		spec.Host = defaultHost
	}
	f := &Fleet{
		spec:           spec,
		nextPort:       spec.BasePort,
		addresses:      Addresses{Upstreams: make(map[string]string)},
		stepCheckers:   make(map[string]*engine.StepChecker),
		serviceRecords: make(map[string]*service.Records),
		injectors:      make(map[string]injector),
		weights:        weights.New(spec.Weights),
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start opens the platform's listeners before those of the upstreams, so that with a
// base port the platform's ports do not depend on the number of upstreams.
func (f *Fleet) start() error {
	f.instanceList = instances.New(f.spec.InstanceLag)
	var err error
	if f.addresses.Instances, err = f.serve(f.instanceList); err != nil {
		return err
	}
	if f.addresses.Weights, err = f.serve(f.weights); err != nil {
		return err
	}
	if f.addresses.Control, err = f.serve(f.controlHandler()); err != nil {
		return err
	}
	if f.spec.Log != nil {
		if f.addresses.Log, err = f.serve(f.spec.Log); err != nil {
			return err
		}
	}
	return f.startUpstreams()
}

// startUpstreams starts all engines and services and fills the instance list.
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
	f.instanceList.Reset(all)
	return nil
}

func (f *Fleet) startModel(m ModelSpec) ([]wire.Instance, error) {
	f.stepCheckers[m.Name] = engine.NewStepChecker(m.Layers)
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
	e.SetStepChecker(f.stepCheckers[m.Name])
	server, err := f.listen(e)
	if err != nil {
		return wire.Instance{}, err
	}
	e.AttachNetwork(server)
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
		StepTime:               r.Accelerator.StepPerLayer * layerFactor(layers),
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
	f.serviceRecords[s.Name] = records
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

// serve starts a listener with the handler and returns its address.
func (f *Fleet) serve(h http.Handler) (string, error) {
	server, err := f.listen(h)
	if err != nil {
		return "", err
	}
	return server.Address(), nil
}

// listen starts a listener with the handler, on the next port if there is a base port.
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
