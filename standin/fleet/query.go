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

// layerFactor converts a number of layers to a Duration that can be multiplied by a
// time per layer.
func layerFactor(n int) time.Duration { return time.Duration(n) }

// Addresses returns the addresses of all listeners.
func (f *Fleet) Addresses() Addresses { return f.addresses }

// Engines returns the engines in the order in which they were started.
func (f *Fleet) Engines() []*engine.Engine { return f.engines }

// Instances returns the instance list.
func (f *Fleet) Instances() *instances.List { return f.instanceList }

// Weights returns the weight store.
func (f *Fleet) Weights() *weights.Store { return f.weights }

// ServiceRecords returns the records of a service, or nil if there is no such service.
func (f *Fleet) ServiceRecords(name string) *service.Records { return f.serviceRecords[name] }

// ExpectedTokens returns the n tokens that a model of the fleet generates for the
// prompt, or nil if there is no such model.
func (f *Fleet) ExpectedTokens(model, prompt string, n int) []wire.Token {
	for _, m := range f.spec.Models {
		if m.Name == model {
			return engine.ExpectedTokens(model, m.Layers, prompt, n)
		}
	}
	return nil
}

// Violations returns every step that an engine refused as a gap or a repetition, and
// every step that ran out of order or twice within an attempt, across all engines.
func (f *Fleet) Violations() []engine.Violation {
	var all []engine.Violation
	for _, e := range f.engines {
		all = append(all, e.Violations()...)
	}
	for _, c := range f.stepCheckers {
		all = append(all, c.Violations()...)
	}
	return all
}

// Inject applies a fault to the instance that it names.
func (f *Fleet) Inject(x fault.Fault) error {
	target, ok := f.injectors[x.Instance]
	if !ok {
		return fmt.Errorf("no instance %q", x.Instance)
	}
	return target.Inject(x)
}

// Close stops all stand-ins.
func (f *Fleet) Close() {
	for _, e := range f.engines {
		e.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}

// RepeatedOrders returns the idempotency keys under which a service recorded more than
// one order.
func (f *Fleet) RepeatedOrders() []string {
	var all []string
	for _, r := range f.serviceRecords {
		all = append(all, r.RepeatedKeys()...)
	}
	return all
}

// Orders returns the number of orders recorded by all services.
func (f *Fleet) Orders() int {
	total := 0
	for _, r := range f.serviceRecords {
		total += r.Total()
	}
	return total
}
