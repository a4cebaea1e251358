package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"masticbank.example/cmd/internal/command"
	"masticbank.example/node/wire"
	"masticbank.example/standin/fleet"
	"masticbank.example/standin/logservice"
)

type standinCmd struct {
	Fleet       string        `default:"dev" enum:"dev,asistente,apuntador" help:"Fleet to start: dev, asistente or apuntador."`
	Host        string        `default:"127.0.0.1" help:"Address that all listeners use; loopback only."`
	BasePort    int           `default:"9100" help:"First port; 0 takes free ports."`
	Entry       []string      `help:"Entry instance to list, as ID,zone,address; may be repeated." sep:"none"`
	LogAppends  int           `default:"400" help:"Appends a second that the log service takes."`
	LogKeepFor  time.Duration `default:"24h" help:"Time for which the log service keeps a record."`
	InstanceLag time.Duration `default:"1s" help:"Age of the instance list."`
}

// Run serves the stand-ins until a signal.
func (c *standinCmd) Run() error {
	spec := fleets[c.Fleet]()
	spec.Host = c.Host
	spec.BasePort = c.BasePort
	spec.InstanceLag = c.InstanceLag
	spec.Log = logservice.New(logservice.Options{AppendsPerSecond: c.LogAppends, KeepFor: c.LogKeepFor})
	entries, err := parseEntries(c.Entry)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	f, err := fleet.Start(spec)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, e := range entries {
		f.Instances().Add(e)
	}
	if err := json.NewEncoder(os.Stdout).Encode(f.Addresses()); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return checkFleet(f)
}

var fleets = map[string]func() fleet.Spec{
	"dev":       fleet.Dev,
	"asistente": fleet.Asistente,
	"apuntador": fleet.Apuntador,
}

// checkFleet fails when an engine saw a step out of order or a service recorded an
// order twice.
func checkFleet(f *fleet.Fleet) error {
	violations := f.Violations()
	for _, v := range violations {
		fmt.Printf("violation: %+v\n", v)
	}
	repeated := f.RepeatedOrders()
	for _, key := range repeated {
		fmt.Printf("order recorded more than once: %s\n", key)
	}
	fmt.Printf("violations: %d, repeated orders: %d, orders: %d\n", len(violations), len(repeated), f.Orders())
	if len(violations)+len(repeated) > 0 {
		return fmt.Errorf("%d violations, %d repeated orders", len(violations), len(repeated))
	}
	return nil
}

// parseEntries reads entry instances given as ID,zone,address.
func parseEntries(texts []string) ([]wire.Instance, error) {
	var out []wire.Instance
	for _, text := range texts {
		parts := splitThree(text)
		if parts == nil {
			return nil, fmt.Errorf("--entry %q is not ID,zone,address", text)
		}
		out = append(out, wire.Instance{ID: parts[0], Role: wire.RoleEntry, Zone: parts[1], Address: parts[2]})
	}
	return out, nil
}

// splitThree splits at commas and returns nil unless there are three parts.
func splitThree(text string) []string {
	parts := strings.Split(text, ",")
	if len(parts) != 3 || slices.Contains(parts, "") {
		return nil
	}
	return parts
}
