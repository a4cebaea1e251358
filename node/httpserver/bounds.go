package httpserver

import (
	"errors"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxRequestsAhead is the number of requests of one connection that may wait for the response to
	// the one before them. Clients that reuse connections send the next request after the response;
	// the few that pipeline send some together.
	maxRequestsAhead = 16
	// maxJobs is the number of jobs of a connection that nbio keeps a place for until none is left. A
	// client that always has a request waiting would make it grow.
	maxJobs = 1 << 16
	// parsedBytes is the size of the pieces in which heads are parsed. It is by how much a head can
	// exceed its limit before that is found.
	parsedBytes = 4 << 10
	// requestOverhead and headerOverhead are what nbhttp needs for a request and for each line of its
	// head, in bytes, besides the bytes received. With 500 connections, a request of 184 bytes with 7
	// lines took 2.7 KB.
	requestOverhead = 2 << 10
	headerOverhead  = 128
	// minConnectionShare is the least number of bytes of requests that each connection may hold when
	// the memory for all is used up, so that small requests are received beside a crowd.
	minConnectionShare = 16 << 10
	// maxDroppedBytes is how much a client may send after its request was refused until its connection
	// is closed: twice the largest body that a request may have in either program, as many clients read
	// the answer only after they have sent theirs.
	maxDroppedBytes = 16 << 20
	// defaultBufferedBytes is used if Options.MaxBufferedBytes is not set.
	defaultBufferedBytes = 32 << 20
	// defaultHeaderBytes and defaultHeaderTimeout are used if Options.HeadLimits is not set.
	defaultHeaderBytes   = maxHeaderBytes
	defaultHeaderTimeout = 10 * time.Second
)

// HeadLimits bound the head of a request: the bytes up to the empty line that ends it, and the time
// from its first byte to its last. Zero values stand for the defaults, 64 KiB and 10 s.
type HeadLimits struct {
	Bytes   int
	Timeout time.Duration
}

func (s *Server) headLimits() HeadLimits {
	var l HeadLimits
	if s.opts.HeadLimits != nil {
		l = s.opts.HeadLimits()
	}
	if l.Bytes <= 0 {
		l.Bytes = defaultHeaderBytes
	}
	if l.Timeout <= 0 {
		l.Timeout = defaultHeaderTimeout
	}
	return l
}

// The errors with which a request is refused before it is handled.
var (
	errHeadTooLarge = errors.New("head of a request is too large")
	errHeadTooSlow  = errors.New("head of a request is not complete in time")
	errBodyTooLarge = errors.New("announced body of a request is too large")
	errTooManyAhead = errors.New("too many requests were sent ahead")
)

// message is what is known of the message that a connection receives. Only its poller uses it. nbhttp
// keeps finished parts of a head as strings and the unfinished one as bytes, and bounds the latter only.
type message struct {
	// number is different for each message.
	number int
	// partBytes is the number of bytes of the finished parts of the head, pieceBytes that of the pieces
	// that have only bytes of the message. The head has as many as the larger one, at least.
	partBytes, pieceBytes int
	// overhead is the memory that was used for parsing since it was last counted.
	overhead int
	inBody   bool
	tooLarge bool // the announced body is
}

// processor passes what the parser finds on to nbhttp and bounds it.
type processor struct {
	nbhttp.Processor
	server  *Server
	session *session
}

// OnMethod implements nbhttp.Processor. A new message begins.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	m := &p.session.message
	*m = message{number: m.number + 1, partBytes: len(method), overhead: m.overhead + requestOverhead}
	p.Processor.OnMethod(parser, method)
}

// OnURL implements nbhttp.Processor. It is the first callback that can stop the parser.
func (p *processor) OnURL(parser *nbhttp.Parser, uri string) error {
	p.session.message.partBytes += len(uri)
	if err := p.server.allowAhead(p.session); err != nil {
		return err
	}
	return p.Processor.OnURL(parser, uri)
}

