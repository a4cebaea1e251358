package metrics

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The figure in the package comment bounds the memory of one series.
func TestBytesPerSeries(t *testing.T) {
	require.LessOrEqual(t, BytesPerSeries(), 400<<10)
}
