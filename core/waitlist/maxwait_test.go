package waitlist_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/waitlist"
)

func TestMaxWait(t *testing.T) {
	const ms = time.Millisecond
	require.Equal(t, 1500*ms, waitlist.MaxWait(0, 0))
	require.Equal(t, 1500*ms, waitlist.MaxWait(500*ms, 200*ms))
	require.Equal(t, 1900*ms, waitlist.MaxWait(500*ms, 300*ms))
	require.Equal(t, 4300*ms, waitlist.MaxWait(1200*ms, 300*ms))
}
