package main

import (
	"fmt"
	"strings"

	"masticbank.example/cmd/internal/command"
	"masticbank.example/node/admin"
)

type explainCmd struct {
	adminFlags
	Request      string `help:"ID of a request that was sent, as given in its response and in the log."`
	Model        string `help:"Model of a hypothetical request."`
	Prompt       string `help:"Prompt of the hypothetical request; its prefixes are matched with the prefix caches of the replicas."`
	PromptTokens int    `default:"100" help:"Prompt length in tokens, used when no prompt is given."`
	OutputTokens int    `default:"100" help:"Response length in tokens."`
}

// Run explains a request that was sent, or the route of a hypothetical one.
func (c *explainCmd) Run() error {
	if (c.Request == "") == (c.Model == "") {
		return &command.UsageError{Err: fmt.Errorf("exactly one of --request and --model is required")}
	}
	ctx, cancel := requestContext()
	defer cancel()
	if c.Request != "" {
		e, err := c.client().ExplainRequest(ctx, c.Request)
		if err != nil {
			return err
		}
		return c.printResult(e, func() { printRequest(e) })
	}
	e, err := c.client().ExplainRoute(ctx, c.Model, c.Prompt, c.PromptTokens, c.OutputTokens)
	if err != nil {
		return err
	}
	return c.printResult(e, func() { printRoute(e) })
}

func printRequest(e *admin.RequestExplanation) {
	if e.State == "waiting" {
		fmt.Printf("waiting in %s: position %d, %.0f tokens ahead, expected wait %.2f s\n", e.Pool, e.QueuePosition, e.TokensAhead, e.ExpectedWaitSeconds)
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
			r.ID, r.FirstLayer, r.LastLayer, r.Status, r.Weight, r.Occupancy, r.Limit, r.CachedFraction, r.Seconds)
	}
}
