package main

import (
	"fmt"
	"strings"

	"masticbank.example/cmd/internal/command"
	"masticbank.example/node/admin"
)

type explainCmd struct {
	remote
	Request      string `help:"ID of a request, from its answer or from the log."`
	Model        string `help:"Model of a request that was not sent."`
	Prompt       string `help:"Its prompt; prefixes that replicas hold in their cache count."`
	PromptTokens int    `default:"100" help:"Length of its prompt when none is given."`
	OutputTokens int    `default:"100" help:"Length of its answer."`
}

// Run explains a request that was sent, or one that was not.
func (c *explainCmd) Run() error {
	if (c.Request == "") == (c.Model == "") {
		return &command.UsageError{Err: fmt.Errorf("exactly one of --request and --model is needed")}
	}
	ctx, cancel := callContext()
	defer cancel()
	if c.Request != "" {
		e, err := c.client().ExplainRequest(ctx, c.Request)
		if err != nil {
			return err
		}
		return c.show(e, func() { printRequest(e) })
	}
	e, err := c.client().ExplainRoute(ctx, c.Model, c.Prompt, c.PromptTokens, c.OutputTokens)
	if err != nil {
		return err
	}
	return c.show(e, func() { printRoute(e) })
}

func printRequest(e *admin.RequestExplanation) {
	if e.State == "waiting" {
		fmt.Printf("waiting in %s: place %d, %.0f tokens ahead, expected wait %.2f s\n", e.Pool, e.Place, e.TokensAhead, e.ExpectedWaitSeconds)
		return
	}
	fmt.Printf("%s %s (execution %s) %s\n", e.State, e.Code, e.Execution, e.Message)
	fmt.Printf("workspace %s, rank %d, pool %s, %d attempts, route %s\n", e.Workspace, e.Rank, e.Pool, e.Attempts, strings.Join(e.Route, " > "))
	fmt.Printf("queue %.3f s, first token %.3f s, total %.3f s, estimated %.3f s\n", e.QueueSeconds, e.FirstTokenSeconds, e.TotalSeconds, e.EstimatedSeconds)
}

func printRoute(e *admin.RouteExplanation) {
	fmt.Printf("%s: %s, estimated %.3f s (lowest %.3f s)\n", e.Outcome, strings.Join(e.Route, " > "), e.EstimatedSeconds, e.LowestSeconds)
	for _, r := range e.Replicas {
		fmt.Printf("  %-28s layers %2d-%-2d %-12s weight %.2f held %d of %d cached %.2f cost %.4f s\n",
			r.ID, r.FirstLayer, r.LastLayer, r.Standing, r.Weight, r.Occupancy, r.Limit, r.CachedPart, r.Seconds)
	}
}
