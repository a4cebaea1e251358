package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const partitionsPerTopic = 12

// store is a stand-in of the platform's metadata store: a log with keyed topics and groups.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	logs    map[string][][]byte // records by topic and partition
	groups  map[string]*group
}

type group struct {
	generation int64
	seen       map[string]time.Time
	ttl        map[string]time.Duration
	owner      map[string]string // partition -> member that holds it
	target     map[string]string // partition -> member that is to hold it
	topics     []string
}

func newStore() *store {
	return &store{changed: make(chan struct{}), logs: map[string][][]byte{}, groups: map[string]*group{}}
}

func keyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// put appends a record of a keyed topic; the return is the acknowledgement.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs[topic+"#0"] = append(s.logs[topic+"#0"], keyed(key, value))
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic") + "#" + q.Get("part")
	switch r.URL.Path {
	case "/-/log-read":
		s.read(w, r, name)
	case "/-/log-newest":
		s.newest(w, name, q.Get("after"))
	case "/-/log-append":
		s.append(w, r, name)
	case "/-/log-join":
		s.join(w, r)
	case "/-/log-leave":
		s.leave(w, r)
	case "/-/log-owners":
		s.owners(w, q.Get("group"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.logs[name], s.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, rec := range records[min(from, len(records)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(rec)))
				body = append(body, rec...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.logs[name]
	s.mu.Unlock()
	byKey := map[string]item{}
	for i, rec := range records {
		n := int(rec[0])
		key, value := string(rec[1:1+n]), rec[1+n:]
		delete(byKey, key)
		if len(value) > 0 {
			byKey[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
		}
	}
	items := []item{}
	for key, it := range byKey {
		if key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	items = items[:min(len(items), 500)]
	writeJSON(w, 200, map[string]any{"items": items, "hasMore": more, "end": len(records)})
}

func (s *store) append(w http.ResponseWriter, r *http.Request, name string) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(s.logs[name])) {
		writeJSON(w, 412, map[string]any{"end": len(s.logs[name])})
		return
	}
	first := len(s.logs[name])
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.logs[name] = append(s.logs[name], append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	s.notify()
	writeJSON(w, 200, map[string]any{"offset": first, "end": len(s.logs[name])})
}

// update removes the members that have sent nothing for their ttl, and deals the partitions
// evenly when the members have changed. The lock is held.
func (g *group) update() {
	now := time.Now()
	for m, at := range g.seen {
		if now.Sub(at) > g.ttl[m] {
			g.remove(m)
		}
	}
	for p, m := range g.owner {
		if m == "" {
			g.owner[p] = g.target[p]
		}
	}
}

func (g *group) remove(member string) {
	delete(g.seen, member)
	for p, m := range g.owner {
		if m == member {
			g.owner[p] = ""
		}
	}
	g.deal()
}

func (g *group) deal() {
	g.generation++
	var members []string
	for m := range g.seen {
		members = append(members, m)
	}
	sort.Strings(members)
	var parts []string
	for _, t := range g.topics {
		for i := range partitionsPerTopic {
			parts = append(parts, t+"#"+strconv.Itoa(i))
		}
	}
	if len(members) == 0 {
		g.target = map[string]string{}
		return
	}
	most := (len(parts) + len(members) - 1) / len(members)
	count := map[string]int{}
	next := map[string]string{}
	for _, p := range parts { // those that may stay
		if m := g.target[p]; m != "" && count[m] < most {
			if _, ok := g.seen[m]; ok {
				next[p] = m
				count[m]++
			}
		}
	}
	for _, p := range parts {
		if next[p] != "" {
			continue
		}
		least := members[0]
		for _, m := range members {
			if count[m] < count[least] {
				least = m
			}
		}
		next[p] = least
		count[least]++
	}
	g.target = next
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Group, Member string
		Topics        []string
		TTLMs         int64 `json:"ttlMs"`
		Generation    int64
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[in.Group]
	if g == nil {
		g = &group{seen: map[string]time.Time{}, ttl: map[string]time.Duration{}, owner: map[string]string{}, target: map[string]string{}, topics: in.Topics}
		for _, t := range in.Topics {
			for i := range partitionsPerTopic {
				g.owner[t+"#"+strconv.Itoa(i)] = ""
			}
		}
		s.groups[in.Group] = g
	}
	_, known := g.seen[in.Member]
	g.seen[in.Member], g.ttl[in.Member] = time.Now(), time.Duration(in.TTLMs)*time.Millisecond
	if !known {
		g.deal()
	}
	if in.Generation >= g.generation {
		for p, m := range g.owner {
			if m == in.Member && g.target[p] != m {
				g.owner[p] = ""
			}
		}
	}
	g.update()
	rows := [][]any{}
	for p, m := range g.owner {
		if m == in.Member && g.target[p] == m {
			topic, number := splitPart(p)
			rows = append(rows, []any{topic, number, 0})
		}
	}
	writeJSON(w, 200, map[string]any{"generation": g.generation, "ttlMs": in.TTLMs, "parts": rows})
}

func splitPart(p string) (string, int) {
	for i := len(p) - 1; i >= 0; i-- {
		if p[i] == '#' {
			n, _ := strconv.Atoi(p[i+1:])
			return p[:i], n
		}
	}
	return p, 0
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var in struct{ Group, Member string }
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[in.Group]; g != nil {
		if _, ok := g.seen[in.Member]; ok {
			g.remove(in.Member)
			g.update()
		}
	}
	writeJSON(w, 200, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[name]; g != nil {
		g.update()
		for p, m := range g.owner {
			if m != "" {
				topic, number := splitPart(p)
				rows = append(rows, []any{topic, number, m, 0})
			}
		}
	}
	writeJSON(w, 200, map[string]any{"parts": rows})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// link is the network in front of a listener. It can lose track of open connections: what either
// end sends on them from then on is lost, without a reset, while new connections work.
type link struct {
	net.Listener
	mu    sync.Mutex
	conns map[*linkConn]struct{}
	// through, if set, returns the partition that a connection passes, or nil.
	through func(remote net.Addr) *partition
}

type linkConn struct {
	net.Conn
	link     *link
	mu       sync.Mutex
	silent   bool
	lastUsed time.Time
	// partition, if set, holds up what is sent while it is cut.
	partition *partition
}

func newLink(l net.Listener) *link { return &link{Listener: l, conns: map[*linkConn]struct{}{}} }

// Accept implements net.Listener.
func (l *link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lc := &linkConn{Conn: c, link: l, lastUsed: time.Now()}
	if l.through != nil {
		lc.partition = l.through(c.RemoteAddr())
	}
	l.mu.Lock()
	l.conns[lc] = struct{}{}
	l.mu.Unlock()
	return lc, nil
}

// lose makes the open connections silent on which nothing was sent for the given time, and returns their
// number and that of all.
func (l *link) lose(quiet time.Duration) (lost, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		all++
		c.mu.Lock()
		if time.Since(c.lastUsed) >= quiet {
			c.silent = true
			lost++
		}
		c.mu.Unlock()
	}
	return lost, all
}

func (c *linkConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
	return c.silent
}

// Read implements net.Conn. What arrives on a silent connection, also its end, is lost.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.partition.wait()
	c.mu.Lock()
	silent := c.silent
	if !silent && n > 0 {
		c.lastUsed = time.Now()
	}
	c.mu.Unlock()
	if silent {
		select {} // the connection has no other end any more
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	c.partition.wait()
	return c.Conn.Write(p)
}

// Close implements net.Conn. The other end does not see that a silent connection was closed.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return nil
	}
	return c.Conn.Close()
}
