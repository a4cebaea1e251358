package wire

// PathWeights returns the weights of one range of layers, given by the query
// parameters "model", "version", "first" and "last". It returns status 429 if
// too many loads are running.
const PathWeights = "/v1/weights"
