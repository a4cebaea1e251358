package instances

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/wire"
)

// TestListLags checks that each change becomes visible after the lag, in order.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := wire.Instance{ID: "a"}, wire.Instance{ID: "b"}
		l := New(time.Second, a)
		l.Add(b)
		time.Sleep(500 * time.Millisecond)
		l.Remove("a")
		l.SetLeaving("b", true)
		require.Equal(t, []wire.Instance{a}, l.Visible())
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, []wire.Instance{a, b}, l.Visible())
		time.Sleep(500 * time.Millisecond)
		b.Leaving = true
		require.Equal(t, []wire.Instance{b}, l.Visible())
	})
}
