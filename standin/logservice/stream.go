package logservice

import (
	"time"

	"masticbank.example/node/wire"
)

type stored struct {
	at   time.Time
	data []byte
}

// stream holds the kept records of one stream. The Service's lock guards it.
type stream struct {
	first   uint64
	records []stored
	changed chan struct{}
}

func (st *stream) next() uint64 { return st.first + uint64(len(st.records)) }

func (st *stream) append(now time.Time, records [][]byte) uint64 {
	offset := st.next()
	for _, data := range records {
		st.records = append(st.records, stored{at: now, data: data})
	}
	st.wake()
	return offset
}

// wake ends the waits of reads.
func (st *stream) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *stream) expire(now time.Time, opts Options) {
	first := st.first
	if opts.KeepRecords > 0 && len(st.records) > opts.KeepRecords {
		first = st.next() - uint64(opts.KeepRecords)
	}
	if opts.KeepFor > 0 {
		for first < st.next() && now.Sub(st.records[first-st.first].at) > opts.KeepFor {
			first++
		}
	}
	st.truncate(first)
}

func (st *stream) truncate(first uint64) {
	first = min(first, st.next())
	if first <= st.first {
		return
	}
	dropped := first - st.first
	clear(st.records[:dropped])
	st.records = st.records[dropped:]
	st.first = first
}

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