// allowAhead returns an error if a connection may not have a further request, because of those that
// wait on it. Only one waits while the memory for all requests is used up.
func (s *Server) allowAhead(sess *session) error {
	ahead := sess.ahead.Load()
	if ahead == 0 {
		return nil
	}
	if ahead >= maxRequestsAhead || sess.conn.ExecuteLen() >= maxJobs {
		return errTooManyAhead
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buffered > s.opts.MaxBufferedBytes {
		return errOutOfMemory
	}
	return nil
}

// OnHeader implements nbhttp.Processor.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.session.message.partBytes += len(key) + len(value) + len(":\r\n")
	p.session.message.overhead += headerOverhead
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength implements nbhttp.Processor. nbhttp calls it at the end of each head.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	m := &p.session.message
	m.inBody = true
	m.tooLarge = length > p.server.opts.MaxBodyBytes
	p.Processor.OnContentLength(parser, length)
}

// OnComplete implements nbhttp.Processor. nbhttp puts the request into the connection's job queue.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	s := p.session
	p.server.requestRead(s)
	s.ahead.Add(1)
	s.message = message{number: s.message.number + 1}
	p.Processor.OnComplete(parser)
}

// headBytes returns the least size of the head that is being read; 0 if none is.
func (m *message) headBytes() int {
	if m.inBody {
		return 0
	}
	return max(m.partBytes, m.pieceBytes)
}

// parse parses received data in pieces, and stops with an error at one that goes beyond a limit.
func (s *Server) parse(sess *session, data []byte) error {
	limits := s.headLimits()
	for len(data) > 0 {
		n := len(data)
		if !sess.message.inBody {
			n = min(n, parsedBytes)
		}
		if !s.received(sess.conn, n) {
			return errOutOfMemory
		}
		if err := s.parsePiece(sess, data[:n], limits.Bytes); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

func (s *Server) parsePiece(sess *session, piece []byte, maxHead int) error {
	m := &sess.message
	number := m.number
	err := sess.Parse(piece)
	if m.number == number {
		m.pieceBytes += len(piece)
	}
	s.parsed(sess)
	switch {
	case m.tooLarge:
		return errBodyTooLarge
	case m.headBytes() > maxHead:
		return errHeadTooLarge
	default:
		return err
	}
}

// parsed counts what parsing has taken of the memory.
func (s *Server) parsed(sess *session) {
	m := &sess.message
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.connections[sess.conn]
	if st == nil {
		return
	}
	s.buffered += m.overhead
	st.buffered += m.overhead
	m.overhead = 0
	switch {
	case m.headBytes() == 0:
		st.headSince = time.Time{}
	case st.headSince.IsZero():
		st.headSince = st.readAt
	}
}

// requestRead counts the memory of a request that has been read to its end as that of a waiting one.
func (s *Server) requestRead(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.connections[sess.conn]
	if st == nil {
		return
	}
	st.waiting = append(st.waiting, st.buffered+sess.message.overhead)
	s.buffered += sess.message.overhead
	st.ahead += st.buffered + sess.message.overhead
	st.buffered, sess.message.overhead = 0, 0
	st.headSince = time.Time{}
}

// rejectSlowHeads refuses the requests whose heads are not complete in time. One that the poller has
// yet to read may be complete, and after a pause of the machine its rest may still be under way.
func (s *Server) rejectSlowHeads(now time.Time) {
	if time.Duration(s.checkDelay.Load()) > reportedDelay {
		return
	}
	timeout := s.headLimits().Timeout
	var slow []*session
	s.mu.Lock()
	for c, st := range s.connections {
		if st.headSince.IsZero() || st.reading || now.Sub(st.headSince) < timeout || peek(c) != peerSilent {
			continue
		}
		// The poller cannot read before it is marked, as it has to pass beginRead.
		if sess, ok := c.Session().(*session); ok && sess.rejected.CompareAndSwap(false, true) {
			slow = append(slow, sess)
		}
	}
	s.mu.Unlock()
	for _, sess := range slow {
		s.reject(sess, errHeadTooSlow)
	}
}

func (s *Server) reportRefused(reason error) {
	if s.opts.OnRefused != nil {
		s.opts.OnRefused(reason)
	}
}

// drop counts data that arrives after a refusal, and closes the connection if the client goes on. The
// poller calls it.
func (s *session) drop(n int) {
	if s.dropped += n; s.dropped > maxDroppedBytes {
		_ = s.conn.CloseWithError(errFlooded)
	}
}
