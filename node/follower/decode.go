package follower

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"

	"masticbank.example/core/config"
)

// EncodeJSON returns the content of a proposal for c.
func EncodeJSON(c *config.Config) ([]byte, error) {
	content, err := json.Marshal(c)
	return content, trace.Wrap(err)
}

// DecodeJSON parses and validates the content of a proposal. Unknown fields are an error,
// as in the operators' files.
func DecodeJSON(content []byte) (*config.Config, error) {
	dec := json.NewDecoder(bytes.NewReader(content))
	dec.DisallowUnknownFields()
	c := &config.Config{}
	if err := dec.Decode(c); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := c.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, nil
}
