package exchange

import (
	"io"
	"time"
)

// Drain reads at most n bytes of the rest of the body, for at most d, so that Close can
// return the connection to the pool. Close closes it if there is more.
func (r *Response) Drain(n int64, d time.Duration) {
	cn := r.conn
	t := time.AfterFunc(d, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	// After an error the connection can't be reused; Close detects that.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, n))
	if !t.Stop() {
		r.notReusable = true
	}
}
