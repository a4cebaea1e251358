package wire

// PathWeights answers the weights of one layer range; query parameters
// "model", "version", "first" and "last". It answers 429 when too many loads
// run at once.
const PathWeights = "/v1/weights"
