package load

import (
	"strings"

	"masticbank.example/standin/engine"
	"masticbank.example/standin/fleet"
)

// fleets maps the fleet names of scenarios to the stand-in fleets.
var fleets = map[string]func() fleet.Spec{
	"dev":       fleet.Dev,
	"asistente": fleet.Asistente,
	"apuntador": fleet.Apuntador,
}

// expectedResponses computes the correct responses of a stand-in model. The zero
// value knows none.
type expectedResponses struct {
	model  string
	layers int
}

func newExpectedResponses(s *Scenario) expectedResponses {
	spec, ok := fleets[s.Fleet]
	if !ok {
		return expectedResponses{}
	}
	for _, m := range spec().Models {
		if m.Name == s.Model {
			return expectedResponses{model: m.Name, layers: m.Layers}
		}
	}
	return expectedResponses{}
}

// text returns the complete response text for a request. known is false if the
// model is not a stand-in.
func (e expectedResponses) text(a *arrival) (text string, known bool) {
	if e.layers == 0 {
		return "", false
	}
	prompt := a.prompt
	if a.flow.Kind == Chat {
		prompt = "user: " + prompt
	}
	var b strings.Builder
	for _, token := range engine.ExpectedTokens(e.model, e.layers, prompt, a.maxTokens) {
		b.WriteString(token.Text)
	}
	return b.String(), true
}
