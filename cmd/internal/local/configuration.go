package local

// DevConfiguration is the configuration of the development mode: model "dev",
// service "orders" and workspace "dev", whose API key is APIKey.
const DevConfiguration = `[rank.urgent]
priority = 0
first_token = 1200ms
deadline = 30s
min_share = 0.3

[rank.middle]
priority = 1
first_token = 3s
deadline = 60s
min_share = 0.2

[rank.least]
priority = 2
first_token = 30s
deadline = 300s
min_share = 0.1

[model.dev]
layers = 12
max_output = 256

[service.orders]
timeout = 5s

[workspace.dev]
key_sha256 = 7e9f8fd111802be56c379d597842e29b2cebd35ff2133d431a49fa556a18704e
default_rank = urgent
`
