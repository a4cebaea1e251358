package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"masticbank.example/cmd/internal/local"
	"masticbank.example/standin/fleet"
)

// devStopTimeout bounds the shutdown of the development cluster.
const devStopTimeout = 10 * time.Second

type devCmd struct {
	Listen    string `default:"127.0.0.1:8080" help:"Listen address of the client API."`
	Admin     string `default:"127.0.0.1:8081" help:"Listen address of the administration API."`
	Instances int    `default:"1" help:"Number of entry instances."`
	LogLevel  string `default:"warn" enum:"debug,info,warn,error" help:"Minimum level of log lines."`
}

// Run starts the cluster, prints how to reach it, and serves until SIGTERM or
// SIGINT.
func (c *devCmd) Run() error {
	cluster, err := local.Start(local.Options{
		Instances:     c.Instances,
		Spec:          fleet.Dev(),
		Configuration: local.DevConfiguration,
		Listen:        c.Listen,
		Admin:         c.Admin,
		LogLevel:      c.LogLevel,
	})
	if err != nil {
		return err
	}
	c.printEndpoints(cluster)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), devStopTimeout)
	defer cancel()
	cluster.Close(ctx)
	return nil
}

// printEndpoints prints the addresses of the cluster and two sample requests.
func (c *devCmd) printEndpoints(cluster *local.Cluster) {
	fmt.Printf("client API:     http://%s\n", cluster.Apps[0].ClientAddr())
	fmt.Printf("administration: http://%s (key %s)\n", cluster.Apps[0].AdminAddr(), local.AdminKey)
	fmt.Printf("faults:         http://%s/faults\n\n", cluster.Fleet.Addresses().Control)
	fmt.Printf("curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'\n\n",
		cluster.Apps[0].ClientAddr(), local.APIKey,
		`{"model":"dev","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Price for a hutch with two doors?"}]}`)
	fmt.Printf("curl http://%s/services/orders/orders -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -d '%s'\n",
		cluster.Apps[0].ClientAddr(), local.APIKey, `{"item":"timber"}`)
}
