package wire

// Paths of the log service. The query parameter "stream" names the stream.
const (
	// PathLogAppend accepts an AppendRequest by POST and returns an
	// AppendResponse.
	PathLogAppend = "/v1/log/append"
	// PathLogRead returns a ReadResponse that starts at the offset in the query
	// parameter "from" and has at most "max" records. "wait_ms" is the maximum
	// time to wait for a record.
	PathLogRead = "/v1/log/read"
)

// AppendRequest appends records atomically.
type AppendRequest struct {
	Stream  string   `json:"stream"`
	Records [][]byte `json:"records"`
}

// AppendResponse contains the offset of the first appended record.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// ReadResponse contains records in offset order.
type ReadResponse struct {
	// First is the lowest offset that is still stored.
	First uint64 `json:"first"`
	// Next is the offset after the last returned record.
	Next    uint64      `json:"next"`
	Records []LogRecord `json:"records"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}
