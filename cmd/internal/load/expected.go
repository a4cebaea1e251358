package load

import (
	"strings"

	"masticbank.example/standin/engine"
	"masticbank.example/standin/fleet"
)

// fleets are the stand-in fleets that scenarios can name.
var fleets = map[string]func() fleet.Spec{
	"dev":       fleet.Dev,
	"asistente": fleet.Asistente,
	"apuntador": fleet.Apuntador,
}

// expected knows the right answers of a stand-in model.
type expected struct {
	model  string
	layers int
}

func newExpected(s *Scenario) expected {
	spec, ok := fleets[s.Fleet]
	if !ok {
		return expected{}
	}
	for _, m := range spec().Models {
		if m.Name == s.Model {
			return expected{model: m.Name, layers: m.Layers}
		}
	}
	return expected{}
}

// text returns the whole answer to a request; known is false when the model is
// not a stand-in.
func (e expected) text(a *arrival) (text string, known bool) {
	if e.layers == 0 {
		return "", false
	}
	prompt := a.prompt
	if a.flow.Kind == Chat {
		prompt = "user: " + prompt
	}
	var b strings.Builder
	for _, token := range engine.Expected(e.model, e.layers, prompt, a.maxTokens) {
		b.WriteString(token.Text)
	}
	return b.String(), true
}
