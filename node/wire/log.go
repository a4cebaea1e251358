package wire

// Paths of the log service. Streams are named in the query parameter "stream".
const (
	// PathLogAppend takes an AppendRequest by POST and answers AppendResponse.
	PathLogAppend = "/v1/log/append"
	// PathLogRead answers a ReadResponse from the offset in query parameter
	// "from", with at most "max" records; "wait_ms" lets it wait for a record.
	PathLogRead = "/v1/log/read"
)

// AppendRequest appends records as one unit.
type AppendRequest struct {
	Stream  string   `json:"stream"`
	Records [][]byte `json:"records"`
}

// AppendResponse gives the offset of the first record appended.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// ReadResponse holds records in offset order.
type ReadResponse struct {
	// First is the lowest offset still kept.
	First uint64 `json:"first"`
	// Next is the offset after the last record returned.
	Next    uint64      `json:"next"`
	Records []LogRecord `json:"records"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}
