package fleet

import (
	"fmt"
	"time"

	"masticbank.example/node/wire"
	"masticbank.example/standin/engine"
	"masticbank.example/standin/fault"
	"masticbank.example/standin/instances"
	"masticbank.example/standin/service"
	"masticbank.example/standin/weights"
)

func timesLayers(n int) time.Duration { return time.Duration(n) }

// Addresses returns the addresses of all listeners.
func (f *Fleet) Addresses() Addresses { return f.addresses }

// Engines returns the engines in order of their start.
func (f *Fleet) Engines() []*engine.Engine { return f.engines }

// Instances returns the instance list.
func (f *Fleet) Instances() *instances.List { return f.list }

// Weights returns the weight store.
func (f *Fleet) Weights() *weights.Store { return f.weights }

// Service returns the records of a service, or nil.
func (f *Fleet) Service(name string) *service.Records { return f.records[name] }

// Expected returns the n tokens that a model of the fleet generates.
func (f *Fleet) Expected(model, prompt string, n int) []wire.Token {
	for _, m := range f.spec.Models {
		if m.Name == model {
			return engine.Expected(model, m.Layers, prompt, n)
		}
	}
	return nil
}

// Violations returns every step that an engine refused as a gap or a repeat,
// and every step that ran out of order or twice within an attempt.
func (f *Fleet) Violations() []engine.Violation {
	var all []engine.Violation
	for _, e := range f.engines {
		all = append(all, e.Violations()...)
	}
	for _, l := range f.ledgers {
		all = append(all, l.Violations()...)
	}
	return all
}

// Inject shows a fault on the instance that it names.
func (f *Fleet) Inject(x fault.Fault) error {
	target, ok := f.injectors[x.Instance]
	if !ok {
		return fmt.Errorf("no instance %q", x.Instance)
	}
	return target.Inject(x)
}

// Close ends all stand-ins.
func (f *Fleet) Close() {
	for _, e := range f.engines {
		e.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}

// RepeatedOrders returns the keys of orders that a service recorded more than
// once.
func (f *Fleet) RepeatedOrders() []string {
	var all []string
	for _, r := range f.records {
		all = append(all, r.Repeated()...)
	}
	return all
}

// Orders returns the number of orders recorded by all services.
func (f *Fleet) Orders() int {
	total := 0
	for _, r := range f.records {
		total += r.Total()
	}
	return total
}
