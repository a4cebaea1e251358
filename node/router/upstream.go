package router

import (
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

// upstream is one engine replica as the router knows it.
type upstream struct {
	instance wire.Instance
	slots    int
	leaving  bool
}

func (u *upstream) target() engine.Target {
	return engine.Target{ID: u.instance.ID, Address: u.instance.Address}
}
