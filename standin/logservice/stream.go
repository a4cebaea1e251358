package logservice

import (
	"time"

	"masticbank.example/node/wire"
)

// storedRecord is a record with the time of its append.
type storedRecord struct {
	appendedAt time.Time
	data       []byte
}

// stream holds the retained records of one stream, beginning with offset first. The
// lock of the Service guards it.
type stream struct {
	first   uint64
	records []storedRecord
	changed chan struct{}
}

// next returns the offset of the next record to append.
func (st *stream) next() uint64 { return st.first + uint64(len(st.records)) }

// append adds the records and returns the offset of the first one.
func (st *stream) append(now time.Time, records [][]byte) uint64 {
	offset := st.next()
	for _, data := range records {
		st.records = append(st.records, storedRecord{appendedAt: now, data: data})
	}
	st.wakeReaders()
	return offset
}

// wakeReaders wakes all waiting reads.
func (st *stream) wakeReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// expire discards the records beyond the retention limits.
func (st *stream) expire(now time.Time, opts Options) {
	first := st.first
	if opts.MaxRecords > 0 && len(st.records) > opts.MaxRecords {
		first = st.next() - uint64(opts.MaxRecords)
	}
	if opts.Retention > 0 {
		for first < st.next() && now.Sub(st.records[first-st.first].appendedAt) > opts.Retention {
			first++
		}
	}
	st.truncate(first)
}

// truncate discards the records below offset first.
func (st *stream) truncate(first uint64) {
	first = min(first, st.next())
	if first <= st.first {
		return
	}
	discarded := first - st.first
	clear(st.records[:discarded])
	st.records = st.records[discarded:]
	st.first = first
}

// read returns at most limit records, starting at offset from or at the first one
// retained.
func (st *stream) read(from uint64, limit int) wire.ReadResponse {
	from = max(from, st.first)
	resp := wire.ReadResponse{First: st.first, Next: min(from, st.next())}
	size := 0
	for resp.Next < st.next() && len(resp.Records) < limit && size < maxReadBytes {
		data := st.records[resp.Next-st.first].data
		resp.Records = append(resp.Records, wire.LogRecord{Offset: resp.Next, Data: data})
		size += len(data)
		resp.Next++
	}
	return resp
}
