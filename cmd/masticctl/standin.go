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
	Fleet        string        `default:"dev" enum:"dev,asistente,apuntador" help:"Fleet to start: dev, asistente or apuntador."`
	Host         string        `default:"127.0.0.1" help:"Loopback address of all listeners."`
	BasePort     int           `default:"9100" help:"First port; 0 chooses free ports."`
	Entry        []string      `help:"Entry instance to put in the instance list, as ID,zone,address; may be repeated." sep:"none"`
	LogAppends   int           `default:"400" help:"Maximum appends per second of the log service."`
	LogRetention time.Duration `name:"log-keep-for" default:"24h" help:"Retention time of the records of the log service."`
	InstanceLag  time.Duration `default:"1s" help:"Delay after which changes show in the instance list."`
}

// Run prints the addresses of the stand-ins as JSON, serves until SIGTERM or
// SIGINT, and then checks what the stand-ins recorded.
func (c *standinCmd) Run() error {
	spec := fleets[c.Fleet]()
	spec.Host = c.Host
	spec.BasePort = c.BasePort
	spec.InstanceLag = c.InstanceLag
	spec.Log = logservice.New(logservice.Options{AppendsPerSecond: c.LogAppends, Retention: c.LogRetention})
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

// checkFleet returns an error if an engine recorded a step out of order or a service
// recorded an order more than once.
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

// parseEntries parses the --entry flags, each of the form ID,zone,address.
func parseEntries(texts []string) ([]wire.Instance, error) {
	var out []wire.Instance
	for _, text := range texts {
		parts := splitEntry(text)
		if parts == nil {
			return nil, fmt.Errorf("--entry %q is not ID,zone,address", text)
		}
		out = append(out, wire.Instance{ID: parts[0], Role: wire.RoleRouter, Zone: parts[1], Address: parts[2]})
	}
	return out, nil
}

// splitEntry splits text at commas. It returns nil unless there are exactly three
// parts, none of them empty.
func splitEntry(text string) []string {
	parts := strings.Split(text, ",")
	if len(parts) != 3 || slices.Contains(parts, "") {
		return nil
	}
	return parts
}
