package metrics

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The memory of a series does not exceed the number in the package comment.
func TestBytesPerSeries(t *testing.T) {
	require.LessOrEqual(t, BytesPerSeries(), 400<<10)
}
