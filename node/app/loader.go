package app

import (
	coreconfig "masticbank.example/core/config"
	"masticbank.example/node/engine"
	"masticbank.example/node/loader"
	"masticbank.example/node/router"
	"masticbank.example/node/wire"
)

// newLoader returns the model loader, which is active only while this instance is
// the leader of that task.
func (a *App) newLoader() *loader.Loader {
	return loader.New(loader.Options{
		Engines:  a.engines,
		Keeper:   a.leaderTasks,
		Targets:  a.loaderTargets,
		Models:   a.configuredModels,
		Demand:   a.router.Demand,
		MaxLoads: a.opts.Settings.Platform.MaxLoads,
		Logger:   a.logger,
	})
}

// loaderTargets returns the engines of the platform's instance list, with what the
// router knows of them.
func (a *App) loaderTargets() []loader.Engine {
	if a.poller == nil {
		return nil
	}
	known := map[string]router.UpstreamStatus{}
	for _, p := range a.router.Status() {
		for _, u := range p.Upstreams {
			known[u.ID] = u
		}
	}
	var out []loader.Engine
	for _, in := range a.poller.Latest().Instances {
		if in.Role != wire.RoleEngine {
			continue
		}
		out = append(out, loader.Engine{
			Target:      engine.Target{ID: in.ID, Address: in.Address},
			Zone:        in.Zone,
			Accelerator: in.Accelerator,
			Leaving:     in.Leaving,
			Down:        known[in.ID].Ejected,
			Sequences:   known[in.ID].Slots,
		})
	}
	return out
}

// configuredModels returns the models of the active configuration.
func (a *App) configuredModels() map[string]coreconfig.ModelConfig {
	cfg := a.router.Config()
	if cfg == nil {
		return nil
	}
	return cfg.Models
}
